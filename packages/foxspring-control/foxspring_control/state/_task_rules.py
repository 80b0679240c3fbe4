"""State transitions of a task, as pure functions.

``evictions`` counts the runs that ended before the task finished or failed, and
``resumed`` counts those after which the task was placed again. The difference is
one while an evicted task waits for its next placement and zero otherwise.
"""

from typing import NamedTuple

from foxspring_model import (
    ENDED_STATES,
    INVARIANT_CHECKS,
    PLACED_STATES,
    Invariant,
    Task,
    TaskEvent,
    TaskKind,
    TaskState,
)

from foxspring_control.state._records import StopIntent, TaskRecord

FAILED_TARGETS_KEPT = 16
REASON_CANCELLED = "cancelled"
REASON_OWNER_CHANGED = "owner changed before the start was confirmed"

_RUN_ENDED = frozenset({"stopped", "lost"})


def place(
    record: TaskRecord, target_id: str, epoch: int, owner_epoch: int, now_ms: int
) -> TaskRecord | None:
    """Return the task placed on ``target_id``, or None if that is not allowed."""
    task = record.task
    if task.state is not TaskState.QUEUED or epoch != task.epoch + 1:
        return None
    if not INVARIANT_CHECKS.check(
        Invariant.ONE_PLACE, task.target_id == "", f"{task.task_id} still placed"
    ):
        return None
    resumed = task.resumed + (1 if task.evictions > task.resumed else 0)
    if not _resumes_once(task, resumed):
        return None
    placed = task._replace(
        state=TaskState.STARTING,
        epoch=epoch,
        target_id=target_id,
        resumed=resumed,
        reason="",
        changed_ms=now_ms,
    )
    return TaskRecord(placed, StopIntent.REQUEUE, owner_epoch)


def evict(record: TaskRecord, epoch: int, reason: str, now_ms: int) -> TaskRecord:
    """Start to stop a placed task; it is queued again once it has stopped."""
    task = record.task
    if task.epoch != epoch or task.state not in PLACED_STATES:
        return record
    if task.state is TaskState.STOPPING:
        return record
    return _stopping(record, StopIntent.REQUEUE, reason, now_ms)


def cancel(record: TaskRecord, now_ms: int) -> TaskRecord:
    """Cancel a task; a placed task keeps its placement until it has stopped."""
    task = record.task
    if task.state in ENDED_STATES:
        return record
    if task.state in PLACED_STATES:
        return _stopping(record, StopIntent.CANCEL, REASON_CANCELLED, now_ms)
    return _ended(record, TaskState.CANCELLED, REASON_CANCELLED, now_ms)


def undo_replica_removal(record: TaskRecord, now_ms: int) -> TaskRecord:
    """Queue a replica again after its stop, if its removal has been started."""
    task = record.task
    if task.state is not TaskState.STOPPING or record.intent is not StopIntent.CANCEL:
        return record
    return _stopping(record, StopIntent.REQUEUE, "wanted again", now_ms)


def fail_unplaceable(record: TaskRecord, reason: str, now_ms: int) -> TaskRecord:
    """Fail a queued batch task that can never run."""
    task = record.task
    if task.state is not TaskState.QUEUED or task.kind is TaskKind.SERVICE:
        return record
    return _ended(record, TaskState.FAILED, reason, now_ms)


class Reporter(NamedTuple):
    """What the rules need to know of the reporter of an event.

    ``owns`` is whether the reporter is the target's current owner or the control
    leader; ``owner_epoch`` is the target's current owner epoch.
    """

    owns: bool
    owner_epoch: int


def apply_event(
    record: TaskRecord, event: TaskEvent, reporter: Reporter, now_ms: int
) -> TaskRecord:
    """Return the task after an event; the same record if the event is ignored.

    An event is ignored if it has another epoch or target, or if the task is not
    placed. An exception is a run that was declared lost, but finished or saved a
    later checkpoint before its lease expired: until the task is placed again,
    that result or checkpoint is accepted so that the work is not repeated.
    """
    task = record.task
    if task.state is TaskState.QUEUED and 0 < event.epoch == task.epoch:
        return _apply_late_event(record, event, now_ms)
    if event.epoch != task.epoch or task.state not in PLACED_STATES:
        return record
    if event.target_id and event.target_id != task.target_id:
        return record
    if event.kind == "started":
        return _started(record, now_ms)
    if event.kind == "checkpointed":
        return _checkpointed(record, event, now_ms)
    if event.kind == "refused":
        return _refused(record, event, reporter, now_ms)
    if event.kind == "finished":
        return _finished(record, event, now_ms)
    if event.kind == "failed":
        return _failed(record, event, now_ms)
    if event.kind in _RUN_ENDED:
        return _run_ended(record, event, reporter, now_ms)
    return record


