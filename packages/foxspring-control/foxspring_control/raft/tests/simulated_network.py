"""A simulated network that drops, duplicates, delays and blocks messages."""

import heapq
import random
from typing import Any, NamedTuple


class Delivery(NamedTuple):
    """A message in transit; ``order`` breaks ties between equal times."""

    at_ms: int
    order: int
    source: str
    target: str
    message: Any


class NetworkFaults(NamedTuple):
    """Fault probabilities in percent and delays in milliseconds."""

    drop_percent: int = 2
    duplicate_percent: int = 2
    max_delay_ms: int = 5
    late_percent: int = 2
    max_late_ms: int = 400


DEFAULT_FAULTS = NetworkFaults()


class SimulatedNetwork:
    """Queues messages in transit by delivery time."""

    def __init__(self, rng: random.Random, faults: NetworkFaults) -> None:
        self.rng = rng
        self.faults = faults
        self.order = 0
        self.deliveries: list[Delivery] = []
        self.blocked: set[tuple[str, str]] = set()

    def send(self, now_ms: int, source: str, target: str, message: Any) -> None:
        """Send a message, which may be dropped, duplicated or delayed."""
        if (source, target) in self.blocked:
            return
        if self.rng.randrange(100) < self.faults.drop_percent:
            return
        copies = 2 if self.rng.randrange(100) < self.faults.duplicate_percent else 1
        for _ in range(copies):
            delay = self.rng.randint(1, self.faults.max_delay_ms)
            if self.rng.randrange(100) < self.faults.late_percent:
                delay += self.rng.randint(0, self.faults.max_late_ms)
            self.push(now_ms + delay, source, target, message)

    def push(self, at_ms: int, source: str, target: str, message: Any) -> None:
        """Schedule a delivery that is not subject to faults."""
        self.order += 1
        delivery = Delivery(at_ms, self.order, source, target, message)
        heapq.heappush(self.deliveries, delivery)

    def pop_due(self, end_ms: int) -> Delivery | None:
        """Remove and return the next message due by ``end_ms``, if any."""
        if not self.deliveries or self.deliveries[0].at_ms > end_ms:
            return None
        return heapq.heappop(self.deliveries)

    def isolate(
        self, name: str, others: list[str], inbound: bool, outbound: bool
    ) -> None:
        """Block messages between a member and others in one or both directions."""
        for other in others:
            if other != name and outbound:
                self.blocked.add((name, other))
            if other != name and inbound:
                self.blocked.add((other, name))
