"""Every task that has not ended, and the room and quota that each one holds."""

import sys
from collections import Counter
from collections.abc import Callable

from foxspring_model._invariant import CHECKS, Invariant
from foxspring_model._job import ENDED_STATES, PLACED_STATES, Task, TaskState
from foxspring_model._resources import NOTHING, Resources
from foxspring_model.scheduling._queues import WaitingTasks
from foxspring_model.scheduling._quota import QuotaLedger
from foxspring_model.scheduling._records import (
    UNTHROTTLED_PERCENT,
    Lane,
    Shape,
    TaskGroup,
    TaskRecord,
    shape_of,
)
from foxspring_model.scheduling._rooms import Room, Rooms

SizeOf = Callable[[TaskGroup], Resources]


class TaskBook:
    """Keeps records, rooms, quotas and queues in step with each other."""

    def __init__(self, rooms: Rooms, size_of: SizeOf) -> None:
        self.records: dict[str, TaskRecord] = {}
        self.groups: dict[Shape, TaskGroup] = {}
        self.quotas = QuotaLedger()
        self.waiting = WaitingTasks()
        self.urgent_held: Resources = NOTHING
        self._rooms = rooms
        self._size_of = size_of
        self._members: Counter[str] = Counter()

    def upsert(self, task: Task, wait_ms: int, now_ms: int) -> TaskRecord | None:
        """Take a task's state; if queued it waits for ``wait_ms`` first.

        Returns its record, or ``None`` if it has ended.
        """
        record = self.records.get(task.task_id)
        if task.state in ENDED_STATES:
            self.forget(task.task_id)
            return None
        if record is None:
            record = self._open(task)
        self._check_moves(record, task)
        if wait_ms:
            record.not_before_ms = now_ms + wait_ms
        self._apply(record, task, self._size_of(record.group), now_ms)
        return record

    def forget(self, task_id: str) -> None:
        """Drop a task with whatever it holds; unknown tasks are ignored."""
        record = self.records.pop(task_id, None)
        if record is None:
            return
        self.release(record)
        group = record.group
        group.members -= 1
        self._members[group.shape.job_id] -= 1
        if not self._members[group.shape.job_id]:
            del self._members[group.shape.job_id]
        if not group.members:
            self.groups.pop(group.shape, None)

    def has_job(self, job_id: str) -> bool:
        """Tell whether any task of a job is left."""
        return job_id in self._members

    def hold(self, record: TaskRecord, target_id: str, size: Resources) -> None:
        """Reserve room and quota for ``record``; it must hold nothing yet."""
        room = self._rooms.room(target_id)
        record.target_id = room.target_id
        record.held = size
        room.held = room.held.plus(size)
        room.tasks.append(record)
        group = record.group
        group.placed += 1
        if group.service:
            self._rooms.count_replica(room, group.service, 1)
        else:
            room.class_tasks[group.shape.work_class] += 1
            room.class_cores[group.shape.work_class] += size.cores_milli
        if group.lane is Lane.URGENT:
            self.urgent_held = self.urgent_held.plus(size)
        self.quotas.add(group.shape.team, group.shape.resources)
        self._rooms.refresh(room)

    def release(self, record: TaskRecord) -> None:
        """Give back what ``record`` holds; a second time changes nothing."""
        if not record.target_id:
            return
        room = self._rooms.room(record.target_id)
        self._note_starting(room, record, starting=False)
        record.target_id = ""
        self._end_claim(room, record)
        size = record.held
        room.held = room.held.minus(size)
        record.held = NOTHING
        record.pending_until_ms = 0
        record.evicting_until_ms = 0
        group = record.group
        group.placed -= 1
        if group.lane is Lane.URGENT:
            self.urgent_held = self.urgent_held.minus(size)
        room.tasks.remove(record)
        self._uncount(room, group, size)
        self.quotas.subtract(group.shape.team, group.shape.resources)
        self._rooms.refresh(room)
        self._rooms.drop_if_unused(room)

    def resize(self, record: TaskRecord, size: Resources) -> None:
        """Change what a placed task holds on its target."""
        if not record.target_id or record.held == size:
            return
        room = self._rooms.room(record.target_id)
        room.held = room.held.minus(record.held).plus(size)
        if record.claim_until_ms:
            room.claimed = room.claimed.minus(record.held).plus(size)
        group = record.group
        if group.lane is Lane.URGENT:
            self.urgent_held = self.urgent_held.minus(record.held).plus(size)
        if not group.service:
            more = size.cores_milli - record.held.cores_milli
            room.class_cores[group.shape.work_class] += more
        record.held = size
        self._rooms.refresh(room)

    def claim(
        self, record: TaskRecord, target_id: str, size: Resources, until_ms: int
    ) -> None:
        """Hold room that others are leaving, for a task that is not placed yet."""
        self.hold(record, target_id, size)
        room = self._rooms.room(target_id)
        room.claimed = room.claimed.plus(size)
        record.claim_until_ms = until_ms

    def propose(
        self, record: TaskRecord, target_id: str, size: Resources, until_ms: int
    ) -> None:
        """Hold room for a placement that is decided but not yet committed."""
        if not record.target_id:
            self.hold(record, target_id, size)
        self._end_claim(self._rooms.room(target_id), record)
        record.pending_until_ms = until_ms
        self._note_starting(self._rooms.room(target_id), record, starting=True)

    def _open(self, task: Task) -> TaskRecord:
        shape = shape_of(task)
        group = self.groups.get(shape)
        if group is None:
            group = TaskGroup(shape)
            self.groups[shape] = group
        record = TaskRecord(sys.intern(task.task_id), group)
        self.records[record.task_id] = record
        group.members += 1
        self._members[shape.job_id] += 1
        return record

    def _apply(
        self, record: TaskRecord, task: Task, size: Resources, now_ms: int
    ) -> None:
        if task.epoch != record.epoch or task.state is not record.state:
            record.since_ms = now_ms
        self._note_run_end(record, task)
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
            self._apply_queued(record, task, now_ms)

    def _apply_placed(
        self, record: TaskRecord, task: Task, size: Resources, now_ms: int
    ) -> None:
        if record.target_id != task.target_id or record.epoch != task.epoch:
            self.release(record)
            self.hold(record, sys.intern(task.target_id), size)
            record.throttle = UNTHROTTLED_PERCENT
        room = self._rooms.room(task.target_id)
        starting = task.state is TaskState.STARTING
        self._note_starting(room, record, starting=starting)
        if task.state is TaskState.RUNNING and record.state is not TaskState.RUNNING:
            record.saved_ms = now_ms
        record.pending_until_ms = 0
        if task.state is TaskState.STOPPING:
            record.evicting_until_ms = 0
        record.epoch = task.epoch
        record.state = task.state

    def _apply_queued(self, record: TaskRecord, task: Task, now_ms: int) -> None:
        same = record.state is TaskState.QUEUED and record.epoch == task.epoch
        record.epoch = task.epoch
        record.state = task.state
        if same and record.target_id:
            return
        self.release(record)
        self.waiting.add(record, now_ms)

    @staticmethod
    def _note_run_end(record: TaskRecord, task: Task) -> None:
        if task.evictions > record.evictions:
            stopped = record.state is TaskState.STOPPING or record.evicting_until_ms > 0
            record.last_run_evicted = stopped or record.epoch < 0
        elif task.attempts > record.attempts:
            record.last_run_evicted = False

    def _check_moves(self, record: TaskRecord, task: Task) -> None:
        both_placed = record.state in PLACED_STATES and task.state in PLACED_STATES
        moved = record.epoch == task.epoch and record.target_id != task.target_id
        CHECKS.check(
            Invariant.ONE_PLACE,
            not (both_placed and moved),
            f"{task.task_id} epoch {task.epoch} at {record.target_id}"
            f" and {task.target_id}",
        )
        if record.epoch >= 0:
            CHECKS.check(
                Invariant.RESUME_ONCE,
                task.resumed - record.resumed <= task.epoch - record.epoch,
                f"{task.task_id} resumed {task.resumed} times by epoch {task.epoch}",
            )

    @staticmethod
    def _end_claim(room: Room, record: TaskRecord) -> None:
        if record.claim_until_ms:
            room.claimed = room.claimed.minus(record.held)
            record.claim_until_ms = 0

    def _note_starting(self, room: Room, record: TaskRecord, *, starting: bool) -> None:
        if record.starting == starting:
            return
        record.starting = starting
        room.starting += 1 if starting else -1
        self._rooms.refresh(room)

    def _uncount(self, room: Room, group: TaskGroup, size: Resources) -> None:
        if group.service:
            self._rooms.count_replica(room, group.service, -1)
            return
        work_class = group.shape.work_class
        room.class_tasks[work_class] -= 1
        room.class_cores[work_class] -= size.cores_milli
        if not room.class_tasks[work_class]:
            del room.class_tasks[work_class]
            del room.class_cores[work_class]
