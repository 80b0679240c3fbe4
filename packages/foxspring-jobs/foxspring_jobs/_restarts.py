"""Tracks for how long long-running tasks have been interrupted."""

from collections.abc import Iterator

from foxspring_jobs._candidates import StepKey
from foxspring_jobs._commands import TaskKey
from foxspring_jobs._state import JobState, State
from foxspring_jobs._waiting import is_interrupted

OVERDUE_MS = 4_000
HOLD_AFTER_MS = 10_000


class Restarts:
    """The interrupted tasks known to one leader; times are in its milliseconds.

    A task counts as interrupted from the first update that finds it without a run.
    """

    def __init__(self) -> None:
        self.since_ms: dict[StepKey, dict[TaskKey, int]] = {}

    def update(self, state: State, now_ms: int) -> None:
        """Note which tasks are interrupted now."""
        found: dict[StepKey, dict[TaskKey, int]] = {}
        for job in state.active.values():
            if not job.spec.is_long_running():
                continue
            for key in _interrupted_tasks(job):
                step_key = key[:3]
                known = self.since_ms.get(step_key, {})
                found.setdefault(step_key, {})[key] = known.get(key, now_ms)
        self.since_ms = found

    def longest_ms(self, step_key: StepKey, now_ms: int) -> int:
        """Return for how long a step's longest interrupted task has waited, or 0."""
        since_ms = self.since_ms.get(step_key, {})
        return now_ms - min(since_ms.values(), default=now_ms)

    def interrupted_for(self, duration_ms: int, now_ms: int) -> frozenset[StepKey]:
        """Return the steps with a task that was interrupted that long ago."""
        return frozenset(
            key for key in self.since_ms if self.longest_ms(key, now_ms) >= duration_ms
        )

    def overdue(self, now_ms: int) -> frozenset[StepKey]:
        """Return the steps whose restart goes before everything."""
        return self.interrupted_for(OVERDUE_MS, now_ms)

    def holding(self, now_ms: int) -> frozenset[StepKey]:
        """Return the steps for which a target may be held."""
        return self.interrupted_for(HOLD_AFTER_MS, now_ms)


def _interrupted_tasks(job: JobState) -> Iterator[TaskKey]:
    for occurrence, steps in job.occurrences.items():
        for number, step in enumerate(steps):
            if not step.idle:
                continue
            for index, task in enumerate(step.tasks):
                if is_interrupted(task, job.spec.steps[number]):
                    yield TaskKey(job.job_id, occurrence, number, index)
