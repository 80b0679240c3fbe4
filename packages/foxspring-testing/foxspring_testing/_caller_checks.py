"""Invariant checks that compare callers' answers with what targets ran."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from foxspring_model import Invariant

from foxspring_testing._check_result import CheckResult
from foxspring_testing._clients import CallerRecord
from foxspring_testing._events import RunEvent

# Requests may still be relayed to an entry for this long after its end, so an
# outage also explains failures of requests sent up to this long after it.
STALE_OWNER_MS = 4_000
CONNECT_ERRORS = ("NewConnectionError", "ConnectTimeoutError")


class PlannedStop(NamedTuple):
    """A planned stop of one entry, in milliseconds of the monotonic clock.

    ``entry`` is the entry's HTTP address.
    """

    entry: str
    started_ms: int
    ended_ms: int


class Outage(NamedTuple):
    """A period in which one entry or target was subject to a fault.

    ``process`` is an entry's HTTP address or a target's name. Times are
    milliseconds of the monotonic clock.
    """

    process: str
    started_ms: int
    ended_ms: int


def check_requests_answered(
    caller_records: Iterable[CallerRecord], outages: Iterable[Outage]
) -> CheckResult:
    """Check that every request was answered, except by an entry in an outage.

    Requests whose connection was never established are exempt as well.
    """
    outage_list = list(outages)
    records = list(caller_records)
    violations = [
        f"{record.nonce} got no answer from {record.entry}: {record.detail}"
        for record in records
        if record.verdict == "lost"
        and not record.detail.startswith(CONNECT_ERRORS)
        and not any(
            each.process == record.entry and _overlaps(record, each)
            for each in outage_list
        )
    ]
    return CheckResult(Invariant.WHOLE_ANSWER, len(records), tuple(violations))


def check_whole_answers(
    caller_records: Iterable[CallerRecord], events: Iterable[RunEvent]
) -> CheckResult:
    """Check that answers are complete, match their request and a real run."""
    ran = {
        (event.target_id, event.run, event.detail)
        for event in events
        if event.kind == "request_started"
    }
    answered = [record for record in caller_records if record.verdict == "ran"]
    violations = []
    for record in answered:
        if record.answer_nonce != record.nonce:
            violations.append(f"{record.nonce} got {record.answer_nonce!r}'s answer")
        elif record.answer_bytes != record.requested_bytes:
            violations.append(
                f"{record.nonce} got {record.answer_bytes} of "
                f"{record.requested_bytes} bytes"
            )
        elif (record.target_id, record.run, record.nonce) not in ran:
            violations.append(f"{record.nonce} was answered but never ran")
    return CheckResult(Invariant.WHOLE_ANSWER, len(answered), tuple(violations))


def check_not_run(
    caller_records: Iterable[CallerRecord], events: Iterable[RunEvent]
) -> CheckResult:
    """Check that a request only ever answered with "not run" ran nowhere."""
    runs = _runs_by_nonce(events)
    verdicts: dict[str, set[str]] = defaultdict(set)
    for record in caller_records:
        verdicts[record.nonce].add(record.verdict)
    refused = [nonce for nonce, seen in verdicts.items() if seen == {"not_run"}]
    violations = [
        f'{nonce} was answered "not run" but ran {runs[nonce]} times'
        for nonce in refused
        if runs[nonce]
    ]
    return CheckResult(Invariant.NOT_RUN_IS_TRUE, len(refused), tuple(violations))


def check_at_most_once(
    caller_records: Iterable[CallerRecord], events: Iterable[RunEvent]
) -> CheckResult:
    """Check that non-idempotent requests ran at most once over all resends."""
    runs = _runs_by_nonce(events)
    nonces = sorted(
        {record.nonce for record in caller_records if not record.idempotent}
    )
    violations = [
        f"{nonce} ran {runs[nonce]} times" for nonce in nonces if runs[nonce] > 1
    ]
    return CheckResult(Invariant.AT_MOST_ONCE, len(nonces), tuple(violations))


def check_planned_stops(
    caller_records: Iterable[CallerRecord],
    stops: Iterable[PlannedStop],
    outages: Iterable[Outage] = (),
) -> CheckResult:
    """Check that an entry's planned stop cut off no request it had accepted.

    During an outage of another entry or a target, a "may have run" answer is
    attributed to that outage; a lost answer is always a violation.
    """
    stop_list, outage_list = list(stops), list(outages)
    checked = 0
    violations = []
    for record in caller_records:
        for stop in stop_list:
            if record.entry != stop.entry or not _overlaps(record, stop):
                continue
            checked += 1
            if _cut_off(record) and not _explained_by_another_outage(
                record, outage_list
            ):
                violations.append(f"{record.nonce} was cut off: {record.detail}")
    return CheckResult(Invariant.STOP_CUTS_NOTHING, checked, tuple(violations))


def _runs_by_nonce(events: Iterable[RunEvent]) -> Counter[str]:
    return Counter(event.detail for event in events if event.kind == "request_started")


def _overlaps(record: CallerRecord, period: PlannedStop | Outage) -> bool:
    return (
        record.sent_ms <= period.ended_ms and record.completed_ms >= period.started_ms
    )


def _explained_by_another_outage(
    record: CallerRecord, outages: Iterable[Outage]
) -> bool:
    if record.verdict == "lost":
        return False
    extended = record._replace(sent_ms=record.sent_ms - STALE_OWNER_MS)
    return any(
        each.process != record.entry and _overlaps(extended, each) for each in outages
    )


def _cut_off(record: CallerRecord) -> bool:
    if record.verdict == "lost":
        return not record.detail.startswith(CONNECT_ERRORS)
    return record.verdict == "may_have_run"
