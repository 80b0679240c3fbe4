"""Invariant checks over the events that targets record of their runs."""

from collections.abc import Callable, Iterable, Mapping
from itertools import groupby

from foxspring_model import Invariant, Resources

from foxspring_testing._check_result import CheckResult
from foxspring_testing._events import RunEvent
from foxspring_testing._runs import ENDED_WITH_PROCESS, Run, request_runs, task_runs

LEAVING_GRACE_MS = 5_000
RunKey = Callable[[Run], str]


def check_capacity(
    events: Iterable[RunEvent], capacities: Mapping[str, Resources]
) -> CheckResult:
    """Check that no target's concurrent runs exceeded its announced capacity."""
    run_events = list(events)
    runs = task_runs(run_events) + request_runs(run_events)
    violations: list[str] = []
    for target_incarnation, group in _grouped_by(
        runs, lambda run: run.target_incarnation
    ):
        capacity = capacities[group[0].start.target_id]
        violations += _capacity_violations(target_incarnation, group, capacity)
    for event in run_events:
        capacity = capacities[event.target_id]
        if event.open_connections > capacity.connections:
            violations.append(
                f"{event.target_id} had {event.open_connections} connections open"
            )
    return CheckResult(Invariant.CAPACITY, len(runs), tuple(violations))


def check_one_place(events: Iterable[RunEvent]) -> CheckResult:
    """Check that no two runs of a task overlapped."""
    runs = task_runs(events)
    violations = []
    for task_id, group in _grouped_by(runs, lambda run: run.start.task_id):
        longest = group[0]
        for run in group[1:]:
            if run.start_ms < longest.end_ms:
                violations.append(
                    f"{task_id} ran on {longest.target_incarnation} at epoch "
                    f"{longest.start.epoch} and on {run.target_incarnation} at epoch "
                    f"{run.start.epoch} from {run.start_ms} on"
                )
            longest = max(longest, run, key=lambda each: each.end_ms)
    return CheckResult(Invariant.ONE_PLACE, len(runs), tuple(violations))


def check_resume_once(events: Iterable[RunEvent]) -> CheckResult:
    """Check that epochs ran once and stopped tasks resumed from their checkpoint."""
    runs = [run for run in task_runs(events) if not run.start.detail]
    violations: list[str] = []
    for task_id, group in _grouped_by(runs, lambda run: run.start.task_id):
        for earlier, later in zip(group, group[1:], strict=False):
            violation = _resume_violation(earlier, later)
            if violation:
                violations.append(f"{task_id} epoch {later.start.epoch}: {violation}")
    return CheckResult(Invariant.RESUME_ONCE, len(runs), tuple(violations))


def check_leaving(
    events: Iterable[RunEvent], grace_ms: int = LEAVING_GRACE_MS
) -> CheckResult:
    """Check that a leaving target got no new work after the grace period."""
    leaving: dict[tuple[str, int], int] = {}
    checked = 0
    violations = []
    for event in events:
        process = (event.target_id, event.incarnation)
        if event.kind == "leaving":
            leaving[process] = event.at_ms
        elif event.kind == "staying":
            leaving.pop(process, None)
        elif process in leaving and event.kind in ("task_started", "request_started"):
            checked += 1
            late_ms = event.at_ms - leaving[process] - grace_ms
            if late_ms > 0:
                work = event.task_id or event.request_id
                violations.append(
                    f"{event.target_id} got {work} {late_ms} ms after the grace period"
                )
    return CheckResult(
        Invariant.LEAVING_GETS_NOTHING, checked + len(leaving), tuple(violations)
    )


def _resume_violation(earlier: Run, later: Run) -> str:
    if later.start.epoch <= earlier.start.epoch:
        return f"ran again after epoch {earlier.start.epoch}"
    if earlier.end_state == "stopped" and later.start_work_ms != earlier.checkpoint_ms:
        return (
            f"resumed from {later.start_work_ms} ms of work, "
            f"its checkpoint was {earlier.checkpoint_ms} ms"
        )
    end_recorded = earlier.end_state not in ("", ENDED_WITH_PROCESS)
    if end_recorded and later.start_work_ms > earlier.end_work_ms:
        return "resumed from more progress than was made"
    return ""


def _capacity_violations(
    target_incarnation: str, runs: list[Run], capacity: Resources
) -> list[str]:
    changes = [(run.start_ms, 1, run) for run in runs]
    changes += [(run.end_ms, 0, run) for run in runs]
    held = Resources()
    # Ends sort before starts of the same millisecond.
    for at_ms, is_start, run in sorted(changes, key=lambda change: change[:2]):
        size = _size(run)
        held = held.plus(size) if is_start else held.minus(size)
        if is_start and not held.fits_in(capacity):
            return [f"{target_incarnation} held {held} of {capacity} at {at_ms}"]
    return []


def _size(run: Run) -> Resources:
    start = run.start
    connections = 1 if start.kind == "request_started" else 0
    return Resources(
        start.slots,
        connections,
        start.cores_milli,
        start.memory_mb,
        start.accelerators,
    )


def _grouped_by(runs: list[Run], key: RunKey) -> list[tuple[str, list[Run]]]:
    ordered = sorted(runs, key=key)
    return [
        (name, sorted(group, key=lambda run: run.start_ms))
        for name, group in groupby(ordered, key)
    ]
