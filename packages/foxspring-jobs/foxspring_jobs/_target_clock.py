"""What is known of a target's clock, and when leases on it have surely ended.

A lease is a reading of the target's own steady clock, which may run up to
``MIN_CLOCK_RATE_PERCENT`` of true speed. Every estimate here errs to the safe side.
"""

MIN_CLOCK_RATE_PERCENT = 98
EXPIRY_MARGIN_MS = 250


class TargetClock:
    """Bounds on one target's clock; times without a name are the leader's own.

    ``since_ms`` is when this leader took over: a lease of ``earlier_lease_ms`` may have
    been given at any moment before it. That is ``lease_ms`` where an earlier leader
    gave it, and the longest that the target keeps where an order to an earlier life
    may have brought a deadline of that life's clock.
    """

    def __init__(self, since_ms: int, lease_ms: int, earlier_lease_ms: int = 0) -> None:
        self.since_ms = since_ms
        self.lease_ms = lease_ms
        self.earlier_lease_ms = max(lease_ms, earlier_lease_ms)
        self.sample: tuple[int, int] | None = None
        self.latest_lease_end = 0

    def add_sample(self, reading: int, received_ms: int) -> None:
        """Take a reading that the target made before ``received_ms``."""
        if self.sample is None:
            self.latest_lease_end = max(
                self.latest_lease_end, reading + self.earlier_lease_ms
            )
        elif reading <= self.reading_at(received_ms):
            return
        self.sample = (reading, received_ms)

    def reading_at(self, now_ms: int) -> int:
        """Return a reading that the target's clock has surely passed."""
        if self.sample is None:
            return 0
        reading, received_ms = self.sample
        return reading + max(0, now_ms - received_ms) * MIN_CLOCK_RATE_PERCENT // 100

    def grant_lease(self, now_ms: int) -> int | None:
        """Return the reading at which a lease given now ends, if it is known.

        The lease counts as given from this call on.
        """
        if self.sample is None:
            return None
        until = self.reading_at(now_ms) + self.lease_ms
        self.latest_lease_end = max(self.latest_lease_end, until)
        return until

    def all_leases_expired(self, now_ms: int) -> bool:
        """Tell whether every lease ever given has surely ended."""
        if self.sample is None:
            wait_ms = (
                self.earlier_lease_ms * 100 // MIN_CLOCK_RATE_PERCENT + EXPIRY_MARGIN_MS
            )
            return now_ms >= self.since_ms + wait_ms
        return self.reading_at(now_ms) >= self.latest_lease_end + EXPIRY_MARGIN_MS
