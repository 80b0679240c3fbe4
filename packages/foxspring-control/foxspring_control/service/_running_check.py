"""Finding tasks that the state has as running and their target has not."""

from collections.abc import Iterable
from typing import NamedTuple

from foxspring_model import Eviction, StopTask, TaskState, UsageSample

from foxspring_control.state import TaskRecord

REASON_MISSING = "its target does not run it"
_SAMPLES_NEEDED = 2


class Findings(NamedTuple):
    """Tasks to evict because nobody runs them, and runs to stop as void."""

    missing: tuple[Eviction, ...] = ()
    strays: tuple[StopTask, ...] = ()


class _Check(NamedTuple):
    since_ms: int
    measured_ms: int = -1
    samples: int = 0


class RunningCheck:
    """Targets that are checked until a report shows what the state has.

    A check begins where an owner changed, and on every target at an election,
    because events may have been lost with the last owner. A task counts as
    missing when reports over ``patience_ms`` did not show it.
    """

    def __init__(self, patience_ms: int) -> None:
        self.patience_ms = patience_ms
        self._checks: dict[str, _Check] = {}

    def begin(self, target_id: str, now_ms: int) -> None:
        """Check a target from now on."""
        self._checks[target_id] = _Check(now_ms)

    def is_open(self, target_id: str) -> bool:
        """Tell whether the target is being checked."""
        return target_id in self._checks

    def forget(self, target_id: str) -> None:
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
        strays = tuple(
            StopTask(task_id, epoch, sample.target_id, checkpoint=False)
            for task_id, epoch in sorted(running - known)
        )
        missing = tuple(
            Eviction(task.task_id, task.epoch, REASON_MISSING)
            for task in held
            if task.state is TaskState.RUNNING
            and (task.task_id, task.epoch) not in running
        )
        if not strays and not missing:
            self.forget(sample.target_id)
            return Findings()
        samples = check.samples + 1
        seen = check._replace(measured_ms=sample.measured_ms, samples=samples)
        self._checks[sample.target_id] = seen
        if now_ms - check.since_ms < self.patience_ms or samples < _SAMPLES_NEEDED:
            missing = ()
        return Findings(missing, strays)
