"""Learning from measurements, and relief where they show too much pressure."""

from collections import Counter
from typing import NamedTuple

from foxspring_model._commands import Eviction
from foxspring_model._job import TaskKind, TaskState
from foxspring_model._messages import ThrottleTask, UsageSample
from foxspring_model.scheduling._latency_window import LatencyWindow, add_measurement
from foxspring_model.scheduling._memory_relief import memory_victims
from foxspring_model.scheduling._pressure import PressureState, Step, advance
from foxspring_model.scheduling._records import (
    UNTHROTTLED_PERCENT,
    Lane,
    TaskRecord,
)
from foxspring_model.scheduling._rooms import Room
from foxspring_model.scheduling._site import Site, TargetLoad
from foxspring_model.scheduling._sizes import UsedSize
from foxspring_model.scheduling._victims import cheapest_first

_MS_PER_MINUTE = 60_000
_BUDGET_PART = 4
_LEAST_PART = 0.1
_RESENDS = 2


class _Call(NamedTuple):
    target_id: str
    step: Step
    service: str
    pressure: float


class Relief:
    """Turns samples into learnt figures, throttles and evictions."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._calls: list[_Call] = []
        self._short_of_memory: dict[str, int] = {}
        self._budget = 1.0
        self._budget_ms = 0
        self.throttles: list[ThrottleTask] = []
        self.evictions: list[Eviction] = []

    def observe(self, sample: UsageSample) -> None:
        """Learn from one sample; if it is the newest, watch for pressure."""
        room = self._site.rooms.by_id.get(sample.target_id)
        if room is None or room.info is None:
            return
        load = self._site.load_of(sample.target_id)
        unseen, newest = load.order.admit(sample)
        if not unseen:
            return
        self._learn_sizes(sample)
        shares = self._shares_then(sample, room.info.capacity.cores_milli)
        worst = self._learn_pairs(sample, shares, load, newest)
        if newest:
            self._note_trials(sample, load, worst)
            self._watch_pressure(room, load, worst)
            self._watch_memory(sample, room)

    def run(self, now_ms: int) -> None:
        """Fill ``throttles`` and ``evictions`` for what was observed."""
        self.throttles = []
        self.evictions = []
        self._refill(now_ms)
        calls, self._calls = self._calls, []
        for call in calls:
            self._carry_out(call, now_ms)
        short, self._short_of_memory = self._short_of_memory, {}
        for target_id, amount in short.items():
            self._free_memory(target_id, amount, now_ms)

    def _learn_sizes(self, sample: UsageSample) -> None:
        book = self._site.book
        for task_id, cores_milli, memory_mb in sample.task_usage:
            record = book.records.get(task_id)
            if record is None:
                continue
            group = record.group
            if group.used is None:
                group.used = UsedSize()
            group.used.observe(cores_milli, memory_mb)
            if record.target_id == sample.target_id:
                book.resize(record, self._site.size_of(group))

    def _shares_then(
        self, sample: UsageSample, capacity_milli: int
    ) -> dict[str, float] | None:
        if not capacity_milli:
            return None
        shares: dict[str, float] = {}
        for task_id, epoch in sample.running:
            record = self._site.book.records.get(task_id)
            if record is not None:
                if record.group.service:
                    continue
                name = record.group.shape.work_class
                part = record.group.shape.resources.cores_milli / capacity_milli
                if record.epoch == epoch:
                    part *= record.throttle / UNTHROTTLED_PERCENT
            else:
                memo = self._site.shapes.of_task(task_id)
                if memo is None:
                    return None
                if memo.kind is TaskKind.SERVICE:
                    continue
                name, part = memo.work_class, memo.cores_milli / capacity_milli
            shares[name] = shares.get(name, 0.0) + part
        return shares

    def _learn_pairs(
        self,
        sample: UsageSample,
        shares: dict[str, float] | None,
        load: TargetLoad,
        newest: bool,
    ) -> tuple[str, float]:
        worst = ("", 0.0)
        model = self._site.model
        for service, _, p99_us, requests in sample.latencies:
            objective_us = self._site.objective_us(service)
            if not objective_us:
                continue
            window = self._full_window(load, service, requests, p99_us)
            if window is None:
                continue
            pressure = window.p99_us / objective_us
            level = model.level_of(service, requests)
            if shares is not None:
                model.learn(service, level, shares, pressure)
            if newest:
                load.levels[service] = level
            worst = max(worst, (service, pressure), key=lambda pair: pair[1])
        return worst

    def _full_window(
        self, load: TargetLoad, service: str, requests: int, p99_us: int
    ) -> LatencyWindow | None:
        window = load.windows.get(service, LatencyWindow())
        least = self._site.settings.least_requests
        load.windows[service], full = add_measurement(window, requests, p99_us, least)
        return full

    def _note_trials(
        self, sample: UsageSample, load: TargetLoad, worst: tuple[str, float]
    ) -> None:
        service, pressure = worst
        if not service and any(each.requests for each in load.windows.values()):
            return
        if pressure > self._site.limits.high:
            load.trials.failed()
        if pressure > self._site.limits.low:
            return
        ran: Counter[str] = Counter()
        for task_id, epoch in sample.running:
            record = self._site.book.records.get(task_id)
            if record is not None and record.epoch == epoch:
                ran[record.group.shape.work_class] += 1
        for work_class, count in ran.items():
            load.trials.passed(work_class, count, not service)

    def _watch_pressure(
        self, room: Room, load: TargetLoad, worst: tuple[str, float]
    ) -> None:
        service, pressure = worst
        if not room.class_tasks:
            load.state = PressureState()
            return
        if not service and load.windows:
            return
        load.state, step = advance(load.state, pressure, self._site.limits)
        if step is not Step.NONE:
            self._calls.append(_Call(room.target_id, step, service, pressure))
        elif load.resend:
            load.resend -= 1
            self._calls.append(_Call(room.target_id, step, service, pressure))

    def _watch_memory(self, sample: UsageSample, room: Room) -> None:
        if room.info is None:
            return
        limit = room.info.capacity.memory_mb * self._site.settings.memory_limit // 100
        short = -room.free.memory_mb - room.claimed.memory_mb
        over = max(sample.memory_mb - limit, short)
        if over > 0 and room.class_tasks:
            self._short_of_memory[room.target_id] = over

    def _carry_out(self, call: _Call, now_ms: int) -> None:
        room = self._site.rooms.by_id.get(call.target_id)
        if room is None:
            return
        load = self._site.load_of(call.target_id)
        if call.step is Step.NONE:
            self._resend(room)
            return
        if call.step is Step.RELAX:
            self._relax(room, load)
            return
        name = self._worst_class(room, load, call)
        tasks = [record for record in self._batch_on(room) if _is_of(record, name)]
        if not tasks:
            load.state = load.state._replace(steps=max(0, load.state.steps - 1))
        elif call.step is Step.THROTTLE:
            self._throttle(tasks, load)
        elif self._budget >= 1.0:
            self._evict_one(tasks, call, now_ms)

    def _worst_class(self, room: Room, load: TargetLoad, call: _Call) -> str:
        level = load.levels.get(call.service, 0)
        model = self._site.model
        worst, most = "", _LEAST_PART * call.pressure
        for name, share in self._site.shares_on(room).items():
            part = share * model.coefficient(call.service, name, level)
            if part > most:
                worst, most = name, part
        return worst

    def _batch_on(self, room: Room) -> list[TaskRecord]:
        return [
            record
            for record in room.tasks
            if record.group.lane is Lane.BATCH and record.state is TaskState.RUNNING
        ]

    def _throttle(self, tasks: list[TaskRecord], load: TargetLoad) -> None:
        percent = self._site.settings.throttle_steps[load.state.steps - 1]
        load.resend = _RESENDS
        for record in tasks:
            self._set_throttle(record, percent)

    def _relax(self, room: Room, load: TargetLoad) -> None:
        steps = load.state.steps
        percent = UNTHROTTLED_PERCENT
        if steps:
            percent = self._site.settings.throttle_steps[steps - 1]
        load.resend = _RESENDS
        for record in self._batch_on(room):
            if record.throttle < percent:
                self._set_throttle(record, percent)

    def _resend(self, room: Room) -> None:
        for record in self._batch_on(room):
            self._set_throttle(record, record.throttle)

    def _set_throttle(self, record: TaskRecord, percent: int) -> None:
        record.throttle = percent
        self.throttles.append(
            ThrottleTask(record.task_id, record.epoch, record.target_id, percent)
        )

    def _evict_one(self, tasks: list[TaskRecord], call: _Call, now_ms: int) -> None:
        for record in cheapest_first(tasks, now_ms)[:1]:
            self._budget -= 1.0
            reason = (
                f"p99 of {call.service} is {call.pressure:.2f} of its objective and"
                f" {record.group.shape.work_class} adds most to it"
            )
            self.evictions.append(self._site.evict(record, reason, now_ms))

    def _free_memory(self, target_id: str, amount: int, now_ms: int) -> None:
        room = self._site.rooms.by_id.get(target_id)
        if room is None:
            return
        for record in memory_victims(room.tasks, amount, now_ms):
            reason = (
                f"memory of {target_id} is {amount} MB over its limit and the task"
                f" holds {record.held.memory_mb} MB of"
                f" {record.group.shape.resources.memory_mb} declared"
            )
            self.evictions.append(self._site.evict(record, reason, now_ms))

    def _refill(self, now_ms: int) -> None:
        rate = self._site.eviction_rate()
        gained = rate * (now_ms - self._budget_ms) / _MS_PER_MINUTE
        self._budget = min(max(1.0, rate / _BUDGET_PART), self._budget + gained)
        self._budget_ms = now_ms


def _is_of(record: TaskRecord, work_class: str) -> bool:
    return record.group.shape.work_class == work_class
