"""Status of an entry for operators and metrics."""

from typing import NamedTuple

from foxspring_model import Resources

LATENCY_BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000)


class TargetStatus(NamedTuple):
    """Status of an owned target.

    ``unavailable_reason`` is why it admits no new work; empty if it does.
    """

    target_id: str
    owner_epoch: int
    incarnation: int
    capacity: Resources
    reserved: Resources
    requests: int
    abandoned: int
    tasks: int
    ejected: bool
    latency_us: tuple[tuple[str, int], ...]
    unavailable_reason: str


class EntryStatus(NamedTuple):
    """Status of an entry at one point in time.

    ``outcomes`` counts final answers to callers by verdict and reason.
    ``latency_buckets`` counts them by upper bound in milliseconds (not
    cumulative), with 0 for the last bucket, which has no bound.
    ``latency_sum_ms`` is the sum of their latencies.
    """

    entry_id: str
    incarnation: int
    ready: bool
    draining: bool
    lease_valid: bool
    leader_id: str
    revision: int
    ownership_version: int
    targets: tuple[TargetStatus, ...]
    in_flight: int
    queued: int
    pending: int
    events_pending: int
    retries: int
    late_answers: int
    outcomes: tuple[tuple[str, str, int], ...]
    latency_buckets: tuple[tuple[int, int], ...]
    latency_sum_ms: int


class OutcomeCounters:
    """Counts final answers to callers by outcome and by latency."""

    def __init__(self) -> None:
        self.by_outcome: dict[tuple[str, str], int] = {}
        self.buckets = [0] * (len(LATENCY_BUCKETS_MS) + 1)
        self.sum_ms = 0

    def record(self, verdict: str, reason: str, latency_ms: int) -> None:
        """Count one answer."""
        key = (verdict, reason)
        self.by_outcome[key] = self.by_outcome.get(key, 0) + 1
        self.sum_ms += latency_ms
        for number, bound in enumerate(LATENCY_BUCKETS_MS):
            if latency_ms <= bound:
                self.buckets[number] += 1
                return
        self.buckets[-1] += 1

    def latency_buckets(self) -> tuple[tuple[int, int], ...]:
        """Return pairs of upper bound in ms (0: none) and non-cumulative count."""
        bounds = (*LATENCY_BUCKETS_MS, 0)
        return tuple(zip(bounds, self.buckets, strict=True))
