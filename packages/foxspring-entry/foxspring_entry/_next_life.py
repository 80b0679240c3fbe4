"""Tasks of a target whose process has started anew."""

from foxspring_entry._ledger import HoldKind
from foxspring_entry._task_state import FROM_FIRST_REPORT, TaskPhase, hold_id
from foxspring_entry._tasks import TargetTasks


def carry_over(old: TargetTasks, new: TargetTasks) -> None:
    """Hand the tasks of the target's last process to ``new`` for judgement.

    Some may have started in the new process before this entry heard of it, so
    its first report decides which of them are lost.
    """
    new.ended, new.events = old.ended, old.events
    for task in old.tasks.values():
        new.ledger.inherit(hold_id(task.task_id), HoldKind.TASK, task.resources)
        missing_ms = None if task.phase is TaskPhase.STARTING else FROM_FIRST_REPORT
        new.tasks[task.task_id] = task._replace(calling=False, missing_ms=missing_ms)
