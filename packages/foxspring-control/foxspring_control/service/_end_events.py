"""When an owner's word that a task does not run is proof of it.

A task that was offered to a former owner and never seen to start may still be
started by it until that owner's lease and then the task's own lease have
ended. Until then the present owner can only say that it has not seen the task.
"""

from foxspring_model import TaskEvent, TaskState

from foxspring_control.state import TargetRecord, TaskRecord

_ENDS = frozenset({"refused", "stopped", "lost"})
_UNSEEN_STATES = frozenset({TaskState.STARTING, TaskState.STOPPING})
_UNCONFIRMED = "refused"
_CONFIRMED = "lost"


def resolve_end_event(
    event: TaskEvent,
    record: TaskRecord | None,
    target: TargetRecord | None,
    former_leases_ended: bool,
) -> TaskEvent:
    """Return the event as the log should take it.

    ``record`` is the task and ``target`` its target as applied. A ``refused``
    of a task that was placed under a former owner only begins a stop; a
    ``lost`` ends the run.
    """
    if event.kind not in _ENDS or record is None or target is None:
        return event
    task = record.task
    if task.epoch != event.epoch or record.owner_epoch == target.owner_epoch:
        return event
    if record.started or task.state not in _UNSEEN_STATES:
        return event
    if not former_leases_ended:
        return event._replace(kind=_UNCONFIRMED)
    if event.kind == _UNCONFIRMED and task.state is TaskState.STOPPING:
        return event._replace(kind=_CONFIRMED)
    return event
