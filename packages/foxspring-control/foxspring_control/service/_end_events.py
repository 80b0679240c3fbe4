"""Decides when an owner's report that a task has ended can be trusted.

If a former owner was asked to start a task and no start was reported, it may
still start the task, and the task may run, until that owner's lease and then the
task's lease have expired. Until then, a report by the current owner only means
that this owner hasn't seen the task.

An end that the target's present incarnation reported itself is certain at once:
a target starts an epoch that it has run no second time.
"""

from foxspring_model import ReportedEvent, TaskState

from foxspring_control.state import TargetRecord, TaskRecord

_ENDS = frozenset({"refused", "stopped", "lost"})
_UNSEEN_STATES = frozenset({TaskState.STARTING, TaskState.STOPPING})
_UNCONFIRMED = "refused"
_CONFIRMED = "lost"


def resolve_end_event(
    event: ReportedEvent,
    record: TaskRecord | None,
    target: TargetRecord | None,
    former_leases_ended: bool,
) -> ReportedEvent:
    """Return the event to commit in place of ``event``.

    ``record`` and ``target`` are the task and its target in the applied state.
    For a task that was placed under a former owner, ``refused`` only starts a
    stop, while ``lost`` ends the run. An end that the target itself reported is
    returned unchanged.
    """
    if event.kind not in _ENDS or record is None or target is None:
        return event
    task = record.task
    if task.epoch != event.epoch or record.owner_epoch == target.owner_epoch:
        return event
    if record.started or task.state not in _UNSEEN_STATES:
        return event
    if event.ended_in is not None and event.ended_in == target.info.incarnation:
        return event
    if not former_leases_ended:
        return event._replace(kind=_UNCONFIRMED)
    if event.kind == _UNCONFIRMED and task.state is TaskState.STOPPING:
        return event._replace(kind=_CONFIRMED)
    return event
