"""Tracks for how long long-running tasks have been interrupted.

Tasks that end early again and again are kept apart from the others: they have lost no
work by their interruption, and their restarts are delayed, see
:mod:`foxspring_jobs._restart_backoff`.
"""

from collections.abc import Iterator, Set
from typing import NamedTuple

from foxspring_jobs._candidates import StepKey
from foxspring_jobs._commands import TaskKey
from foxspring_jobs._state import JobState, State
from foxspring_jobs._waiting import OverdueSteps, is_interrupted

OVERDUE_MS = 4_000
HOLD_AFTER_MS = 10_000
NO_TASKS: frozenset[TaskKey] = frozenset()


class RestartLimits(NamedTuple):
    """What a plan regards when it starts long-running tasks again.

    A target may be held for the steps in ``holding``. Tasks in ``delayed`` must not
    start yet, and those in ``repeated`` start after the others of their step.
    """

    holding: Set[StepKey] = frozenset()
    delayed: Set[TaskKey] = NO_TASKS
    repeated: Set[TaskKey] = NO_TASKS


NO_RESTART_LIMITS = RestartLimits()


class Restarts:
    """The interrupted tasks known to one leader; times are in its milliseconds.

    A task counts as interrupted from the first update that finds it without a run.
    """

    def __init__(self) -> None:
        self.since_ms: dict[StepKey, dict[TaskKey, int]] = {}
        self.repeated: Set[TaskKey] = NO_TASKS

    def update(
        self, state: State, now_ms: int, repeated: Set[TaskKey] = NO_TASKS
    ) -> None:
        """Note which tasks are interrupted now.

        Those in ``repeated`` have ended early more than once in a row.
        """
        self.repeated = repeated
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

    def overdue(self, now_ms: int) -> OverdueSteps:
        """Return the steps whose restart goes before everything."""
        restarts: set[StepKey] = set()
        retries: set[StepKey] = set()
        for step_key, tasks in self.since_ms.items():
            for task, since_ms in tasks.items():
                if now_ms - since_ms < OVERDUE_MS:
                    continue
                found = retries if task in self.repeated else restarts
                found.add(step_key)
        return OverdueSteps(restarts, retries)

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
