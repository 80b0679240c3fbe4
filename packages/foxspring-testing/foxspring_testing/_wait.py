"""Waiting for a condition by polling."""

import time
from collections.abc import Callable

DEFAULT_WAIT_S = 20.0
_POLL_S = 0.02


class NotReachedError(AssertionError):
    """A condition did not hold before its deadline."""


def wait_until(
    condition: Callable[[], bool], what: str, within_s: float = DEFAULT_WAIT_S
) -> float:
    """Poll until ``condition`` holds; return the seconds it took.

    Raises:
        NotReachedError: it did not hold within ``within_s`` seconds.
    """
    begun = time.monotonic()
    while not condition():
        if time.monotonic() - begun > within_s:
            raise NotReachedError(f"not reached within {within_s} s: {what}")
        time.sleep(_POLL_S)
    return time.monotonic() - begun
