"""Every task that has not ended, and the room and quota that each one holds."""

import sys

from foxspring_model._invariant import CHECKS, Invariant
from foxspring_model._job import ENDED_STATES, PLACED_STATES, Task, TaskState
from foxspring_model._resources import NOTHING, Resources
from foxspring_model.scheduling._queues import WaitingTasks
from foxspring_model.scheduling._quota import QuotaLedger
from foxspring_model.scheduling._records import (
    Shape,
    TaskGroup,
    TaskRecord,
    shape_of,
)
from foxspring_model.scheduling._rooms import Room, Rooms

_UNTHROTTLED_PERCENT = 100


class TaskBook:
    """Keeps records, rooms, quotas and queues in step with each other."""

    def __init__(self, rooms: Rooms) -> None:
        self.records: dict[str, TaskRecord] = {}
        self.groups: dict[Shape, TaskGroup] = {}
        self.quotas = QuotaLedger()
        self.waiting = WaitingTasks()
        self._rooms = rooms

    def upsert(self, task: Task, size: Resources, now_ms: int) -> TaskRecord | None:
        """Take a task's state; ``size`` is what it holds where it is placed.

        Returns its record, or ``None`` if the state is old or has ended.
        """
        record = self.records.get(task.task_id)
        if record is not None and task.epoch < record.epoch:
            return record
        if task.state in ENDED_STATES:
            self.forget(task.task_id)
            return None
        if record is None:
            record = self._open(task)
        self._check_moves(record, task)
        self._apply(record, task, size, now_ms)
        return record

    def forget(self, task_id: str) -> None:
        """Drop a task with whatever it holds; unknown tasks are ignored."""
        record = self.records.pop(task_id, None)
        if record is None:
            return
        self.release(record)
        group = record.group
        group.members -= 1
        if not group.members:
            self.groups.pop(group.shape, None)

    def hold(self, record: TaskRecord, target_id: str, size: Resources) -> None:
        """Reserve room and quota for ``record``; it must hold nothing yet."""
        room = self._rooms.room(target_id)
        record.target_id = room.target_id
        record.held = size
        room.held = room.held.plus(size)
        room.tasks.add(record.task_id)
        group = record.group
        if group.service:
            self._rooms.count_replica(room, group.service, 1)
        else:
            room.work_classes[group.shape.work_class] += 1
        self.quotas.add(group.shape.team, group.shape.resources)
        self._rooms.refresh(room)

    def release(self, record: TaskRecord) -> None:
        """Give back what ``record`` holds; a second time changes nothing."""
        if not record.target_id:
            return
        room = self._rooms.room(record.target_id)
        self._note_starting(room, record, starting=False)
        record.target_id = ""
        room.held = room.held.minus(record.held)
        record.held = NOTHING
        record.pending_until_ms = 0
        room.tasks.discard(record.task_id)
        self._uncount(room, record.group)
        self.quotas.subtract(record.group.shape.team, record.group.shape.resources)
        self._rooms.refresh(room)
        self._rooms.drop_if_unused(room)

    def resize(self, record: TaskRecord, size: Resources) -> None:
        """Change what a placed task holds on its target."""
        if not record.target_id or record.held == size:
            return
        room = self._rooms.room(record.target_id)
        room.held = room.held.minus(record.held).plus(size)
        record.held = size
        self._rooms.refresh(room)

    def propose(
        self, record: TaskRecord, target_id: str, size: Resources, until_ms: int
    ) -> None:
        """Hold room for a placement that is decided but not yet committed."""
        self.hold(record, target_id, size)
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
        return record

    def _apply(
        self, record: TaskRecord, task: Task, size: Resources, now_ms: int
    ) -> None:
        if task.epoch != record.epoch or task.state is not record.state:
            record.since_ms = now_ms
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
            record.throttle = _UNTHROTTLED_PERCENT
        room = self._rooms.room(task.target_id)
        starting = task.state is TaskState.STARTING
        self._note_starting(room, record, starting=starting)
        if task.state is TaskState.RUNNING and record.state is not TaskState.RUNNING:
            record.saved_ms = now_ms
        record.pending_until_ms = 0
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

    def _note_starting(self, room: Room, record: TaskRecord, *, starting: bool) -> None:
        if record.starting == starting:
            return
        record.starting = starting
        room.starting += 1 if starting else -1
        self._rooms.refresh(room)

    def _uncount(self, room: Room, group: TaskGroup) -> None:
        if group.service:
            self._rooms.count_replica(room, group.service, -1)
            return
        work_class = group.shape.work_class
        room.work_classes[work_class] -= 1
        if not room.work_classes[work_class]:
            del room.work_classes[work_class]
