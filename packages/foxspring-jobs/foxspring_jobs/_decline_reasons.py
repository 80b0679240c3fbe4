"""Sends the reason for declined calls to each caller, but not beside each decline."""

from collections.abc import Callable
from typing import Any

from foxspring_model import Clock

from foxspring_jobs._operations import DeclineReason

REASON_INTERVAL_MS = 1_000
MAX_ADDRESSES = 256


class DeclineReasons:
    """Sends reasons, one in ``REASON_INTERVAL_MS`` to an address; for one thread.

    Load pattern: while no leader is found, calls come by the hundred a second.
    """

    def __init__(self, send: Callable[[str, Any], object], clock: Clock) -> None:
        self.send = send
        self.clock = clock
        self.reason: Callable[[], str] = str
        self.sent_ms: dict[str, int] = {}

    def explain_to(self, address: str, own_address: str) -> None:
        """Send the reason to a caller, unless it was sent a moment before."""
        now_ms = self.clock.monotonic_ms()
        sent_ms = self.sent_ms.get(address)
        if sent_ms is not None and now_ms - sent_ms < REASON_INTERVAL_MS:
            return
        if len(self.sent_ms) >= MAX_ADDRESSES:
            self.sent_ms.clear()
        self.sent_ms[address] = now_ms
        reason = self.reason()
        if reason:
            self.send(address, DeclineReason(own_address, reason))
