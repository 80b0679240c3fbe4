"""Invariants that the targets' own records of their runs decide."""

from collections.abc import Callable, Iterable, Mapping
from itertools import groupby

from foxspring_model import Invariant, Resources

from foxspring_testing._check_result import CheckResult
from foxspring_testing._events import RunEvent
from foxspring_testing._runs import ENDED_WITH_PROCESS, Run, request_runs, task_runs

LEAVING_GRACE_MS = 5_000
KeyOfRun = Callable[[Run], str]


def check_capacity(
    events: Iterable[RunEvent], capacities: Mapping[str, Resources]
) -> CheckResult:
    """Check that no target held more at once than it announced."""
    kept = list(events)
    runs = task_runs(kept) + request_runs(kept)
    violations: list[str] = []
    for where, group in _by(runs, lambda run: run.where):
        capacity = capacities[group[0].start.target_id]
        violations += _overfull(where, group, capacity)
    for event in kept:
        capacity = capacities[event.target_id]
        if event.open_connections > capacity.connections:
            violations.append(
                f"{event.target_id} had {event.open_connections} connections open"
            )
    return CheckResult(Invariant.CAPACITY, len(runs), tuple(violations))


def check_one_place(events: Iterable[RunEvent]) -> CheckResult:
    """Check that no task ran in two places at once."""
    runs = task_runs(events)
    violations = []
    for task_id, group in _by(runs, lambda run: run.start.task_id):
        longest = group[0]
        for run in group[1:]:
            if run.start_ms < longest.end_ms:
                violations.append(
                    f"{task_id} ran on {longest.where} at epoch "
                    f"{longest.start.epoch} and on {run.where} at epoch "
                    f"{run.start.epoch} from {run.start_ms} on"
                )
            longest = max(longest, run, key=lambda each: each.end_ms)
    return CheckResult(Invariant.ONE_PLACE, len(runs), tuple(violations))


def check_resume_once(events: Iterable[RunEvent]) -> CheckResult:
    """Check that epochs ran once and stopped runs went on where they ended."""
    runs = [run for run in task_runs(events) if not run.start.detail]
    violations: list[str] = []
    for task_id, group in _by(runs, lambda run: run.start.task_id):
        for earlier, later in zip(group, group[1:], strict=False):
            fault = _resume_fault(earlier, later)
            if fault:
                violations.append(f"{task_id} epoch {later.start.epoch}: {fault}")
    return CheckResult(Invariant.RESUME_ONCE, len(runs), tuple(violations))


def check_leaving(
    events: Iterable[RunEvent], grace_ms: int = LEAVING_GRACE_MS
) -> CheckResult:
    """Check that a target that leaves got no new work after the grace."""
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
                    f"{event.target_id} got {work} {late_ms} ms after the grace"
                )
    return CheckResult(
        Invariant.LEAVING_GETS_NOTHING, checked + len(leaving), tuple(violations)
    )


def _resume_fault(earlier: Run, later: Run) -> str:
    if later.start.epoch <= earlier.start.epoch:
        return f"ran again after epoch {earlier.start.epoch}"
    if earlier.end_state == "stopped" and later.start_work_ms != earlier.checkpoint_ms:
        return (
            f"resumed from {later.start_work_ms} ms of work, "
            f"its checkpoint was {earlier.checkpoint_ms} ms"
        )
    known = earlier.end_state not in ("", ENDED_WITH_PROCESS)
    if known and later.start_work_ms > earlier.end_work_ms:
        return "resumed from work that was never done"
    return ""


def _overfull(where: str, runs: list[Run], capacity: Resources) -> list[str]:
    changes = [(run.start_ms, 1, run) for run in runs]
    changes += [(run.end_ms, 0, run) for run in runs]
    held = Resources()
    # An end sorts before a start at the same millisecond.
    for at_ms, is_start, run in sorted(changes, key=lambda change: change[:2]):
        size = _size(run)
        held = held.plus(size) if is_start else held.minus(size)
        if is_start and not held.fits_in(capacity):
            return [f"{where} held {held} of {capacity} at {at_ms}"]
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


def _by(runs: list[Run], key: KeyOfRun) -> list[tuple[str, list[Run]]]:
    ordered = sorted(runs, key=key)
    return [
        (name, sorted(group, key=lambda run: run.start_ms))
        for name, group in groupby(ordered, key)
    ]
