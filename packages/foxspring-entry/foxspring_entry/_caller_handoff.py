"""Handoff of work and results to the thread that serves a caller.

When this entry owns the chosen target, the waiting thread sends the request
itself, which saves two thread switches.
"""

import queue
import threading
from typing import NamedTuple

from foxspring_model import Outcome

from foxspring_entry._effects import SendRequest


class CallerReply(NamedTuple):
    """Final outcome of a caller's request and the id of the target that ran it."""

    outcome: Outcome
    target_id: str


class CallerHandoff:
    """Passes work and the final outcome to a single waiting thread."""

    def __init__(self) -> None:
        self._items: queue.SimpleQueue[CallerReply | SendRequest] = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._closed = False

    def offer(self, item: CallerReply | SendRequest) -> bool:
        """Pass an item to the thread; return false if it no longer waits."""
        with self._lock:
            if self._closed:
                return False
            self._items.put(item)
            return True

    def next(self, timeout_s: float) -> CallerReply | SendRequest | None:
        """Wait for the next item; return ``None`` and accept no more on a timeout."""
        try:
            return self._items.get(timeout=timeout_s)
        except queue.Empty:
            return self._close()

    def _close(self) -> CallerReply | SendRequest | None:
        with self._lock:
            try:
                return self._items.get_nowait()
            except queue.Empty:
                self._closed = True
                return None
