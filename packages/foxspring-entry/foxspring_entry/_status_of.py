"""Conversion of an entry's state to its status."""

from foxspring_entry._core import EntryCore
from foxspring_entry._ledger import ReservationKind
from foxspring_entry._status import EntryStatus, OutcomeCounters, TargetStatus
from foxspring_entry._target import ManagedTarget


def status_of(core: EntryCore, counters: OutcomeCounters, now_ms: int) -> EntryStatus:
    """Return the status for operators and metrics at ``now_ms``."""
    outcomes = tuple(
        (verdict, reason, count)
        for (verdict, reason), count in sorted(counters.by_outcome.items())
    )
    contact_timeout_ms = core.settings.target_contact_timeout_ms
    return EntryStatus(
        entry_id=core.info.entry_id,
        incarnation=core.info.incarnation,
        ready=core.is_ready(now_ms),
        draining=core.info.draining,
        lease_valid=core.lease.is_valid(now_ms),
        leader_id=core.lease.leader_id,
        revision=core.revision,
        ownership_version=core.table.version,
        targets=tuple(
            _target_status(target, contact_timeout_ms, now_ms)
            for target in core.targets.targets.values()
        ),
        in_flight=len(core.requests.running),
        queued=sum(queue.size for queue in core.requests.queues.values()),
        pending=len(core.origin.pending),
        events_pending=len(core.outbox.unsent),
        retries=core.origin.retries,
        late_answers=core.origin.late_answers + core.requests.late_answers,
        outcomes=outcomes,
        latency_buckets=counters.latency_buckets(),
        latency_sum_ms=counters.sum_ms,
    )


def _target_status(
    target: ManagedTarget, contact_timeout_ms: int, now_ms: int
) -> TargetStatus:
    return TargetStatus(
        target_id=target.target_id,
        owner_epoch=target.owned.owner_epoch,
        incarnation=target.owned.info.incarnation,
        capacity=target.ledger.capacity,
        reserved=target.ledger.reserved,
        requests=target.ledger.count(ReservationKind.REQUEST),
        abandoned=len(target.ledger.abandoned()),
        tasks=target.ledger.count(ReservationKind.TASK),
        ejected=target.health.is_ejected(now_ms),
        latency_us=tuple(
            (service, int(limit.latency_us))
            for service, limit in sorted(target.limits.items())
        ),
        unavailable_reason=target.admission_refusal(contact_timeout_ms, now_ms),
    )
