"""Bounds a target's clock and tells when leases on it have certainly expired.

A lease ends at a reading of the target's own monotonic clock, which may run as slowly
as ``MIN_CLOCK_RATE_PERCENT`` of true speed. Every estimate here is conservative.
"""

MIN_CLOCK_RATE_PERCENT = 98
EXPIRY_MARGIN_MS = 250


class TargetClock:
    """Bounds on one target's clock; unless noted otherwise, times are the leader's.

    ``since_ms`` is when this leader took over. Before that, at any time, a lease of
    ``earlier_lease_ms`` may have been granted. That is ``lease_ms`` if an earlier
    leader granted it. It is the longest lease that the target accepts if an order meant
    for an earlier incarnation may have carried a deadline of that incarnation's clock.
    Such an order may arrive up to ``late_order_ms`` after that, unless the first sample
    shows that the target has seen a higher token.
    """

    def __init__(
        self,
        since_ms: int,
        lease_ms: int,
        earlier_lease_ms: int = 0,
        late_order_ms: int = 0,
    ) -> None:
        self.since_ms = since_ms
        self.lease_ms = lease_ms
        self.earlier_lease_ms = max(lease_ms, earlier_lease_ms)
        self.late_order_ms = late_order_ms
        self.sample: tuple[int, int] | None = None
        self.latest_lease_end = 0

    def add_sample(self, reading: int, received_ms: int) -> None:
        """Add a clock reading that the target took before ``received_ms``."""
        if self.sample is None:
            self.latest_lease_end = max(
                self.latest_lease_end, reading + self.earlier_lease_ms
            )
        elif reading <= self.reading_at(received_ms):
            return
        self.sample = (reading, received_ms)

    def reading_at(self, now_ms: int) -> int:
        """Return a reading that the target's clock has certainly passed."""
        if self.sample is None:
            return 0
        reading, received_ms = self.sample
        return reading + max(0, now_ms - received_ms) * MIN_CLOCK_RATE_PERCENT // 100

    def grant_lease(self, now_ms: int) -> int | None:
        """Return the reading at which a lease granted now ends, or None if unknown.

        The lease counts as granted from this call on.
        """
        if self.sample is None:
            return None
        until = self.reading_at(now_ms) + self.lease_ms
        self.latest_lease_end = max(self.latest_lease_end, until)
        return until

    def all_leases_expired(self, now_ms: int) -> bool:
        """Return whether every lease ever granted has certainly expired."""
        if self.sample is None:
            wait_ms = self.earlier_lease_ms * 100 // MIN_CLOCK_RATE_PERCENT
            wait_ms += self.late_order_ms + EXPIRY_MARGIN_MS
            return now_ms >= self.since_ms + wait_ms
        return self.reading_at(now_ms) >= self.latest_lease_end + EXPIRY_MARGIN_MS
