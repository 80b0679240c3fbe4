"""Learning from measurements, and relief of targets under pressure."""

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
from foxspring_model.scheduling._site import Site, TargetLoad
from foxspring_model.scheduling._sizes import ObservedUsage
from foxspring_model.scheduling._target_table import TargetRecord
from foxspring_model.scheduling._victims import cheapest_first

_MS_PER_MINUTE = 60_000
_BUDGET_BURST_DIVISOR = 4
_MIN_PRESSURE_PART = 0.1
_RESENDS = 2


class _PendingStep(NamedTuple):
    target_id: str
    step: Step
    service: str
    pressure: float


class Relief:
    """Turns samples into learned estimates, throttles and evictions."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._pending_steps: list[_PendingStep] = []
        self._memory_excess_mb: dict[str, int] = {}
        self._eviction_budget = 1.0
        self._budget_ms = 0
        self.throttles: list[ThrottleTask] = []
        self.evictions: list[Eviction] = []

    def observe(self, sample: UsageSample) -> None:
        """Learn from one sample; if it is the newest, also check for pressure."""
        target = self._site.target_table.by_id.get(sample.target_id)
        if target is None or target.info is None:
            return
        load = self._site.load_of(sample.target_id)
        is_new, is_newest = load.history.admit(sample)
        if not is_new:
            return
        self._learn_sizes(sample)
        shares = self._shares_when_sampled(sample, target.info.capacity.cores_milli)
        worst = self._learn_interference(sample, shares, load, is_newest)
        if is_newest:
            self._update_trials(sample, load, worst)
            self._update_pressure(target, load, worst)
            self._update_memory(sample, target)

    def run(self, now_ms: int) -> None:
        """Compute ``throttles`` and ``evictions`` from the observed samples."""
        self.throttles = []
        self.evictions = []
        self._refill_eviction_budget(now_ms)
        pending_steps, self._pending_steps = self._pending_steps, []
        for pending in pending_steps:
            self._apply_step(pending, now_ms)
        excess, self._memory_excess_mb = self._memory_excess_mb, {}
        for target_id, amount in excess.items():
            self._free_memory(target_id, amount, now_ms)

    def _learn_sizes(self, sample: UsageSample) -> None:
        task_table = self._site.task_table
        for task_id, cores_milli, memory_mb in sample.task_usage:
            record = task_table.records.get(task_id)
            if record is None:
                continue
            group = record.group
            if group.observed_usage is None:
                group.observed_usage = ObservedUsage()
            group.observed_usage.observe(cores_milli, memory_mb)
            if record.target_id == sample.target_id:
                task_table.resize(record, self._site.size_of(group))

    def _shares_when_sampled(
        self, sample: UsageSample, capacity_milli: int
    ) -> dict[str, float] | None:
        if not capacity_milli:
            return None
        shares: dict[str, float] = {}
        for task_id, epoch in sample.running:
            record = self._site.task_table.records.get(task_id)
            if record is not None:
                if record.group.service:
                    continue
                name = record.group.shape.work_class
                part = record.group.shape.resources.cores_milli / capacity_milli
                if record.epoch == epoch:
                    part *= record.throttle / UNTHROTTLED_PERCENT
            else:
                summary = self._site.recent_shapes.of_task(task_id)
                if summary is None:
                    return None
                if summary.kind is TaskKind.SERVICE:
                    continue
                name, part = summary.work_class, summary.cores_milli / capacity_milli
            shares[name] = shares.get(name, 0.0) + part
        return shares

    def _learn_interference(
        self,
        sample: UsageSample,
        shares: dict[str, float] | None,
        load: TargetLoad,
        is_newest: bool,
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
            if is_newest:
                load.levels[service] = level
            worst = max(worst, (service, pressure), key=lambda pair: pair[1])
        return worst

    def _full_window(
        self, load: TargetLoad, service: str, requests: int, p99_us: int
    ) -> LatencyWindow | None:
        window = load.windows.get(service, LatencyWindow())
        min_requests = self._site.settings.min_requests
        load.windows[service], full = add_measurement(
            window, requests, p99_us, min_requests
        )
        return full

    def _update_trials(
        self, sample: UsageSample, load: TargetLoad, worst: tuple[str, float]
    ) -> None:
        service, pressure = worst
        if not service and any(each.requests for each in load.windows.values()):
            return
        if pressure > self._site.limits.high:
            load.trials.record_high_pressure()
        if pressure > self._site.limits.low:
            return
        running: Counter[str] = Counter()
        for task_id, epoch in sample.running:
            record = self._site.task_table.records.get(task_id)
            if record is not None and record.epoch == epoch:
                running[record.group.shape.work_class] += 1
        for work_class, count in running.items():
            load.trials.record_low_pressure(work_class, count, not service)

    def _update_pressure(
        self, target: TargetRecord, load: TargetLoad, worst: tuple[str, float]
    ) -> None:
        service, pressure = worst
        if not target.class_tasks:
            load.state = PressureState()
            return
        if not service and load.windows:
            return
        load.state, step = advance(load.state, pressure, self._site.limits)
        if step is not Step.NONE:
            self._pending_steps.append(
                _PendingStep(target.target_id, step, service, pressure)
            )
        elif load.resend:
            load.resend -= 1
            self._pending_steps.append(
                _PendingStep(target.target_id, step, service, pressure)
            )

    def _update_memory(self, sample: UsageSample, target: TargetRecord) -> None:
        if target.info is None:
            return
        limit = (
            target.info.capacity.memory_mb
            * self._site.settings.memory_limit_percent
            // 100
        )
        overcommitted = -target.free.memory_mb - target.claimed.memory_mb
        over = max(sample.memory_mb - limit, overcommitted)
        if over > 0 and target.class_tasks:
            self._memory_excess_mb[target.target_id] = over

    def _apply_step(self, pending: _PendingStep, now_ms: int) -> None:
        target = self._site.target_table.by_id.get(pending.target_id)
        if target is None:
            return
        load = self._site.load_of(pending.target_id)
        if pending.step is Step.NONE:
            self._resend(target)
            return
        if pending.step is Step.RELAX:
            self._relax(target, load)
            return
        name = self._worst_class(target, load, pending)
        tasks = [
            record
            for record in self._running_batch_tasks(target)
            if _has_work_class(record, name)
        ]
        if not tasks:
            load.state = load.state._replace(steps=max(0, load.state.steps - 1))
        elif pending.step is Step.THROTTLE:
            self._throttle(tasks, load)
        elif self._eviction_budget >= 1.0:
            self._evict_one(tasks, pending, now_ms)

    def _worst_class(
        self, target: TargetRecord, load: TargetLoad, pending: _PendingStep
    ) -> str:
        level = load.levels.get(pending.service, 0)
        model = self._site.model
        worst, largest_part = "", _MIN_PRESSURE_PART * pending.pressure
        for name, share in self._site.shares_on(target).items():
            part = share * model.coefficient(pending.service, name, level)
            if part > largest_part:
                worst, largest_part = name, part
        return worst

    def _running_batch_tasks(self, target: TargetRecord) -> list[TaskRecord]:
        return [
            record
            for record in target.tasks
            if record.group.lane is Lane.BATCH and record.state is TaskState.RUNNING
        ]

    def _throttle(self, tasks: list[TaskRecord], load: TargetLoad) -> None:
        percent = self._site.settings.throttle_steps[load.state.steps - 1]
        load.resend = _RESENDS
        for record in tasks:
            self._set_throttle(record, percent)

    def _relax(self, target: TargetRecord, load: TargetLoad) -> None:
        steps = load.state.steps
        percent = UNTHROTTLED_PERCENT
        if steps:
            percent = self._site.settings.throttle_steps[steps - 1]
        load.resend = _RESENDS
        for record in self._running_batch_tasks(target):
            if record.throttle < percent:
                self._set_throttle(record, percent)

    def _resend(self, target: TargetRecord) -> None:
        for record in self._running_batch_tasks(target):
            self._set_throttle(record, record.throttle)

    def _set_throttle(self, record: TaskRecord, percent: int) -> None:
        record.throttle = percent
        self.throttles.append(
            ThrottleTask(record.task_id, record.epoch, record.target_id, percent)
        )

    def _evict_one(
        self, tasks: list[TaskRecord], pending: _PendingStep, now_ms: int
    ) -> None:
        for record in cheapest_first(tasks, now_ms)[:1]:
            self._eviction_budget -= 1.0
            reason = (
                f"p99 of {pending.service} is {pending.pressure:.2f} of its objective"
                f" and {record.group.shape.work_class} contributes most to it"
            )
            self.evictions.append(self._site.evict(record, reason, now_ms))

    def _free_memory(self, target_id: str, amount: int, now_ms: int) -> None:
        target = self._site.target_table.by_id.get(target_id)
        if target is None:
            return
        for record in memory_victims(target.tasks, amount, now_ms):
            reason = (
                f"memory of {target_id} is {amount} MB over its limit and the task"
                f" holds {record.held.memory_mb} MB of"
                f" {record.group.shape.resources.memory_mb} declared"
            )
            self.evictions.append(self._site.evict(record, reason, now_ms))

    def _refill_eviction_budget(self, now_ms: int) -> None:
        rate = self._site.eviction_rate()
        gained = rate * (now_ms - self._budget_ms) / _MS_PER_MINUTE
        self._eviction_budget = min(
            max(1.0, rate / _BUDGET_BURST_DIVISOR), self._eviction_budget + gained
        )
        self._budget_ms = now_ms


def _has_work_class(record: TaskRecord, work_class: str) -> bool:
    return record.group.shape.work_class == work_class
