"""A caller's thread while it waits for its request's outcome.

When this entry owns the chosen target, the waiting thread sends the request
itself, which saves two changes of thread.
"""

import queue
import threading
from typing import NamedTuple

from foxspring_model import Outcome

from foxspring_entry._effects import SendRequest


class CallerReply(NamedTuple):
    """The final outcome of a caller's request and the target that ran it."""

    outcome: Outcome
    target_id: str


class CallerHandoff:
    """Hands work and the outcome to the one thread that waits."""

    def __init__(self) -> None:
        self._items: queue.SimpleQueue[CallerReply | SendRequest] = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._closed = False

    def offer(self, item: CallerReply | SendRequest) -> bool:
        """Hand over an item; false if the thread waits no more."""
        with self._lock:
            if self._closed:
                return False
            self._items.put(item)
            return True

    def next(self, timeout_s: float) -> CallerReply | SendRequest | None:
        """Return the next item; ``None`` once it has given up in time."""
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