def _apply_late_event(record: TaskRecord, event: TaskEvent, now_ms: int) -> TaskRecord:
    if event.kind == "finished" and record.task.kind is TaskKind.BATCH:
        return _finished(record, event, now_ms)
    if event.kind == "stopped":
        return _checkpointed(record, event, now_ms)
    return record


def _started(record: TaskRecord, now_ms: int) -> TaskRecord:
    if record.task.state is not TaskState.STARTING:
        return record
    task = record.task._replace(state=TaskState.RUNNING, changed_ms=now_ms)
    return record._replace(task=task, started=True)


def _checkpointed(record: TaskRecord, event: TaskEvent, now_ms: int) -> TaskRecord:
    if not event.checkpoint or event.checkpoint == record.task.checkpoint:
        return record
    task = record.task._replace(checkpoint=event.checkpoint, changed_ms=now_ms)
    return record._replace(task=task)


def _refused(
    record: TaskRecord, event: TaskEvent, reporter: Reporter, now_ms: int
) -> TaskRecord:
    """Queue a task whose start was never sent to its target.

    If the owner has changed since the placement, neither the old nor the new
    owner knows what the other sent, so the task keeps its placement until the
    current owner has stopped it.
    """
    if record.task.state is TaskState.RUNNING:
        return record
    if not reporter.owns or reporter.owner_epoch != record.owner_epoch:
        return _stop_unconfirmed(record, now_ms)
    if record.intent is StopIntent.CANCEL:
        return _ended(record, TaskState.CANCELLED, REASON_CANCELLED, now_ms)
    return _queued(record, event.detail or "refused by the target's owner", now_ms)


def _finished(record: TaskRecord, event: TaskEvent, now_ms: int) -> TaskRecord:
    if record.intent is StopIntent.CANCEL:
        return _ended(record, TaskState.CANCELLED, REASON_CANCELLED, now_ms)
    if record.task.kind is TaskKind.SERVICE:
        return _attempt_failed(record, event, "the replica exited", now_ms)
    ended = _ended(record, TaskState.FINISHED, "", now_ms)
    return ended._replace(task=ended.task._replace(result=event.result))


def _failed(record: TaskRecord, event: TaskEvent, now_ms: int) -> TaskRecord:
    if record.intent is StopIntent.CANCEL:
        return _ended(record, TaskState.CANCELLED, REASON_CANCELLED, now_ms)
    return _attempt_failed(record, event, event.detail or "failed", now_ms)


def _attempt_failed(
    record: TaskRecord, event: TaskEvent, reason: str, now_ms: int
) -> TaskRecord:
    task = record.task
    targets = tuple(t for t in task.failed_targets if t != task.target_id)
    kept = (*targets, task.target_id)[-FAILED_TARGETS_KEPT:]
    failed = task._replace(
        attempts=task.attempts + 1,
        failed_targets=kept,
        checkpoint=event.checkpoint or task.checkpoint,
    )
    return _queued(record._replace(task=failed), reason, now_ms)


def _run_ended(
    record: TaskRecord, event: TaskEvent, reporter: Reporter, now_ms: int
) -> TaskRecord:
    if not reporter.owns:
        return _stop_unconfirmed(record, now_ms)
    task = record.task._replace(checkpoint=event.checkpoint or record.task.checkpoint)
    kept = record._replace(task=task)
    if record.intent is StopIntent.CANCEL:
        return _ended(kept, TaskState.CANCELLED, REASON_CANCELLED, now_ms)
    evicted = task._replace(evictions=task.evictions + 1)
    reason = task.reason or event.detail or event.kind
    return _queued(kept._replace(task=evicted), reason, now_ms)


def _stop_unconfirmed(record: TaskRecord, now_ms: int) -> TaskRecord:
    """Make the current owner stop a task whose end it has not confirmed."""
    if record.task.state is TaskState.STOPPING:
        return record
    return _stopping(record, StopIntent.REQUEUE, REASON_OWNER_CHANGED, now_ms)


def _stopping(
    record: TaskRecord, intent: StopIntent, reason: str, now_ms: int
) -> TaskRecord:
    task = record.task._replace(
        state=TaskState.STOPPING, reason=reason, changed_ms=now_ms
    )
    return record._replace(task=task, intent=intent)


def _queued(record: TaskRecord, reason: str, now_ms: int) -> TaskRecord:
    task = record.task._replace(
        state=TaskState.QUEUED, target_id="", reason=reason, changed_ms=now_ms
    )
    return TaskRecord(task)


def _ended(
    record: TaskRecord, state: TaskState, reason: str, now_ms: int
) -> TaskRecord:
    task = record.task._replace(
        state=state, target_id="", reason=reason, changed_ms=now_ms
    )
    return TaskRecord(task, record.intent)


def _resumes_once(task: Task, resumed: int) -> bool:
    holds = resumed <= task.evictions and task.evictions - task.resumed <= 1
    detail = f"{task.task_id} evictions={task.evictions} resumed={resumed}"
    return INVARIANT_CHECKS.check(Invariant.RESUME_ONCE, holds, detail)
