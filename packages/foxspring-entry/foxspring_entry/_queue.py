"""Requests that wait for room: bounded, with deadlines, fair between callers."""

from collections import OrderedDict, deque
from typing import NamedTuple

from foxspring_model import RelayRequest


class Waiting(NamedTuple):
    """A request in the queue; the answer goes to the entry at ``reply_to``."""

    relay: RelayRequest
    reply_to: str
    queued_ms: int
    deadline_ms: int


class FairQueue:
    """The queue of one service.

    Callers take turns. When the queue is full, a caller that holds less than
    its share displaces the newest request of the caller that holds the most.
    """

    def __init__(self) -> None:
        self.waiting = 0
        self._callers: OrderedDict[str, deque[Waiting]] = OrderedDict()

    def push(self, item: Waiting, limit: int) -> Waiting | None:
        """Add a request to a queue of at most ``limit``.

        Returns the request that has to be refused for it: ``item`` itself,
        another caller's, or ``None`` if there was room.
        """
        if limit <= 0:
            return item
        displaced = None
        if self.waiting >= limit:
            displaced = self._displace(item)
            if displaced is item:
                return item
        self._callers.setdefault(item.relay.caller, deque()).append(item)
        self.waiting += 1
        return displaced

    def pop(self) -> Waiting | None:
        """Return the next request, taking callers in turn."""
        if not self._callers:
            return None
        caller, items = next(iter(self._callers.items()))
        item = items.popleft()
        self.waiting -= 1
        del self._callers[caller]
        if items:
            self._callers[caller] = items
        return item

    def push_back(self, item: Waiting) -> None:
        """Return a popped request to the head of the queue."""
        items = self._callers.setdefault(item.relay.caller, deque())
        items.appendleft(item)
        self._callers.move_to_end(item.relay.caller, last=False)
        self.waiting += 1

    def expire(self, now_ms: int) -> list[Waiting]:
        """Remove and return the requests whose deadline has passed."""
        expired: list[Waiting] = []
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
        self.waiting -= len(expired)
        return expired

    def drain(self) -> list[Waiting]:
        """Remove and return every request."""
        items = [item for queue in self._callers.values() for item in queue]
        self._callers.clear()
        self.waiting = 0
        return items

    def _displace(self, item: Waiting) -> Waiting:
        longest = max(self._callers, key=lambda caller: len(self._callers[caller]))
        own = len(self._callers.get(item.relay.caller, ()))
        if own + 1 >= len(self._callers[longest]):
            return item
        displaced = self._callers[longest].pop()
        self.waiting -= 1
        return displaced


def expected_wait_ms(waiting: int, in_flight: int, room: int, latency_us: int) -> int:
    """Return how long a new request would wait for room.

    ``room`` is how many requests run at once and ``latency_us`` what one takes.
    """
    if room <= 0:
        return 0
    ahead = max(0, waiting + in_flight + 1 - room)
    return ahead * latency_us // (room * 1_000)
