"""Invariant checks of configuration changes against polls and the audit."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from foxspring_model import Invariant

from foxspring_testing._check_result import CheckResult


class SubmittedChange(NamedTuple):
    """One submitted change and its answer; ``status`` is empty without one.

    With a status of ``ok``, ``revision`` is the revision the change created.
    """

    change_id: str
    base: int
    status: str
    revision: int


class ObservedRevision(NamedTuple):
    """The revision that a process had in force when it was polled."""

    process: str
    at_ms: int
    revision: int


class AuditedChange(NamedTuple):
    """A configuration change as recorded in the audit trail."""

    change_id: str
    outcome: str
    log_index: int


def check_revisions(
    submitted: Iterable[SubmittedChange],
    observed: Iterable[ObservedRevision],
    audited: Iterable[AuditedChange],
    final_revision: int,
) -> CheckResult:
    """Check that revisions never decreased and accepted changes applied once."""
    changes = list(submitted)
    observations = sorted(observed, key=lambda each: (each.process, each.at_ms))
    violations = _revision_decreases(observations)
    violations += _lost_changes(changes, list(audited))
    violations += _shared_revisions(changes)
    highest = max((c.revision for c in changes if c.status == "ok"), default=0)
    if final_revision < highest:
        violations.append(f"revision {highest} was accepted, {final_revision} is left")
    return CheckResult(
        Invariant.REVISION_NEVER_FALLS,
        len(changes) + len(observations),
        tuple(violations),
    )


def _revision_decreases(observations: list[ObservedRevision]) -> list[str]:
    return [
        f"{later.process} fell from revision {earlier.revision} to {later.revision}"
        for earlier, later in zip(observations, observations[1:], strict=False)
        if earlier.process == later.process and later.revision < earlier.revision
    ]


def _lost_changes(
    changes: list[SubmittedChange], audited: list[AuditedChange]
) -> list[str]:
    accepted = Counter(a.change_id for a in audited if a.outcome == "ok")
    violations = []
    for change in changes:
        times = accepted[change.change_id]
        if change.status == "ok" and times != 1:
            violations.append(f"{change.change_id} was accepted, audited {times} times")
        if change.status in ("conflict", "rejected") and times:
            violations.append(
                f"{change.change_id} was answered {change.status}, audited ok"
            )
    violations += [f"{name} audited {n} times" for name, n in accepted.items() if n > 1]
    return violations


def _shared_revisions(changes: list[SubmittedChange]) -> list[str]:
    owners: dict[int, set[str]] = defaultdict(set)
    for change in changes:
        if change.status == "ok":
            owners[change.revision].add(change.change_id)
    return [
        f"revision {revision} was given to {sorted(names)}"
        for revision, names in owners.items()
        if len(names) > 1
    ]
