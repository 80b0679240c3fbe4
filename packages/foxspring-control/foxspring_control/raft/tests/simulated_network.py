"""The simulated network: what is lost, doubled, late, and cut off."""

import heapq
import random
from typing import Any, NamedTuple


class Delivery(NamedTuple):
    """A message on its way; ``order`` keeps equal times apart."""

    at_ms: int
    order: int
    source: str
    target: str
    message: Any


class Network(NamedTuple):
    """Chances in percent, delays in milliseconds."""

    drop: int = 2
    duplicate: int = 2
    delay_ms: int = 5
    late: int = 2
    late_ms: int = 400


DEFAULT_NETWORK = Network()


class SimulatedNetwork:
    """Holds the messages on their way, the earliest first."""

    def __init__(self, chance: random.Random, faults: Network) -> None:
        self.chance = chance
        self.faults = faults
        self.order = 0
        self.deliveries: list[Delivery] = []
        self.blocked: set[tuple[str, str]] = set()

    def send(self, now_ms: int, source: str, target: str, message: Any) -> None:
        """Put a message on its way, or lose it."""
        if (source, target) in self.blocked:
            return
        if self.chance.randrange(100) < self.faults.drop:
            return
        copies = 2 if self.chance.randrange(100) < self.faults.duplicate else 1
        for _ in range(copies):
            delay = self.chance.randint(1, self.faults.delay_ms)
            if self.chance.randrange(100) < self.faults.late:
                delay += self.chance.randint(0, self.faults.late_ms)
            self.push(now_ms + delay, source, target, message)

    def push(self, at_ms: int, source: str, target: str, message: Any) -> None:
        """Deliver a message at a time for sure."""
        self.order += 1
        delivery = Delivery(at_ms, self.order, source, target, message)
        heapq.heappush(self.deliveries, delivery)

    def pop_due(self, end_ms: int) -> Delivery | None:
        """Take the next message that arrives by ``end_ms``."""
        if not self.deliveries or self.deliveries[0].at_ms > end_ms:
            return None
        return heapq.heappop(self.deliveries)

    def isolate(
        self, name: str, others: list[str], inbound: bool, outbound: bool
    ) -> None:
        """Cut a member off from others in one direction or both."""
        for other in others:
            if other != name and outbound:
                self.blocked.add((name, other))
            if other != name and inbound:
                self.blocked.add((other, name))
