"""Tasks of a target whose process has started anew."""

from foxspring_entry._ledger import ReservationKind
from foxspring_entry._task_state import (
    FROM_FIRST_REPORT,
    TaskPhase,
    task_reservation_id,
)
from foxspring_entry._tasks import TargetTasks


def carry_over(old: TargetTasks, new: TargetTasks) -> None:
    """Hand the tasks of the target's last process to ``new`` for judgement.

    Some may have started in the new process before this entry heard of it, so
    its first report decides which of them are lost.
    """
    new.ended, new.events = old.ended, old.events
    for task in old.tasks.values():
        new.ledger.reserve_existing(
            task_reservation_id(task.task_id), ReservationKind.TASK, task.resources
        )
        unknown_since_ms = (
            None if task.phase is TaskPhase.STARTING else FROM_FIRST_REPORT
        )
        new.tasks[task.task_id] = task._replace(
            call_in_flight=False, unknown_since_ms=unknown_since_ms
        )
