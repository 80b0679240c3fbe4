"""The runtime's clock, and one that tests pause and advance."""

import time

_NS_PER_MS = 1_000_000


class SystemClock:
    """Reads the operating system's clocks, in milliseconds."""

    def monotonic_ms(self) -> int:
        """Return the monotonic clock."""
        return time.monotonic_ns() // _NS_PER_MS

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // _NS_PER_MS


class PausedClock:
    """Stands still until a test advances it; both readings move together."""

    def __init__(self, now_ms: int = 1_000_000) -> None:
        self.now_ms = now_ms

    def monotonic_ms(self) -> int:
        """Return the reading last set."""
        return self.now_ms

    def wall_ms(self) -> int:
        """Return the reading last set."""
        return self.now_ms

    def advance(self, by_ms: int) -> None:
        """Move the clock forward by ``by_ms`` milliseconds."""
        self.now_ms += by_ms
