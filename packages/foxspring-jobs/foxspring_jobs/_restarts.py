"""Tracks for how long long-running tasks have been interrupted."""

from collections.abc import Iterable

from foxspring_jobs._candidates import StepKey
from foxspring_jobs._commands import TaskKey
from foxspring_jobs._state import State
from foxspring_jobs._waiting import Precedence, WaitingStep, is_interrupted

OVERDUE_MS = 3_000


class Restarts:
    """The interrupted tasks known to one leader; times are in its milliseconds.

    A task counts as interrupted from the first update that finds it without a run.
    """

    def __init__(self) -> None:
        self.since_ms: dict[StepKey, dict[TaskKey, int]] = {}

    def update(self, state: State, waiting: Iterable[WaitingStep], now_ms: int) -> None:
        """Take in the waiting steps of a new plan."""
        self.since_ms = {
            step.step_key(): self._since_of(state, step, now_ms)
            for step in waiting
            if step.precedence is Precedence.RESTART
        }

    def _since_of(
        self, state: State, waiting: WaitingStep, now_ms: int
    ) -> dict[TaskKey, int]:
        known = self.since_ms.get(waiting.step_key(), {})
        job = state.active[waiting.job_id]
        step = job.spec.steps[waiting.step]
        tasks = job.occurrences[waiting.occurrence][waiting.step].tasks
        keys = [
            TaskKey(*waiting.step_key(), index)
            for index, task in enumerate(tasks)
            if is_interrupted(task, step)
        ]
        return {key: known.get(key, now_ms) for key in keys}

    def longest_ms(self, step_key: StepKey, now_ms: int) -> int:
        """Return for how long a step's longest interrupted task has waited, or 0."""
        since_ms = self.since_ms.get(step_key, {})
        return now_ms - min(since_ms.values(), default=now_ms)

    def overdue(self, now_ms: int) -> frozenset[StepKey]:
        """Return the steps with a task that was interrupted ``OVERDUE_MS`` ago."""
        return frozenset(
            key for key in self.since_ms if self.longest_ms(key, now_ms) >= OVERDUE_MS
        )
