"""Carrying over the tasks of a target whose process has restarted."""

from foxspring_entry._ledger import ReservationKind
from foxspring_entry._task_state import (
    FROM_FIRST_REPORT,
    TaskPhase,
    task_reservation_id,
)
from foxspring_entry._tasks import TargetTasks


def carry_over_tasks(old: TargetTasks, new: TargetTasks) -> None:
    """Copy the tasks of the target's previous process to ``new``.

    Some may have been started in the new process before this entry learned
    about it, so the first report of the new process decides which are lost.
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
