"""Waiting for a condition by polling."""

import time
from collections.abc import Callable

DEFAULT_WAIT_S = 20.0
_POLL_S = 0.02


class NotReachedError(AssertionError):
    """A condition did not become true before its deadline."""


def wait_until(
    condition: Callable[[], bool], description: str, timeout_s: float = DEFAULT_WAIT_S
) -> float:
    """Poll until ``condition`` is true; return the elapsed seconds.

    Raises:
        NotReachedError: it was not true within ``timeout_s`` seconds.
    """
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > timeout_s:
            raise NotReachedError(f"not reached within {timeout_s} s: {description}")
        time.sleep(_POLL_S)
    return time.monotonic() - started
