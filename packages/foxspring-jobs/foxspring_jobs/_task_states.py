"""The states of a step's tasks; those that have not begun share one.

Load pattern: jobs of thousands of tasks wait for capacity. A task that has not begun,
and one that is done, differ from others like it only by their place in the step, so all
of them refer to one state. A task gets a state of its own when it first changes.
"""

from types import MappingProxyType
from typing import Any, NoReturn, cast

from foxspring_jobs._commands import TargetIncarnation
from foxspring_jobs._crash_counts import NO_CRASHES, CrashCount


class TaskState:
    """One task: its active runs and the results of earlier ones.

    ``started_ms`` is the wall time at which its newest run was committed.
    """

    __slots__ = (
        "attempts",
        "checkpoint",
        "crashes",
        "done",
        "last_run",
        "runs",
        "started_ms",
    )

    def __init__(self) -> None:
        self.done = False
        self.attempts = 0
        self.last_run = 0
        self.started_ms = 0
        self.checkpoint = ""
        self.crashes: CrashCount = NO_CRASHES
        self.runs: dict[int, TargetIncarnation] = {}


class _SharedTaskState(TaskState):
    """The state of many tasks; it cannot be changed."""

    __slots__ = ()

    def __init__(self, done: bool) -> None:
        no_runs = cast("dict[int, TargetIncarnation]", MappingProxyType({}))
        values: dict[str, object] = {
            "done": done,
            "attempts": 0,
            "last_run": 0,
            "started_ms": 0,
        }
        values |= {"checkpoint": "", "crashes": NO_CRASHES, "runs": no_runs}
        for name, value in values.items():
            object.__setattr__(self, name, value)

    def __setattr__(self, name: str, value: Any) -> NoReturn:
        raise AttributeError(f"{name} of a shared state cannot be set")


NEW_TASK: TaskState = _SharedTaskState(done=False)
DONE_TASK: TaskState = _SharedTaskState(done=True)


def is_shared(task: TaskState) -> bool:
    """Return whether other tasks have the same state object."""
    return task is NEW_TASK or task is DONE_TASK


class StepState:
    """The tasks of one step in one occurrence.

    ``idle`` counts tasks that are neither done nor on a target, ``running`` the runs
    that may be on a target, ``own_count`` the tasks with a state of their own.
    ``has_crashes`` tells that a task may have a count of crashes, so that plans need
    not look at those of most steps.
    """

    __slots__ = (
        "failed_runs",
        "has_crashes",
        "idle",
        "own_count",
        "running",
        "tasks",
        "unfinished",
    )

    def __init__(self, tasks: list[TaskState]) -> None:
        new_count = tasks.count(NEW_TASK)
        self.tasks = tasks
        self.failed_runs: set[int] = set()
        self.unfinished = new_count
        self.idle = new_count
        self.running = 0
        self.own_count = len(tasks) - new_count - tasks.count(DONE_TASK)
        own = [task for task in tasks if not is_shared(task)] if self.own_count else []
        self.has_crashes = any(task.crashes != NO_CRASHES for task in own)
        for task in own:
            self.count(task)

    def count(self, task: TaskState, sign: int = 1) -> None:
        """Add a task to the counts, or take it out with ``sign`` -1.

        Take a task out before it changes and add it again afterwards.
        """
        runs = len(task.runs)
        self.running += sign * runs
        if not task.done:
            self.unfinished += sign
            self.idle += sign * (not runs)

    def own(self, ordinal: int) -> TaskState:
        """Return a state of a task that may be changed; no other task shares it."""
        task = self.tasks[ordinal]
        if not is_shared(task):
            return task
        own = TaskState()
        own.done = task.done
        self.tasks[ordinal] = own
        self.own_count += 1
        return own

    def share_if_done(self, ordinal: int) -> None:
        """Give up a task's own state once nothing in it is needed but its end."""
        task = self.tasks[ordinal]
        if task.done and shared_if_equal(task) is not task:
            self.tasks[ordinal] = DONE_TASK
            self.own_count -= 1

    def failures(self) -> int:
        """Return how many runs of the tasks have failed."""
        return sum(task.attempts for task in self.tasks)


def shared_if_equal(task: TaskState) -> TaskState:
    """Return the shared state that tells all that matters of a task, or its own.

    Of a done task without a run, neither its last run nor its checkpoint matters.
    """
    if is_shared(task) or task.runs or task.attempts or task.crashes != NO_CRASHES:
        return task
    if task.done:
        return DONE_TASK
    return task if task.last_run or task.checkpoint else NEW_TASK


def new_step_state(task_count: int) -> StepState:
    """Return a step of which no task has begun."""
    return StepState([NEW_TASK] * task_count)
