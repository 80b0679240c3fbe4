"""The clock interface used by everything that depends on time."""

from typing import Protocol


class Clock(Protocol):
    """A source of time that tests can pause and advance.

    Use ``monotonic_ms`` for leases, timeouts and delays, and ``wall_ms`` only
    for times that people read. Both return milliseconds.
    """

    def monotonic_ms(self) -> int:
        """Return milliseconds since an arbitrary start; never decreases."""

    def lease_check_ms(self) -> int:
        """Return the monotonic time for deciding whether a lease is still valid.

        It includes a suspension of the VM that has only just ended, and takes longer
        to read.
        """

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
