"""Every task that has not ended, with the resources and quota that it holds."""

import sys
from collections import Counter
from collections.abc import Callable

from foxspring_model._invariant import INVARIANT_CHECKS, Invariant
from foxspring_model._job import ENDED_STATES, PLACED_STATES, Task, TaskState
from foxspring_model._resources import NO_RESOURCES, Resources
from foxspring_model.scheduling._headroom import Kept, ReplicaAdmission
from foxspring_model.scheduling._queues import WaitingTasks
from foxspring_model.scheduling._quota import QuotaTracker
from foxspring_model.scheduling._records import (
    UNTHROTTLED_PERCENT,
    Lane,
    Shape,
    TaskGroup,
    TaskRecord,
    shape_of,
)
from foxspring_model.scheduling._target_table import TargetRecord, TargetTable

SizeOf = Callable[[TaskGroup], Resources]


class TaskTable:
    """Keeps task records, target records, quotas and queues consistent."""

    def __init__(self, target_table: TargetTable, size_of: SizeOf) -> None:
        self.records: dict[str, TaskRecord] = {}
        self.groups: dict[Shape, TaskGroup] = {}
        self.quotas = QuotaTracker()
        self.waiting = WaitingTasks()
        self.admission = ReplicaAdmission()
        self.urgent_held: Resources = NO_RESOURCES
        self._target_table = target_table
        self._size_of = size_of
        self._tasks_per_job: Counter[str] = Counter()

    def upsert(self, task: Task, wait_ms: int, now_ms: int) -> TaskRecord | None:
        """Apply a task's state; a queued task is delayed by ``wait_ms``.

        Returns its record, or ``None`` if the task has ended.
        """
        record = self.records.get(task.task_id)
        if task.state in ENDED_STATES:
            self.remove(task.task_id)
            return None
        if record is None:
            record = self._create_record(task)
        self._check_transition(record, task)
        if wait_ms:
            record.not_before_ms = now_ms + wait_ms
        self._apply(record, task, self._size_of(record.group), now_ms)
        return record

    def remove(self, task_id: str) -> None:
        """Remove a task and release what it holds; unknown tasks are ignored."""
        record = self.records.pop(task_id, None)
        if record is None:
            return
        self.release(record)
        self.admission.remove(record)
        group = record.group
        group.members -= 1
        self._tasks_per_job[group.shape.job_id] -= 1
        if not self._tasks_per_job[group.shape.job_id]:
            del self._tasks_per_job[group.shape.job_id]
        if not group.members:
            self.groups.pop(group.shape, None)

    def has_job(self, job_id: str) -> bool:
        """Return whether any task of the job remains."""
        return job_id in self._tasks_per_job

    def hold(self, record: TaskRecord, target_id: str, size: Resources) -> None:
        """Reserve resources and quota for ``record``, which must not hold any yet."""
        target = self._target_table.get_or_create(target_id)
        record.target_id = target.target_id
        record.held = size
        target.held = target.held.plus(size)
        target.tasks.append(record)
        group = record.group
        group.placed += 1
        if group.service:
            self.admission.count(record, size)
            self._target_table.count_replica(target, group.service, 1)
        else:
            target.class_tasks[group.shape.work_class] += 1
            target.class_cores[group.shape.work_class] += size.cores_milli
        if group.lane is Lane.URGENT:
            self.urgent_held = self.urgent_held.plus(size)
        self.quotas.add(group.shape.team, group.shape.resources)
        self._target_table.refresh(target)

    def release(self, record: TaskRecord) -> None:
        """Release what ``record`` holds; idempotent."""
        if not record.target_id:
            return
        target = self._target_table.get_or_create(record.target_id)
        self._set_starting(target, record, starting=False)
        record.target_id = ""
        self._end_claim(target, record)
        size = record.held
        target.held = target.held.minus(size)
        record.held = NO_RESOURCES
        record.pending_until_ms = 0
        record.evicting_until_ms = 0
        group = record.group
        group.placed -= 1
        if group.lane is Lane.URGENT:
            self.urgent_held = self.urgent_held.minus(size)
        target.tasks.remove(record)
        self._uncount(target, group, size)
        self.quotas.subtract(group.shape.team, group.shape.resources)
        self._target_table.refresh(target)
        self._target_table.drop_if_unused(target)

    def resize(self, record: TaskRecord, size: Resources) -> None:
        """Change the resources that a placed task holds on its target."""
        if not record.target_id or record.held == size:
            return
        target = self._target_table.get_or_create(record.target_id)
        target.held = target.held.minus(record.held).plus(size)
        if record.claim_until_ms:
            target.claimed = target.claimed.minus(record.held).plus(size)
        group = record.group
        if group.lane is Lane.URGENT:
            self.urgent_held = self.urgent_held.minus(record.held).plus(size)
        if group.service:
            self.admission.count(record, size)
        else:
            more = size.cores_milli - record.held.cores_milli
            target.class_cores[group.shape.work_class] += more
        record.held = size
        self._target_table.refresh(target)

    def claim(
        self, record: TaskRecord, target_id: str, size: Resources, until_ms: int
    ) -> None:
        """Reserve resources that other tasks are about to release, before placement."""
        self.hold(record, target_id, size)
        target = self._target_table.get_or_create(target_id)
        target.claimed = target.claimed.plus(size)
        record.claim_until_ms = until_ms

    def propose(
        self, record: TaskRecord, target_id: str, size: Resources, until_ms: int
    ) -> None:
        """Reserve resources for a placement that is not committed yet."""
        if not record.target_id:
            self.hold(record, target_id, size)
        self._end_claim(self._target_table.get_or_create(target_id), record)
        record.pending_until_ms = until_ms
        self._set_starting(
            self._target_table.get_or_create(target_id), record, starting=True
        )

    def _create_record(self, task: Task) -> TaskRecord:
        shape = shape_of(task)
        group = self.groups.get(shape)
        if group is None:
            group = TaskGroup(shape)
            self.groups[shape] = group
        record = TaskRecord(sys.intern(task.task_id), group)
        self.records[record.task_id] = record
        group.members += 1
        self._tasks_per_job[shape.job_id] += 1
        return record

    def _apply(
        self, record: TaskRecord, task: Task, size: Resources, now_ms: int
    ) -> None:
        if task.epoch != record.epoch or task.state is not record.state:
            record.since_ms = now_ms
        self._record_run_end(record, task)
        checkpoint_hash = hash(task.checkpoint)
        if checkpoint_hash != record.checkpoint_hash:
            record.checkpoint_hash = checkpoint_hash
            record.saved_ms = now_ms
        record.attempts = task.attempts
        record.evictions = task.evictions
        record.resumed = task.resumed
        record.failed_targets = task.failed_targets
        if task.state in PLACED_STATES:
            self._apply_placed(record, task, size, now_ms)
        else:
            self._apply_queued(record, task, size, now_ms)

    def _apply_placed(
        self, record: TaskRecord, task: Task, size: Resources, now_ms: int
    ) -> None:
        if record.target_id != task.target_id or record.epoch != task.epoch:
            self.release(record)
            self.hold(record, sys.intern(task.target_id), size)
            record.throttle = UNTHROTTLED_PERCENT
        target = self._target_table.get_or_create(task.target_id)
        starting = task.state is TaskState.STARTING
        self._set_starting(target, record, starting=starting)
        if task.state is TaskState.RUNNING and record.state is not TaskState.RUNNING:
            record.saved_ms = now_ms
        record.pending_until_ms = 0
        if task.state is TaskState.STOPPING:
            record.evicting_until_ms = 0
        record.epoch = task.epoch
        record.state = task.state

    def _apply_queued(
        self, record: TaskRecord, task: Task, size: Resources, now_ms: int
    ) -> None:
        same = record.state is TaskState.QUEUED and record.epoch == task.epoch
        record.epoch = task.epoch
        record.state = task.state
        if same and record.target_id:
            return
        self.release(record)
        group, admission = record.group, self.admission
        has_run = task.attempts or task.evictions
        if group.service and (has_run or admission.is_first(group)):
            admission.count(record, size)
        if group.service and not admission.is_counted(record):
            admission.enqueue(record)
        else:
            self.waiting.add(record, now_ms)

    def admit_replicas(self, kept: Kept | None, now_ms: int) -> None:
        """Queue the new replicas that may be placed beside what is ``kept``."""
        admission = self.admission
        while admission.waiting:
            record = admission.waiting[0]
            is_current = self.records.get(record.task_id) is record
            if is_current and admission.holds_back(record):
                size = self._size_of(record.group)
                # One that is larger than every target holds up no other.
                if not size.fits_in(self._target_table.largest):
                    admission.pass_over(record)
                elif admission.refusal(record.group, size, kept):
                    return
                else:
                    admission.count(record, size)
                self.waiting.add(record, now_ms)
            admission.waiting.popleft()

    @staticmethod
    def _record_run_end(record: TaskRecord, task: Task) -> None:
        if task.evictions > record.evictions:
            stopped = record.state is TaskState.STOPPING or record.evicting_until_ms > 0
            record.last_run_evicted = stopped or record.epoch < 0
        elif task.attempts > record.attempts:
            record.last_run_evicted = False

    def _check_transition(self, record: TaskRecord, task: Task) -> None:
        both_placed = record.state in PLACED_STATES and task.state in PLACED_STATES
        moved = record.epoch == task.epoch and record.target_id != task.target_id
        INVARIANT_CHECKS.check(
            Invariant.ONE_PLACE,
            not (both_placed and moved),
            f"{task.task_id} epoch {task.epoch} at {record.target_id}"
            f" and {task.target_id}",
        )
        if record.epoch >= 0:
            INVARIANT_CHECKS.check(
                Invariant.RESUME_ONCE,
                task.resumed - record.resumed <= task.epoch - record.epoch,
                f"{task.task_id} resumed {task.resumed} times by epoch {task.epoch}",
            )

    @staticmethod
    def _end_claim(target: TargetRecord, record: TaskRecord) -> None:
        if record.claim_until_ms:
            target.claimed = target.claimed.minus(record.held)
            record.claim_until_ms = 0

    def _set_starting(
        self, target: TargetRecord, record: TaskRecord, *, starting: bool
    ) -> None:
        if record.starting == starting:
            return
        record.starting = starting
        target.starting += 1 if starting else -1
        self._target_table.refresh(target)

    def _uncount(self, target: TargetRecord, group: TaskGroup, size: Resources) -> None:
        if group.service:
            self._target_table.count_replica(target, group.service, -1)
            return
        work_class = group.shape.work_class
        target.class_tasks[work_class] -= 1
        target.class_cores[work_class] -= size.cores_milli
        if not target.class_tasks[work_class]:
            del target.class_tasks[work_class]
            del target.class_cores[work_class]
