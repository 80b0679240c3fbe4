"""Invariants of configuration changes: what was told, seen and audited."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from foxspring_model import Invariant

from foxspring_testing._check_result import CheckResult


class ToldChange(NamedTuple):
    """What an operator was told of one change; ``status`` empty if nothing.

    ``revision`` is the one it made, for a status of ``ok``.
    """

    change_id: str
    base: int
    status: str
    revision: int


class SeenRevision(NamedTuple):
    """The revision that one process had in force when it was asked."""

    process: str
    at_ms: int
    revision: int


class AuditedChange(NamedTuple):
    """A configuration change in the audit; ``outcome`` as in the audit."""

    change_id: str
    outcome: str
    log_index: int


def check_revisions(
    told: Iterable[ToldChange],
    seen: Iterable[SeenRevision],
    audited: Iterable[AuditedChange],
    final_revision: int,
) -> CheckResult:
    """Check that revisions never fell and accepted changes were kept once."""
    changes = list(told)
    sightings = sorted(seen, key=lambda each: (each.process, each.at_ms))
    violations = _falls(sightings)
    violations += _lost_changes(changes, list(audited))
    violations += _shared_revisions(changes)
    highest = max((c.revision for c in changes if c.status == "ok"), default=0)
    if final_revision < highest:
        violations.append(f"revision {highest} was accepted, {final_revision} is left")
    return CheckResult(
        Invariant.REVISION_NEVER_FALLS,
        len(changes) + len(sightings),
        tuple(violations),
    )


def _falls(sightings: list[SeenRevision]) -> list[str]:
    return [
        f"{later.process} fell from revision {earlier.revision} to {later.revision}"
        for earlier, later in zip(sightings, sightings[1:], strict=False)
        if earlier.process == later.process and later.revision < earlier.revision
    ]


def _lost_changes(changes: list[ToldChange], audited: list[AuditedChange]) -> list[str]:
    accepted = Counter(a.change_id for a in audited if a.outcome == "ok")
    violations = []
    for change in changes:
        times = accepted[change.change_id]
        if change.status == "ok" and times != 1:
            violations.append(f"{change.change_id} was accepted, audited {times} times")
        if change.status in ("conflict", "rejected") and times:
            violations.append(
                f"{change.change_id} was told {change.status}, audited ok"
            )
    violations += [f"{name} audited {n} times" for name, n in accepted.items() if n > 1]
    return violations


def _shared_revisions(changes: list[ToldChange]) -> list[str]:
    owners: dict[int, set[str]] = defaultdict(set)
    for change in changes:
        if change.status == "ok":
            owners[change.revision].add(change.change_id)
    return [
        f"revision {revision} was given to {sorted(names)}"
        for revision, names in owners.items()
        if len(names) > 1
    ]
