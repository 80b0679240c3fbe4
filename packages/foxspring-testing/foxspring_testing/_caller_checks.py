"""Invariants that decide on what callers were told and what targets ran."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from foxspring_model import Invariant

from foxspring_testing._check_result import CheckResult
from foxspring_testing._clients import CallerRecord
from foxspring_testing._events import RunEvent

# How long after an entry's end requests may still be relayed to it.
OWNER_GONE_AFTER_MS = 4_000
NEVER_ACCEPTED = ("NewConnectionError", "ConnectTimeoutError")


class PlannedStop(NamedTuple):
    """A planned stop of one entry, by the monotonic clock."""

    entry: str
    begun_ms: int
    ended_ms: int


class Outage(NamedTuple):
    """A time in which one entry or target was at fault, by the monotonic clock.

    ``entry`` is an entry's HTTP address or a target's name.
    """

    entry: str
    begun_ms: int
    ended_ms: int


def check_told(told: Iterable[CallerRecord], outages: Iterable[Outage]) -> CheckResult:
    """Check that only an entry that was down or paused left a caller untold."""
    kept = list(outages)
    records = list(told)
    violations = [
        f"{record.nonce} was told nothing by {record.entry}: {record.detail}"
        for record in records
        if record.verdict == "lost"
        and not record.detail.startswith(NEVER_ACCEPTED)
        and not any(
            each.entry == record.entry and _overlaps(record, each) for each in kept
        )
    ]
    return CheckResult(Invariant.WHOLE_ANSWER, len(records), tuple(violations))


def check_whole_answers(
    told: Iterable[CallerRecord], events: Iterable[RunEvent]
) -> CheckResult:
    """Check that answers are whole, to their own request, and of a real run."""
    ran = {
        (event.target_id, event.run, event.detail)
        for event in events
        if event.kind == "request_started"
    }
    answered = [record for record in told if record.verdict == "ran"]
    violations = []
    for record in answered:
        if record.answer_nonce != record.nonce:
            violations.append(f"{record.nonce} got {record.answer_nonce!r}'s answer")
        elif record.answer_bytes != record.asked_bytes:
            violations.append(
                f"{record.nonce} got {record.answer_bytes} of "
                f"{record.asked_bytes} bytes"
            )
        elif (record.target_id, record.run, record.nonce) not in ran:
            violations.append(f"{record.nonce} was answered but never ran")
    return CheckResult(Invariant.WHOLE_ANSWER, len(answered), tuple(violations))


def check_not_run(
    told: Iterable[CallerRecord], events: Iterable[RunEvent]
) -> CheckResult:
    """Check that a request that was only ever told "not run" ran nowhere."""
    runs = _runs_by_nonce(events)
    verdicts: dict[str, set[str]] = defaultdict(set)
    for record in told:
        verdicts[record.nonce].add(record.verdict)
    refused = [nonce for nonce, seen in verdicts.items() if seen == {"not_run"}]
    violations = [
        f"{nonce} was told not run and ran {runs[nonce]} times"
        for nonce in refused
        if runs[nonce]
    ]
    return CheckResult(Invariant.NOT_RUN_IS_TRUE, len(refused), tuple(violations))


def check_at_most_once(
    told: Iterable[CallerRecord], events: Iterable[RunEvent]
) -> CheckResult:
    """Check that what is not idempotent ran at most once over all its resends."""
    runs = _runs_by_nonce(events)
    nonces = sorted({record.nonce for record in told if not record.idempotent})
    violations = [
        f"{nonce} ran {runs[nonce]} times" for nonce in nonces if runs[nonce] > 1
    ]
    return CheckResult(Invariant.AT_MOST_ONCE, len(nonces), tuple(violations))


def check_planned_stops(
    told: Iterable[CallerRecord],
    stops: Iterable[PlannedStop],
    outages: Iterable[Outage] = (),
) -> CheckResult:
    """Check that an entry's planned stop cut off no request it had accepted.

    What another entry or a target did to a request in an outage of its own is
    not the stop's doing: a "may have run" is then allowed, a lost answer never.
    """
    kept, others = list(stops), list(outages)
    checked = 0
    violations = []
    for record in told:
        for stop in kept:
            if record.entry != stop.entry or not _overlaps(record, stop):
                continue
            checked += 1
            if _cut_off(record) and not _fault_of_another(record, others):
                violations.append(f"{record.nonce} was cut off: {record.detail}")
    return CheckResult(Invariant.STOP_CUTS_NOTHING, checked, tuple(violations))


def _runs_by_nonce(events: Iterable[RunEvent]) -> Counter[str]:
    return Counter(event.detail for event in events if event.kind == "request_started")


def _overlaps(record: CallerRecord, stop: PlannedStop | Outage) -> bool:
    return record.asked_ms <= stop.ended_ms and record.told_ms >= stop.begun_ms


def _fault_of_another(record: CallerRecord, outages: Iterable[Outage]) -> bool:
    if record.verdict == "lost":
        return False
    since = record._replace(asked_ms=record.asked_ms - OWNER_GONE_AFTER_MS)
    return any(
        each.entry != record.entry and _overlaps(since, each) for each in outages
    )


def _cut_off(record: CallerRecord) -> bool:
    if record.verdict == "lost":
        return not record.detail.startswith(NEVER_ACCEPTED)
    return record.verdict == "may_have_run"
