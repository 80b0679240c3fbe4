"""Finding tasks that the state has as running and their target has not."""

from collections.abc import Iterable
from typing import NamedTuple

from foxspring_model import Eviction, StopTask, TaskState, UsageSample

from foxspring_control.state import TaskRecord

REASON_MISSING = "its target does not run it"


class Findings(NamedTuple):
    """Tasks to evict because nobody runs them, and runs to stop as void."""

    missing: tuple[Eviction, ...] = ()
    stale_runs: tuple[StopTask, ...] = ()


class _Check(NamedTuple):
    measured_ms: int = -1
    first_ms: int = 0
    unconfirmed: frozenset[tuple[str, int]] = frozenset()


class RunningCheck:
    """Targets that are checked until a report shows what the state has.

    A check begins where an owner changed, and on every target at an election,
    because events may have been lost with the last owner. A task that the
    first report does not show is missing when none shows it for
    ``missing_run_timeout_ms``; reports are late, so tasks that started after the first
    one are not judged.
    """

    def __init__(self, missing_run_timeout_ms: int) -> None:
        self.missing_run_timeout_ms = missing_run_timeout_ms
        self._checks: dict[str, _Check] = {}

    def begin(self, target_id: str) -> None:
        """Check a target from its next report on."""
        self._checks[target_id] = _Check()

    def is_open(self, target_id: str) -> bool:
        """Tell whether the target is being checked."""
        return target_id in self._checks

    def discard(self, target_id: str) -> None:
        """End the check of a target that is gone."""
        self._checks.pop(target_id, None)

    def compare(
        self, sample: UsageSample, placed: Iterable[TaskRecord], now_ms: int
    ) -> Findings:
        """Compare a report with the tasks placed on its target."""
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
