"""The system clock, and a manual clock for tests."""

import time

_NS_PER_MS = 1_000_000
SUSPENSION_CHECK_NS = 10 * _NS_PER_MS


class SystemClock:
    """Reads the clocks of the operating system in milliseconds.

    ``suspended_ns`` is for how long the VM has been suspended. The clock that counts
    this is slow to read, so it is read once in ``SUSPENSION_CHECK_NS``.
    """

    def __init__(self) -> None:
        self.suspended_ns = 0
        self.checked_ns = 0

    def monotonic_ms(self) -> int:
        """Return the monotonic time in milliseconds.

        It includes the time in which the VM was suspended, so that leases that ended
        meanwhile are not taken for valid.
        """
        now_ns = time.monotonic_ns()
        if now_ns - self.checked_ns >= SUSPENSION_CHECK_NS:
            now_ns = self._check_suspension()
        return (now_ns + self.suspended_ns) // _NS_PER_MS

    def lease_check_ms(self) -> int:
        """Return the monotonic time, with a suspension that has only just ended.

        ``monotonic_ms`` may miss that one for ``SUSPENSION_CHECK_NS``.
        """
        now_ns = self._check_suspension()
        return (now_ns + self.suspended_ns) // _NS_PER_MS

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // _NS_PER_MS

    def _check_suspension(self) -> int:
        """Update ``suspended_ns`` and return the monotonic time in nanoseconds."""
        # The boot time is read first: a pause of this thread between the two
        # readings then can't pass for a suspension of the VM.
        boot_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        now_ns = time.monotonic_ns()
        self.checked_ns = now_ns
        suspended_ns = boot_ns - now_ns
        # Differences of less come from reading two clocks.
        if suspended_ns - self.suspended_ns > _NS_PER_MS:
            self.suspended_ns = suspended_ns
        return now_ns


class ManualClock:
    """A clock that a test advances; monotonic and wall time are equal."""

    def __init__(self, now_ms: int = 1_000_000) -> None:
        self.now_ms = now_ms

    def monotonic_ms(self) -> int:
        """Return the time that was set."""
        return self.now_ms

    def lease_check_ms(self) -> int:
        """Return the time that was set."""
        return self.now_ms

    def wall_ms(self) -> int:
        """Return the time that was set."""
        return self.now_ms

    def advance(self, by_ms: int) -> None:
        """Move the clock forward by ``by_ms`` milliseconds."""
        self.now_ms += by_ms
