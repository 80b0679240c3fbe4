"""Detection of tasks that are running in the state but not on their target."""

from collections.abc import Iterable
from typing import NamedTuple

from foxspring_model import Eviction, StopTask, TaskState, UsageSample

from foxspring_control.state import TaskRecord

REASON_MISSING = "its target does not run it"


class Findings(NamedTuple):
    """Tasks to evict as missing on their target, and stale runs to stop."""

    missing: tuple[Eviction, ...] = ()
    stale_runs: tuple[StopTask, ...] = ()


class _Check(NamedTuple):
    measured_ms: int = -1
    first_ms: int = 0
    unconfirmed: frozenset[tuple[str, int]] = frozenset()


class RunningCheck:
    """Compares the usage reports of targets with the tasks in the state.

    A check starts on a target whose owner changed, and on every target after an
    election, because events may have been lost with the previous owner. It ends
    at the first report that agrees with the state. A task that is absent from
    the first report is missing if it is also absent from every later one for
    ``missing_run_timeout_ms``. Reports lag behind, so tasks that started after
    the first one are not checked.
    """

    def __init__(self, missing_run_timeout_ms: int) -> None:
        self.missing_run_timeout_ms = missing_run_timeout_ms
        self._checks: dict[str, _Check] = {}

    def begin(self, target_id: str) -> None:
        """Start a check of the target at its next report."""
        self._checks[target_id] = _Check()

    def is_open(self, target_id: str) -> bool:
        """Return whether a check of the target is open."""
        return target_id in self._checks

    def discard(self, target_id: str) -> None:
        """End the check of the target, if any."""
        self._checks.pop(target_id, None)

    def compare(
        self, sample: UsageSample, placed: Iterable[TaskRecord], now_ms: int
    ) -> Findings:
        """Compare a usage report with the tasks placed on its target."""
        check = self._checks.get(sample.target_id)
        if check is None or sample.measured_ms <= check.measured_ms:
            return Findings()
        held = [record.task for record in placed]
        running = set(sample.running)
        known = {(task.task_id, task.epoch) for task in held}
        stale_runs = tuple(
            StopTask(task_id, epoch, sample.target_id, checkpoint=False)
            for task_id, epoch in sorted(running - known)
        )
        unseen = frozenset(
            (task.task_id, task.epoch)
            for task in held
            if task.state is TaskState.RUNNING
        )
        unseen -= running
        if check.measured_ms < 0:
            check = _Check(sample.measured_ms, now_ms, unseen)
        unconfirmed = check.unconfirmed & unseen
        if not stale_runs and not unconfirmed:
            self.discard(sample.target_id)
            return Findings()
        measured_ms = sample.measured_ms
        self._checks[sample.target_id] = _Check(
            measured_ms, check.first_ms, unconfirmed
        )
        if now_ms - check.first_ms < self.missing_run_timeout_ms:
            return Findings(stale_runs=stale_runs)
        return Findings(_evictions(unconfirmed), stale_runs)


def _evictions(runs: frozenset[tuple[str, int]]) -> tuple[Eviction, ...]:
    return tuple(
        Eviction(task_id, epoch, REASON_MISSING) for task_id, epoch in sorted(runs)
    )
