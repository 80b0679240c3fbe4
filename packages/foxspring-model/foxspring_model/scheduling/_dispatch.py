"""Placement of queued tasks by lane, and preemption for services and urgent tasks."""

import heapq

from foxspring_model._commands import Eviction, Placement
from foxspring_model._invariant import INVARIANT_CHECKS, Invariant
from foxspring_model._job import TaskState
from foxspring_model._resources import Resources
from foxspring_model.scheduling._claims import Claims
from foxspring_model.scheduling._fair_share import FairShareOrder
from foxspring_model.scheduling._headroom import Kept, kept_from
from foxspring_model.scheduling._placement import TargetSelector
from foxspring_model.scheduling._quota import exceeded_quota
from foxspring_model.scheduling._records import Lane, TaskGroup, TaskRecord
from foxspring_model.scheduling._site import Site

_CLAIM_REASON = "capacity for {} task {}"


class Dispatcher:
    """Turns queued tasks into placements, with bounded work in each call."""

    def __init__(self, site: Site, select_target: TargetSelector) -> None:
        self._site = site
        self._select_target = select_target
        self._turns = {lane: FairShareOrder() for lane in Lane}
        self._claims = Claims(site)
        self._pending: list[tuple[int, str]] = []
        self._now_ms = 0
        self._searches_left = 0
        self._groups_left = 0
        self._failed_searches_left = 0
        self._claims_left = 0
        self._batch_reserve: Resources = Resources()
        self.placements: list[Placement] = []
        self.evictions: list[Eviction] = []
        self.ended: dict[str, list[str]] = {}

    def run(self, now_ms: int) -> None:
        """Compute ``placements``, ``evictions`` and ``ended`` at ``now_ms``."""
        settings = self._site.settings
        self._now_ms = now_ms
        self._searches_left = settings.searches_per_call
        self.placements = []
        self.evictions = []
        self.ended = {}
        self._expire_pending()
        self._requeue_delayed()
        self._admit_replicas()
        for record in self._claims.pop_ready(now_ms):
            self._propose(record, record.target_id, record.held)
        for lane in Lane:
            self._serve(lane)

    def requeue(self, record: TaskRecord, now_ms: int) -> None:
        """Release what a placement or claim holds and queue the task again.

        If the placement was a target's probe, the target may be probed again.
        """
        target_id = record.target_id
        self._site.task_table.release(record)
        self._site.task_table.waiting.add(record, now_ms)
        if target_id in self._site.failures.isolated:
            self._site.sync_quarantine(target_id)

    def quota_refusal(self, group: TaskGroup) -> str:
        """Return why the team's quota blocks a task of ``group``, or ``""``."""
        if group.lane is Lane.SERVICE:
            return ""
        usage = self._site.task_table.quotas.usage_of(group.shape.team)
        return exceeded_quota(usage, group.shape.resources)

    def reserve_refusal(self, group: TaskGroup, size: Resources) -> str:
        """Return why the reserve for urgent tasks blocks a task, or ``""``."""
        if group.lane is not Lane.BATCH:
            return ""
        free = self._site.target_table.total_free
        limits = zip(size._fields, size, self._batch_reserve, free, strict=True)
        for name, amount, reserve, left in limits:
            if amount and reserve and left - amount < reserve:
                return (
                    f"{reserve} {name} are reserved for urgent work and {left} are"
                    f" free; the task needs {amount}"
                )
        return ""

    def headroom_refusal(self, record: TaskRecord, size: Resources) -> str:
        """Return why a new replica is held back, or ``""``."""
        admission = self._site.task_table.admission
        if not admission.holds_back(record):
            return ""
        reason = admission.refusal(record.group, size, self._kept())
        return reason or "waits for the new replicas before it"

    def _admit_replicas(self) -> None:
        self._site.task_table.admit_replicas(self._kept(), self._now_ms)

    def _kept(self) -> Kept | None:
        return kept_from(self._site.target_table.staying, self._site.reserve.peak())

    def _serve(self, lane: Lane) -> None:
        self._groups_left = self._site.settings.groups_per_lane
        self._failed_searches_left = self._site.settings.failed_searches_per_lane
        self._claims_left = self._site.settings.claims_per_lane
        if lane is Lane.BATCH:
            self._update_reserve()
        self._turns[lane].serve(
            self._site.task_table.waiting.lanes[lane],
            self._site.task_table.quotas.share,
            self._try_group,
            self._has_budget,
        )

    def _update_reserve(self) -> None:
        held = self._site.task_table.urgent_held
        self._site.reserve.observe(held, self._now_ms)
        self._batch_reserve = self._site.reserve.required_free(held)

    def _has_budget(self) -> bool:
        settings = self._site.settings
        placements_left = len(self.placements) < settings.placements_per_call
        ends_left = sum(map(len, self.ended.values())) < settings.ends_per_call
        tries_left = self._groups_left > 0 and self._failed_searches_left > 0
        return placements_left and ends_left and tries_left and self._searches_left > 0

    def _try_group(self, group: TaskGroup) -> bool:
        self._groups_left -= 1
        record = self._first_waiting(group)
        if record is None:
            return False
        reason = self._site.end_reason(record)
        if reason:
            return self._end(record, group, reason)
        if self._is_blocked(group):
            return False
        size = self._site.size_of(group)
        if not self._site.target_table.may_fit(size):
            return self._try_claim(record, group, size)
        if self.reserve_refusal(group, size):
            return False
        target_id = self._find_target(record, size)
        if not target_id:
            return self._try_claim(record, group, size)
        self._dequeue(record, group)
        self._propose(record, target_id, size)
        return True

    def _try_claim(self, record: TaskRecord, group: TaskGroup, size: Resources) -> bool:
        if self._claims_left <= 0:
            return False
        if group.lane is not Lane.BATCH:
            return self._claim_by_eviction(record, group, size)
        return self._claim_for_starved(record, group, size)

    def _end(self, record: TaskRecord, group: TaskGroup, reason: str) -> bool:
        self._dequeue(record, group)
        self.ended.setdefault(reason, []).append(record.task_id)
        record.not_before_ms = self._now_ms + self._site.settings.command_timeout_ms
        self._site.task_table.waiting.add(record, self._now_ms)
        return True

    def _is_blocked(self, group: TaskGroup) -> bool:
        return bool(self.quota_refusal(group) or self._site.is_held_back(group))

    def _find_target(self, record: TaskRecord, size: Resources) -> str:
        self._searches_left -= 1
        target_id = self._select_target(record, size)
        if not target_id:
            self._failed_searches_left -= 1
        return target_id

    def _claim_by_eviction(
        self, record: TaskRecord, group: TaskGroup, size: Resources
    ) -> bool:
        self._claims_left -= 1
        victims = self._claims.try_claim(record, size, self._now_ms)
        if victims is None:
            return False
        self._dequeue(record, group)
        kind = "service" if group.service else "urgent"
        reason = _CLAIM_REASON.format(kind, record.task_id)
        for victim in victims:
            self.evictions.append(self._site.evict(victim, reason, self._now_ms))
        return True

    def _claim_for_starved(
        self, record: TaskRecord, group: TaskGroup, size: Resources
    ) -> bool:
        waited_ms = self._now_ms - record.since_ms
        starved_after_ms = self._site.settings.starved_after_ms
        if waited_ms < starved_after_ms or self._site.target_table.may_fit(size):
            return False
        self._claims_left -= 1
        if not self._claims.try_claim_for_starved(record, size, self._now_ms):
            return False
        self._dequeue(record, group)
        return True

    @staticmethod
    def _dequeue(record: TaskRecord, group: TaskGroup) -> None:
        group.pop()
        record.in_queue = False

    def _first_waiting(self, group: TaskGroup) -> TaskRecord | None:
        records = self._site.task_table.records
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
        free = site.target_table.get_or_create(target_id).free
        if record.target_id:
            free = free.plus(size)
        alone = INVARIANT_CHECKS.check(
            Invariant.ONE_PLACE,
            record.state is TaskState.QUEUED and not record.pending_until_ms,
            f"{record.task_id} is {record.state} and placed again",
        )
        fits = INVARIANT_CHECKS.check(
            Invariant.CAPACITY,
            size.fits_in(free),
            f"{record.task_id} needs {size} of {free} on {target_id}",
        )
        leaving = INVARIANT_CHECKS.check(
            Invariant.LEAVING_GETS_NOTHING,
            site.target_table.get_or_create(target_id).is_open,
            f"{record.task_id} on {target_id}, which is closed",
        )
        if not (alone and fits and leaving):
            record.not_before_ms = self._now_ms + site.settings.refusal_delay_ms
            self.requeue(record, self._now_ms)
            return
        until_ms = self._now_ms + site.settings.command_timeout_ms
        site.task_table.propose(record, target_id, size, until_ms)
        heapq.heappush(self._pending, (until_ms, record.task_id))
        self.placements.append(Placement(record.task_id, record.epoch + 1, target_id))
        if target_id in site.failures.isolated:
            site.begin_probe(record)

    def _expire_pending(self) -> None:
        while self._pending and self._pending[0][0] <= self._now_ms:
            until_ms, task_id = heapq.heappop(self._pending)
            record = self._site.task_table.records.get(task_id)
            if record is not None and record.pending_until_ms == until_ms:
                self.requeue(record, self._now_ms)

    def _requeue_delayed(self) -> None:
        task_table = self._site.task_table
        for task_id in task_table.waiting.pop_due(self._now_ms):
            record = task_table.records.get(task_id)
            if record is not None and self._is_ready(record):
                task_table.waiting.add(record, self._now_ms)
