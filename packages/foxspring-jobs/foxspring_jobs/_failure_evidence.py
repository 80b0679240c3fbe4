"""Tells whether failed runs point to their targets or to the work itself.

Load pattern: some jobs fail on every target, some targets fail every run, and both
happen at once. A failed run alone does not tell which of them is at fault; what else
has failed does. Work whose runs fail again and again wherever they are, without one
that succeeds, is at fault itself, and its failures say nothing of the targets.

What is looked at is a task, and a step as a whole: the tasks of a job that always fails
fail at the same time, each of them once. A step is at fault only if more of its runs
have failed than still run, because a few of them also fail on faulty targets, and not
if one faulty target would explain it.

A run that makes no progress counts as a failure, but it is weaker evidence: its target
may be slow for a while.
"""

from typing import NamedTuple

from foxspring_jobs._candidates import StepKey
from foxspring_jobs._commands import TaskKey
from foxspring_jobs._state import State

# Two targets that fail what they start, hit in a row, are rarer than failing work.
TARGETS_OF_FAULTY_WORK = 2
# For work that only one target may run, and for runs without progress.
FAILURES_OF_FAULTY_WORK = 3
MAX_LOGGED_TARGETS = 3


class Failures(NamedTuple):
    """Failed runs in a row, and the last targets on which there were some.

    ``runs`` includes the ``stalled`` ones, of which the targets are not kept.
    """

    runs: int = 0
    targets: tuple[str, ...] = ()
    stalled: int = 0

    def with_failure(self, target_id: str) -> "Failures":
        """Return them with one more on a target."""
        others = tuple(name for name in self.targets if name != target_id)
        targets = (*others, target_id)[-MAX_LOGGED_TARGETS:]
        return self._replace(runs=self.runs + 1, targets=targets)

    def with_stall(self) -> "Failures":
        """Return them with one more run that made no progress."""
        return self._replace(runs=self.runs + 1, stalled=self.stalled + 1)

    def are_spread(self) -> bool:
        """Return whether one faulty target would not explain them."""
        return len(self.targets) >= TARGETS_OF_FAULTY_WORK

    def are_repeated(self) -> bool:
        """Return whether they are too many for one task, wherever they were."""
        return self.are_spread() or self.runs >= FAILURES_OF_FAULTY_WORK


NO_FAILURES = Failures()


class StepFailures:
    """The failures of a step since a run of it succeeded, and those of its tasks.

    ``has_faulty_task`` tells that a task of it has become faulty since then, and
    ``is_faulty`` that the step as a whole is at fault.
    """

    def __init__(self) -> None:
        self.failures = NO_FAILURES
        self.by_ordinal: dict[int, Failures] = {}
        self.has_faulty_task = False
        self.is_faulty = False

    def note_failed(self, ordinal: int, target_id: str) -> None:
        """Note that a run of a task has failed on a target."""
        self.failures = self.failures.with_failure(target_id)
        self._set(ordinal, self.failures_of(ordinal).with_failure(target_id))

    def note_stalled(self, ordinal: int) -> None:
        """Note that a run of a task made no progress on some target."""
        self.failures = self.failures.with_stall()
        self._set(ordinal, self.failures_of(ordinal).with_stall())

    def _set(self, ordinal: int, failures: Failures) -> None:
        self.by_ordinal[ordinal] = failures
        self.has_faulty_task = self.has_faulty_task or failures.are_repeated()

    def note_success(self, ordinal: int) -> None:
        """Note that a run of a task succeeded, which speaks for the others too."""
        self.failures = NO_FAILURES
        self.has_faulty_task = False
        self.is_faulty = False
        self.by_ordinal.pop(ordinal, None)

    def failures_of(self, ordinal: int) -> Failures:
        """Return the failures of a task since its last success."""
        return self.by_ordinal.get(ordinal, NO_FAILURES)

    def is_at_fault(self, running: int) -> bool:
        """Return whether the failures point to the step; so many runs still run."""
        is_repeated = self.failures.are_spread() or self.has_faulty_task
        return is_repeated and self.failures.runs > running


class FailureEvidence:
    """What one leadership knows of the failed runs of jobs.

    A new leader knows nothing of earlier failures; it finds out as runs fail.
    """

    def __init__(self) -> None:
        self.steps: dict[StepKey, StepFailures] = {}

    def note_failed(self, task: TaskKey, target_id: str) -> None:
        """Note that a run has failed on a target."""
        self._step(task).note_failed(task.ordinal, target_id)

    def note_stalled(self, task: TaskKey) -> None:
        """Note that a run made no progress on some target."""
        self._step(task).note_stalled(task.ordinal)

    def _step(self, task: TaskKey) -> StepFailures:
        return self.steps.setdefault(task[:3], StepFailures())

    def note_success(self, task: TaskKey) -> None:
        """Note that a run is done, or at work if it is long-running."""
        step = self.steps.get(task[:3])
        if step is None:
            return
        step.note_success(task.ordinal)
        if not step.by_ordinal:
            del self.steps[task[:3]]

    def failures_of(self, task: TaskKey) -> Failures:
        """Return the failures of a task since its last success."""
        step = self.steps.get(task[:3])
        return NO_FAILURES if step is None else step.failures_of(task.ordinal)

    def is_faulty(self, task: TaskKey) -> bool:
        """Return whether failures of a task say nothing of its targets."""
        step = self.steps.get(task[:3])
        if step is None:
            return False
        return step.is_faulty or step.failures_of(task.ordinal).are_repeated()

    def judge_steps(self, state: State) -> list[tuple[StepKey, Failures]]:
        """Judge the steps by what still runs; return those that become faulty."""
        found = []
        for key, step in self.steps.items():
            if not step.is_faulty and step.is_at_fault(_running(state, key)):
                step.is_faulty = True
                found.append((key, step.failures))
        return found

    def forget_purged(self, state: State) -> None:
        """Forget the steps of jobs that the state no longer has."""
        for key in [key for key in self.steps if key[0] not in state.jobs]:
            del self.steps[key]


def _running(state: State, key: StepKey) -> int:
    """Return how many runs of a step may be on targets."""
    job_id, occurrence, number = key
    job = state.jobs.get(job_id)
    steps = job.occurrences.get(occurrence) if job else None
    if steps is None or not 0 <= number < len(steps):
        return 0
    return steps[number].running
