"""Delays the restarts of long-running tasks that end again and again.

Load pattern: a long-running task fails shortly after each of its starts, because its
image or its input is broken. It has no limit of attempts, and each start is a call, a
commit and room that others may need. Its restarts are delayed exponentially, up to
``MAX_DELAY_MS``, so that it is at work again soon once its cause is mended.
"""

from typing import NamedTuple

from foxspring_jobs._commands import TaskKey
from foxspring_jobs._state import State

FIRST_DELAY_MS = 500
# Callers accept 9 s without a run, and an overdue restart may need most of that to find
# room on a full site.
MAX_DELAY_MS = 3_000
# A run that lasts as long does not end for the reason of the one before.
STEADY_MS = 10_000


class Restart(NamedTuple):
    """How often in a row a task has ended early, and when it may start again."""

    early_ends: int
    due_ms: int


NO_RESTART = Restart(0, 0)


class RestartBackoff:
    """The early ends of long-running tasks that one leadership has seen.

    Times are in its milliseconds, but for the wall times of the state.
    """

    def __init__(self) -> None:
        self.restarts: dict[TaskKey, Restart] = {}

    def note_ended(self, task: TaskKey, lasted_ms: int, now_ms: int) -> int:
        """Note the end of a run; return for how long its task is to wait."""
        known = NO_RESTART
        if lasted_ms < STEADY_MS:
            known = self.restarts.get(task, NO_RESTART)
        early_ends = known.early_ends + 1
        delay_ms = _delay_ms(early_ends)
        self.restarts[task] = Restart(early_ends, now_ms + delay_ms)
        return delay_ms

    def early_ends(self, task: TaskKey) -> int:
        """Return how often in a row a task has ended early."""
        return self.restarts.get(task, NO_RESTART).early_ends

    def is_repeated(self, task: TaskKey) -> bool:
        """Return whether a task has ended early more than once in a row."""
        return self.early_ends(task) > 1

    def repeated(self) -> frozenset[TaskKey]:
        """Return the tasks that have ended early more than once in a row."""
        return frozenset(task for task in self.restarts if self.is_repeated(task))

    def delayed(self, now_ms: int) -> frozenset[TaskKey]:
        """Return the tasks that must not start again yet."""
        return frozenset(
            task for task, restart in self.restarts.items() if restart.due_ms > now_ms
        )

    def forget_steady(self, state: State, wall_ms: int) -> None:
        """Forget tasks whose run lasts by now, and those of jobs that have ended."""
        for key in list(self.restarts):
            task = state.task(key)
            steady = (
                task is not None
                and bool(task.runs)
                and wall_ms - task.started_ms >= STEADY_MS
            )
            if steady or key.job_id not in state.active:
                del self.restarts[key]


def _delay_ms(early_ends: int) -> int:
    """Return the delay after so many early ends; the first restart is not held up."""
    if early_ends <= 1:
        return 0
    doublings = min(early_ends - 2, MAX_DELAY_MS // FIRST_DELAY_MS)
    return min(FIRST_DELAY_MS << doublings, MAX_DELAY_MS)
