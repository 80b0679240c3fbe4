"""Adds up a service's measurements until they say enough about its latency."""

from typing import NamedTuple


class LatencyWindow(NamedTuple):
    """Measurements added up so far; ``p99_us`` is the worst of them."""

    requests: int = 0
    p99_us: int = 0


def add_measurement(
    window: LatencyWindow, requests: int, p99_us: int, least_requests: int
) -> tuple[LatencyWindow, LatencyWindow | None]:
    """Return the next window, and the full one once it has enough requests.

    A service with little traffic is judged less often, not left unprotected.
    """
    added = LatencyWindow(window.requests + requests, max(window.p99_us, p99_us))
    if added.requests >= least_requests:
        return LatencyWindow(), added
    return added, None
