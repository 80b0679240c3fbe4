"""A simulated ground truth of interference, unknown to the scheduler's model.

Interference follows a power law of the share of cores that a work class holds and
grows with the square of the service's load. More than two neighbouring classes or
services together cause more interference than the sum of their effects.
"""

import math
import random
import zlib

from foxspring_model import TargetInfo, Task, TaskKind

_SIGMA = 0.6
_P99_SIGMAS = 2.326
_DRAWS = 12
_DAY_MS = 600_000


class GroundTruth:
    """Latencies of services depending on their neighbours and load."""

    def __init__(self, seed: int, objective_us: int = 100_000) -> None:
        self._rng = random.Random(seed)
        self._seed = seed
        self._objective_us = objective_us
        self.drawn: list[float] = []
        self.late_intervals = 0
        self.intervals = 0
        self.warm_up_ms = 0

    def sensitivity(self, service: str, work_class: str) -> float:
        """Return the sensitivity of a service to a class that holds every core."""
        key = f"{self._seed} {service} {work_class}".encode()
        spread = zlib.crc32(key) % 1_000 / 1_000
        return 0.2 + 6.0 * spread**3

    def load(self, service: str, now_ms: int) -> float:
        """Return the load of a service, which varies between 0.1 and 1 over time."""
        offset = zlib.crc32(service.encode()) % _DAY_MS
        wave = math.sin(2 * math.pi * (now_ms + offset) / _DAY_MS)
        return 0.55 + 0.45 * wave

    def slowdown(
        self,
        service: str,
        tasks: list[Task],
        percents: dict[str, int],
        info: TargetInfo,
        now_ms: int,
    ) -> float:
        """Return the factor by which neighbours multiply the latency of a service."""
        shares: dict[str, float] = {}
        for task in tasks:
            name = task.work_class
            if task.kind is TaskKind.SERVICE:
                name = task.task_id.split("/")[1]
            if name == service:
                continue
            part = task.resources.cores_milli / info.capacity.cores_milli
            part *= percents[task.task_id] / 100
            shares[name] = shares.get(name, 0.0) + part
        load = self.load(service, now_ms)
        total = 1.0
        for name, share in shares.items():
            effect = self.sensitivity(service, name) * share**1.3
            total += effect * (0.3 + 1.7 * load * load)
        if len(shares) > 2:
            total *= 1.1
        return total

    def latencies(
        self,
        tasks: list[Task],
        percents: dict[str, int],
        info: TargetInfo,
        now_ms: int,
    ) -> tuple[tuple[str, int, int, int], ...]:
        """Return name, p50, p99 and request count of each service on a target."""
        found = []
        replicas = (t for t in tasks if t.kind is TaskKind.SERVICE)
        services = {t.task_id.split("/")[1] for t in replicas}
        for service in sorted(services):
            load = self.load(service, now_ms)
            base_us = self._objective_us * (0.25 + 0.2 * load)
            slowdown = self.slowdown(service, tasks, percents, info, now_ms)
            p99_us = base_us * slowdown * self._rng.lognormvariate(0.0, 0.15)
            self._draw(base_us * slowdown, now_ms)
            p50_us = p99_us / math.exp(_P99_SIGMAS * _SIGMA)
            found.append((service, int(p50_us), int(p99_us), int(20 + 400 * load)))
        return tuple(found)

    def _draw(self, p99_us: float, now_ms: int) -> None:
        if now_ms < self.warm_up_ms:
            return
        self.intervals += 1
        self.late_intervals += p99_us > self._objective_us
        median = p99_us / math.exp(_P99_SIGMAS * _SIGMA)
        for _ in range(_DRAWS):
            drawn = median * self._rng.lognormvariate(0.0, _SIGMA)
            self.drawn.append(drawn / self._objective_us)

    def p99(self) -> float:
        """Return the p99 of all simulated requests divided by the objective."""
        ordered = sorted(self.drawn)
        return ordered[int(0.99 * (len(ordered) - 1))] if ordered else 0.0
