"""Placing queued tasks, lane by lane, and freeing room for urgent ones."""

import heapq

from foxspring_model._commands import Eviction, Placement
from foxspring_model._invariant import CHECKS, Invariant
from foxspring_model._job import TaskState
from foxspring_model._resources import Resources
from foxspring_model.scheduling._claims import Claims
from foxspring_model.scheduling._placing import Choice
from foxspring_model.scheduling._quota import refusal
from foxspring_model.scheduling._records import Lane, TaskGroup, TaskRecord
from foxspring_model.scheduling._rotation import TeamTurns
from foxspring_model.scheduling._site import Site

_CLAIM_REASON = "room for {} task {}"


class Dispatcher:
    """Turns queued tasks into placements; one call does bounded work."""

    def __init__(self, site: Site, choice: Choice) -> None:
        self._site = site
        self._choice = choice
        self._turns = {lane: TeamTurns() for lane in Lane}
        self._claims = Claims(site)
        self._pending: list[tuple[int, str]] = []
        self._now_ms = 0
        self._searches_left = 0
        self._tries_left = 0
        self._misses_left = 0
        self._claims_left = 0
        self._batch_reserve: Resources = Resources()
        self.placements: list[Placement] = []
        self.evictions: list[Eviction] = []
        self.ended: dict[str, list[str]] = {}

    def run(self, now_ms: int) -> None:
        """Fill ``placements``, ``evictions`` and ``ended`` for ``now_ms``."""
        settings = self._site.settings
        self._now_ms = now_ms
        self._searches_left = settings.searches_per_call
        self._claims_left = settings.claims_per_call
        self.placements = []
        self.evictions = []
        self.ended = {}
        self._expire_pending()
        self._wake_delayed()
        for record in self._claims.ready(now_ms):
            self._propose(record, record.target_id, record.held)
        for lane in Lane:
            self._serve(lane)

    def requeue(self, record: TaskRecord, now_ms: int) -> None:
        """Give back what a placement or claim held and queue the task again."""
        self._site.book.release(record)
        self._site.book.waiting.add(record, now_ms)

    def quota_refusal(self, group: TaskGroup) -> str:
        """Return why the team's quota holds back a task, or ``""``."""
        if group.lane is Lane.SERVICE:
            return ""
        use = self._site.book.quotas.use_of(group.shape.team)
        return refusal(use, group.shape.resources)

    def reserve_refusal(self, group: TaskGroup, size: Resources) -> str:
        """Return why the reserve for urgent work holds back a task, or ``""``."""
        if group.lane is not Lane.BATCH:
            return ""
        free = self._site.rooms.total_free
        limits = zip(size._fields, size, self._batch_reserve, free, strict=True)
        for name, amount, reserve, left in limits:
            if amount and reserve and left - amount < reserve:
                return (
                    f"{reserve} {name} are reserved for urgent work and {left} are"
                    f" free; the task needs {amount}"
                )
        return ""

    def _serve(self, lane: Lane) -> None:
        self._tries_left = self._site.settings.tries_per_lane
        self._misses_left = self._site.settings.misses_per_lane
        if lane is Lane.BATCH:
            self._update_reserve()
        self._turns[lane].serve(
            self._site.book.waiting.lanes[lane],
            self._site.book.quotas.share,
            self._try_group,
            self._may_go_on,
        )

    def _update_reserve(self) -> None:
        held = self._site.book.urgent_held
        self._site.reserve.observe(held, self._now_ms)
        self._batch_reserve = self._site.reserve.wanted(held)

    def _may_go_on(self) -> bool:
        settings = self._site.settings
        few = len(self.placements) < settings.placements_per_call
        few_ended = sum(map(len, self.ended.values())) < settings.ends_per_call
        tries = self._tries_left > 0 and self._misses_left > 0
        return few and few_ended and tries and self._searches_left > 0

    def _try_group(self, group: TaskGroup) -> bool:
        self._tries_left -= 1
        record = self._first_waiting(group)
        if record is None:
            return False
        reason = self._site.end_reason(record)
        if reason:
            return self._end(record, group, reason)
        if self._held_back(group):
            return False
        size = self._site.size_of(group)
        if not self._site.rooms.may_fit(size):
            return self._make_room(record, group, size)
        if self.reserve_refusal(group, size):
            return False
        target_id = self._find(record, size)
        if not target_id:
            return self._make_room(record, group, size)
        self._take(record, group)
        self._propose(record, target_id, size)
        return True

    def _make_room(self, record: TaskRecord, group: TaskGroup, size: Resources) -> bool:
        if self._claims_left <= 0:
            return False
        if group.lane is not Lane.BATCH:
            return self._claim(record, group, size)
        return self._wait_for_room(record, group, size)

    def _end(self, record: TaskRecord, group: TaskGroup, reason: str) -> bool:
        self._take(record, group)
        self.ended.setdefault(reason, []).append(record.task_id)
        record.not_before_ms = self._now_ms + self._site.settings.command_timeout_ms
        self._site.book.waiting.add(record, self._now_ms)
        return True

    def _held_back(self, group: TaskGroup) -> bool:
        if self.quota_refusal(group):
            return True
        if not self._site.failures.unproven(group.shape.job_id):
            return False
        return group.placed >= self._site.settings.unproven_at_once

    def _find(self, record: TaskRecord, size: Resources) -> str:
        self._searches_left -= 1
        target_id = self._choice(record, size)
        if not target_id:
            self._misses_left -= 1
        return target_id

    def _claim(self, record: TaskRecord, group: TaskGroup, size: Resources) -> bool:
        self._claims_left -= 1
        victims = self._claims.try_claim(record, size, self._now_ms)
        if victims is None:
            return False
        self._take(record, group)
        kind = "service" if group.service else "urgent"
        reason = _CLAIM_REASON.format(kind, record.task_id)
        for victim in victims:
            self.evictions.append(self._site.evict(victim, reason, self._now_ms))
        return True

    def _wait_for_room(
        self, record: TaskRecord, group: TaskGroup, size: Resources
    ) -> bool:
        waited_ms = self._now_ms - record.since_ms
        patience_ms = self._site.settings.patient_after_ms
        if waited_ms < patience_ms or self._site.rooms.may_fit(size):
            return False
        self._claims_left -= 1
        if not self._claims.try_wait(record, size, self._now_ms):
            return False
        self._take(record, group)
        return True

    @staticmethod
    def _take(record: TaskRecord, group: TaskGroup) -> None:
        group.pop()
        record.in_queue = False

    def _first_waiting(self, group: TaskGroup) -> TaskRecord | None:
        records = self._site.book.records
        while group.waiting:
            record = records.get(group.waiting[0])
            if record is not None and self._is_ready(record):
                return record
            group.pop()
            if record is not None:
                record.in_queue = False
        return None

    def _is_ready(self, record: TaskRecord) -> bool:
        waits = record.state is TaskState.QUEUED and not record.target_id
        return waits and record.not_before_ms <= self._now_ms

    def _propose(self, record: TaskRecord, target_id: str, size: Resources) -> None:
        site = self._site
        free = site.rooms.room(target_id).free
        if record.target_id:
            free = free.plus(size)
        alone = CHECKS.check(
            Invariant.ONE_PLACE,
            record.state is TaskState.QUEUED and not record.pending_until_ms,
            f"{record.task_id} is {record.state} and placed again",
        )
        fits = CHECKS.check(
            Invariant.CAPACITY,
            size.fits_in(free),
            f"{record.task_id} needs {size} of {free} on {target_id}",
        )
        leaving = CHECKS.check(
            Invariant.LEAVING_GETS_NOTHING,
            site.rooms.room(target_id).is_open,
            f"{record.task_id} on {target_id}, which is closed",
        )
        if not (alone and fits and leaving):
            record.not_before_ms = self._now_ms + site.settings.refusal_delay_ms
            self.requeue(record, self._now_ms)
            return
        until_ms = self._now_ms + site.settings.command_timeout_ms
        site.book.propose(record, target_id, size, until_ms)
        heapq.heappush(self._pending, (until_ms, record.task_id))
        self.placements.append(Placement(record.task_id, record.epoch + 1, target_id))
        if target_id in site.failures.isolated:
            site.begin_probe(record)

    def _expire_pending(self) -> None:
        while self._pending and self._pending[0][0] <= self._now_ms:
            until_ms, task_id = heapq.heappop(self._pending)
            record = self._site.book.records.get(task_id)
            if record is not None and record.pending_until_ms == until_ms:
                self.requeue(record, self._now_ms)

    def _wake_delayed(self) -> None:
        book = self._site.book
        for task_id in book.waiting.due(self._now_ms):
            record = book.records.get(task_id)
            if record is not None and self._is_ready(record):
                book.waiting.add(record, self._now_ms)
