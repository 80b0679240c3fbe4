"""Bounded request queue with deadlines and fairness between callers."""

from collections import OrderedDict, deque
from typing import NamedTuple

from foxspring_model import RelayRequest


class QueuedRequest(NamedTuple):
    """A queued request; ``reply_to`` is the link address for the answer."""

    relay: RelayRequest
    reply_to: str
    queued_ms: int
    deadline_ms: int


class FairQueue:
    """Queue of one service that serves callers in round-robin order.

    When the queue is full, a new request displaces the newest request of the
    caller with the most requests, unless its own caller would then have as many.
    """

    def __init__(self) -> None:
        self.size = 0
        self._callers: OrderedDict[str, deque[QueuedRequest]] = OrderedDict()

    def push(self, item: QueuedRequest, limit: int) -> QueuedRequest | None:
        """Add a request to a queue of at most ``limit`` requests.

        Returns the request that has to be refused because the queue is full:
        ``item`` itself or one of another caller. Returns ``None`` if none has.
        """
        if limit <= 0:
            return item
        displaced = None
        if self.size >= limit:
            displaced = self._displace(item)
            if displaced is item:
                return item
        self._callers.setdefault(item.relay.caller, deque()).append(item)
        self.size += 1
        return displaced

    def pop(self) -> QueuedRequest | None:
        """Remove and return the next request in round-robin order of callers."""
        if not self._callers:
            return None
        caller, items = next(iter(self._callers.items()))
        item = items.popleft()
        self.size -= 1
        del self._callers[caller]
        if items:
            self._callers[caller] = items
        return item

    def requeue(self, item: QueuedRequest) -> None:
        """Put a popped request back at the head of the queue."""
        items = self._callers.setdefault(item.relay.caller, deque())
        items.appendleft(item)
        self._callers.move_to_end(item.relay.caller, last=False)
        self.size += 1

    def expire(self, now_ms: int) -> list[QueuedRequest]:
        """Remove and return the requests whose deadline has passed."""
        expired: list[QueuedRequest] = []
        for caller, items in list(self._callers.items()):
            late = [item for item in items if item.deadline_ms <= now_ms]
            if not late:
                continue
            expired.extend(late)
            kept = deque(item for item in items if item.deadline_ms > now_ms)
            if kept:
                self._callers[caller] = kept
            else:
                del self._callers[caller]
        self.size -= len(expired)
        return expired

    def remove_all(self) -> list[QueuedRequest]:
        """Remove and return all requests."""
        items = [item for queue in self._callers.values() for item in queue]
        self._callers.clear()
        self.size = 0
        return items

    def _displace(self, item: QueuedRequest) -> QueuedRequest:
        longest = max(self._callers, key=lambda caller: len(self._callers[caller]))
        own = len(self._callers.get(item.relay.caller, ()))
        if own + 1 >= len(self._callers[longest]):
            return item
        displaced = self._callers[longest].pop()
        self.size -= 1
        return displaced


def expected_wait_ms(
    queued: int, in_flight: int, concurrency: int, latency_us: int
) -> int:
    """Return the expected queueing time of a new request in milliseconds.

    ``concurrency`` is the number of requests that can run at once and
    ``latency_us`` the time that one takes.
    """
    if concurrency <= 0:
        return 0
    ahead = max(0, queued + in_flight + 1 - concurrency)
    return ahead * latency_us // (concurrency * 1_000)
