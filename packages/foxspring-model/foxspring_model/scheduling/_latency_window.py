"""Accumulates a service's measurements until they cover enough requests."""

from typing import NamedTuple


class LatencyWindow(NamedTuple):
    """Accumulated measurements; ``p99_us`` is the maximum of their p99 latencies."""

    requests: int = 0
    p99_us: int = 0


def add_measurement(
    window: LatencyWindow, requests: int, p99_us: int, min_requests: int
) -> tuple[LatencyWindow, LatencyWindow | None]:
    """Return the next window, and the complete one if it has enough requests.

    A service with little traffic is evaluated less often rather than ignored.
    """
    added = LatencyWindow(window.requests + requests, max(window.p99_us, p99_us))
    if added.requests >= min_requests:
        return LatencyWindow(), added
    return added, None
