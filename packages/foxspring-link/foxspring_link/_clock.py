"""The system clock, and a manual clock for tests."""

import time

_NS_PER_MS = 1_000_000


class SystemClock:
    """Reads the clocks of the operating system in milliseconds."""

    def monotonic_ms(self) -> int:
        """Return the monotonic time in milliseconds.

        It includes the time in which the VM was suspended, so that leases that ended
        meanwhile are not taken for valid.
        """
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_PER_MS

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // _NS_PER_MS


class ManualClock:
    """A clock that a test advances; monotonic and wall time are equal."""

    def __init__(self, now_ms: int = 1_000_000) -> None:
        self.now_ms = now_ms

    def monotonic_ms(self) -> int:
        """Return the time that was set."""
        return self.now_ms

    def wall_ms(self) -> int:
        """Return the time that was set."""
        return self.now_ms

    def advance(self, by_ms: int) -> None:
        """Move the clock forward by ``by_ms`` milliseconds."""
        self.now_ms += by_ms
