"""The scheduler: the state it keeps and the order in which it decides."""

import heapq
import random

from foxspring_model._commands import Placement
from foxspring_model._configuration import Configuration
from foxspring_model._invariant import CHECKS, Invariant
from foxspring_model._job import JobSpec, Task, TaskState
from foxspring_model._messages import UsageSample
from foxspring_model._resources import Resources
from foxspring_model._target import TargetInfo
from foxspring_model.scheduling._book import TaskBook
from foxspring_model.scheduling._decisions import Decisions
from foxspring_model.scheduling._placing import choose_target, load_cost
from foxspring_model.scheduling._quota import refusal
from foxspring_model.scheduling._records import Lane, TaskGroup, TaskRecord
from foxspring_model.scheduling._rooms import Rooms
from foxspring_model.scheduling._rotation import serve_teams
from foxspring_model.scheduling._settings import SchedulerSettings

_LEAVING = "it is leaving"
_DRAINING = "it is draining"


class Scheduler:
    """Decides placements, evictions, throttles and ends; changes nothing else.

    Feed it every change of the replicated state, then call :meth:`decide` a few
    times a second and propose what it returns. A decision that is not committed
    within ``command_timeout_ms`` is taken again.
    """

    def __init__(self, settings: SchedulerSettings) -> None:
        self.settings = settings
        self._rng = random.Random(settings.seed)
        self._rooms = Rooms(self._rng, settings.starting_per_target)
        self._book = TaskBook(self._rooms)
        self._configuration = Configuration()
        self._pending: list[tuple[int, str]] = []
        self._now_ms = 0
        self._searches_left = 0
        self._placements: list[Placement] = []

    def set_configuration(self, configuration: Configuration) -> None:
        """Take the configuration in force; what already runs stays."""
        self._configuration = configuration
        self._book.quotas.set_teams(configuration.teams)

    def upsert_target(self, info: TargetInfo, draining: bool) -> None:
        """Take a target's announcement and whether an operator drains it."""
        closed = _LEAVING if info.leaving else _DRAINING if draining else ""
        self._rooms.announce(info, closed)

    def remove_target(self, target_id: str) -> None:
        """Forget a target; its tasks hold their place until the log frees it."""
        self._rooms.remove(target_id)

    def upsert_task(self, task: Task, now_ms: int) -> None:
        """Take a task's state from the replicated log; repeating is harmless."""
        self._book.upsert(task, task.resources, now_ms)

    def forget_task(self, task_id: str) -> None:
        """Drop a task that the replicated state no longer holds."""
        self._book.forget(task_id)

    def record_sample(self, sample: UsageSample, now_ms: int) -> None:
        """Learn from a late measurement of one target."""

    def task_refused(self, task_id: str, target_id: str, now_ms: int) -> None:
        """Send a task elsewhere after its target's owner had no room."""
        record = self._book.records.get(task_id)
        if record is None:
            return
        record.not_before_ms = now_ms + self.settings.refusal_delay_ms
        if record.state is TaskState.QUEUED and record.target_id == target_id:
            self._requeue(record, now_ms)

    def decide(self, now_ms: int) -> Decisions:
        """Return what to do now; the work of one call is bounded."""
        self._now_ms = now_ms
        self._searches_left = self.settings.searches_per_call
        self._placements = []
        self._expire_pending(now_ms)
        self._wake_delayed(now_ms)
        for lane in Lane:
            self._serve(lane)
        return Decisions(placements=tuple(self._placements))

    def explain(self, task_id: str, now_ms: int) -> tuple[str, ...]:
        """Return why a queued task waits, each reason with its figure."""
        record = self._book.records.get(task_id)
        if record is None or record.state is not TaskState.QUEUED:
            return ()
        reasons = []
        if record.not_before_ms > now_ms:
            reasons.append(f"waits {record.not_before_ms - now_ms} ms after a failure")
        quota = self._quota_refusal(record.group)
        if quota:
            reasons.append(quota)
        if not self._rooms.may_fit(record.group.shape.resources):
            reasons.append(f"no target has {record.group.shape.resources} free")
        return tuple(reasons)

    def quarantined(self, now_ms: int) -> tuple[str, ...]:
        """Return the targets that get no new work because they fail it all."""
        return ()

    def never_fits(self, spec: JobSpec) -> str:
        """Return why a job can never run on this site, or ``""``."""
        rooms = [room for room in self._rooms.by_id.values() if room.info is not None]
        if not rooms:
            return ""
        need = spec.resources
        if any(room.info and need.fits_in(room.info.capacity) for room in rooms):
            return ""
        return f"no target holds {need}; ask for less"

    def _serve(self, lane: Lane) -> None:
        queues = self._book.waiting.lanes[lane]
        serve_teams(
            lane, queues, self._book.quotas.share, self._try_group, self._may_go_on
        )

    def _may_go_on(self) -> bool:
        few = len(self._placements) < self.settings.placements_per_call
        return few and self._searches_left > 0

    def _try_group(self, group: TaskGroup) -> bool:
        record = self._first_waiting(group)
        if record is None or self._quota_refusal(group):
            return False
        size = self._size_of(group)
        if not self._rooms.may_fit(size):
            return False
        self._searches_left -= 1
        target_id = choose_target(record, size, self._rooms, load_cost, self.settings)
        if not target_id:
            return False
        group.waiting.popleft()
        record.in_queue = False
        self._place(record, target_id, size)
        return True

    def _first_waiting(self, group: TaskGroup) -> TaskRecord | None:
        while group.waiting:
            record = self._book.records.get(group.waiting[0])
            if record is not None and self._is_ready(record):
                return record
            group.waiting.popleft()
            if record is not None:
                record.in_queue = False
        return None

    def _is_ready(self, record: TaskRecord) -> bool:
        waits = record.state is TaskState.QUEUED and not record.target_id
        return waits and record.not_before_ms <= self._now_ms

    def _size_of(self, group: TaskGroup) -> Resources:
        return group.shape.resources

    def _quota_refusal(self, group: TaskGroup) -> str:
        if group.lane is Lane.SERVICE:
            return ""
        use = self._book.quotas.use_of(group.shape.team)
        return refusal(use, group.shape.resources)

    def _place(self, record: TaskRecord, target_id: str, size: Resources) -> None:
        free = self._rooms.room(target_id).free
        if not CHECKS.check(
            Invariant.CAPACITY,
            size.fits_in(free),
            f"{record.task_id} needs {size} of {free} on {target_id}",
        ):
            return
        until_ms = self._now_ms + self.settings.command_timeout_ms
        self._book.propose(record, target_id, size, until_ms)
        heapq.heappush(self._pending, (until_ms, record.task_id))
        self._placements.append(
            Placement(record.task_id, record.epoch + 1, record.target_id)
        )

    def _expire_pending(self, now_ms: int) -> None:
        while self._pending and self._pending[0][0] <= now_ms:
            until_ms, task_id = heapq.heappop(self._pending)
            record = self._book.records.get(task_id)
            if record is not None and record.pending_until_ms == until_ms:
                self._requeue(record, now_ms)

    def _requeue(self, record: TaskRecord, now_ms: int) -> None:
        self._book.release(record)
        self._book.waiting.add(record, now_ms)

    def _wake_delayed(self, now_ms: int) -> None:
        for task_id in self._book.waiting.due(now_ms):
            record = self._book.records.get(task_id)
            if record is not None and self._is_ready(record):
                self._book.waiting.add(record, now_ms)
