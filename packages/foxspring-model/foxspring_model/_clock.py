"""The clock that every decision's time comes from."""

from typing import Protocol


class Clock(Protocol):
    """A source of time that tests can pause and advance.

    Use ``monotonic_ms`` for leases, timeouts and delays, and ``wall_ms`` only
    for what a person reads. Both count milliseconds.
    """

    def monotonic_ms(self) -> int:
        """Return milliseconds since an arbitrary start; never goes back."""

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
