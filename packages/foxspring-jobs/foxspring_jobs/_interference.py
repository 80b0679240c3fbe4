"""How much filling work lengthens the tails of tasks with a latency target.

Load pattern: fills of some images press on some serving images many times more
than others, and how much is seen only in late measurements of tails, while the
serving tasks' own load swings. A tail grows like that of a queue: with a
pressure from 0 to 1 it is its shortest value divided by (1 - pressure), and
each fill image adds to the pressure in proportion to the cores that it uses.
The effect of each pair of images is estimated by a Kalman filter.
"""

import math
from collections.abc import Mapping

FIRST_QUIET = 0.45
QUIET_SHARE = 0.05
MEASURED_LIMIT = 0.96
FIRST_EFFECT = 0.01
FIRST_DEVIATION = 0.03
NOISE_VARIANCE = 0.03
DRIFT_VARIANCE = 1e-7
CAUTION = 0.5
NEGLIGIBLE_EFFECT = 0.006
FIRST_SHORTEST_SHARE = 0.25
SHORTEST_FLOOR_MS = 1.0
SHORTEST_RISE = 0.001
CORE = 1_000


class Estimate:
    """The effects of fill images on one serving image, by core."""

    def __init__(self) -> None:
        self.mean: dict[str, float] = {}
        self.covariance: dict[tuple[str, str], float] = {}

    def _begin(self, fill: str) -> None:
        if fill not in self.mean:
            self.mean[fill] = FIRST_EFFECT
            self.covariance[fill, fill] = FIRST_DEVIATION**2

    def expected(self, cores: Mapping[str, float]) -> float:
        """Return the pressure to expect from fills."""
        mean = self.mean
        return sum(max(0.0, mean.get(f, FIRST_EFFECT)) * c for f, c in cores.items())

    def deviation(self, fill: str) -> float:
        """Return how uncertain the effect of a fill image is."""
        return math.sqrt(self.covariance.get((fill, fill), FIRST_DEVIATION**2))

    def learn(self, pressure: float, cores: Mapping[str, float]) -> None:
        """Take one measured pressure and the fills that ran beside it."""
        for fill in cores:
            self._begin(fill)
            self.covariance[fill, fill] += DRIFT_VARIANCE
        covariance = self.covariance
        spread = {
            known: sum(covariance.get((known, f), 0.0) * c for f, c in cores.items())
            for known in self.mean
        }
        variance = NOISE_VARIANCE + sum(spread[f] * c for f, c in cores.items())
        error = pressure - sum(self.mean[f] * c for f, c in cores.items())
        changed = [known for known in spread if spread[known]]
        for known in changed:
            gain = spread[known] / variance
            self.mean[known] = max(0.0, self.mean[known] + gain * error)
            for other in changed:
                held = covariance.get((known, other), 0.0)
                covariance[known, other] = held - gain * spread[other]


class Interference:
    """The effects learnt so far; cores are given in thousandths."""

    def __init__(self) -> None:
        self.shortest_ms: dict[str, float] = {}
        self.quiet: dict[str, float] = {}
        self.estimates: dict[str, Estimate] = {}

    def pressure(self, serving: str, tail_ms: float, target_ms: int) -> float:
        """Return the pressure that a tail stands for."""
        first = target_ms * FIRST_SHORTEST_SHARE
        shortest = self.shortest_ms.get(serving, first)
        return min(max(0.0, 1.0 - shortest / max(tail_ms, shortest)), MEASURED_LIMIT)

    def observe(
        self, serving: str, tail_ms: int, target_ms: int, fills: Mapping[str, int]
    ) -> float:
        """Learn from one measurement; return the task's own share of it.

        That is the pressure without what the fills beside it explain.
        """
        if tail_ms <= 0:
            return self.quiet.get(serving, FIRST_QUIET)
        self._note_shortest(serving, tail_ms, target_ms)
        pressure = self.pressure(serving, tail_ms, target_ms)
        cores = {image: used / CORE for image, used in fills.items() if used > 0}
        quiet = self.quiet.get(serving, FIRST_QUIET)
        if not cores:
            self.quiet[serving] = quiet + QUIET_SHARE * (pressure - quiet)
            return pressure
        estimate = self.estimates.setdefault(serving, Estimate())
        expected = estimate.expected(cores)
        saturated = pressure >= MEASURED_LIMIT and quiet + expected >= pressure
        if not saturated:
            estimate.learn(pressure - quiet, cores)
        return max(0.0, pressure - estimate.expected(cores))

    def _note_shortest(self, serving: str, tail_ms: int, target_ms: int) -> None:
        held = self.shortest_ms.get(serving, target_ms * FIRST_SHORTEST_SHARE)
        risen = held * (1.0 + SHORTEST_RISE)
        self.shortest_ms[serving] = max(SHORTEST_FLOOR_MS, min(risen, tail_ms))

    def fill_images(self) -> set[str]:
        """Return the fill images that have been seen beside serving tasks."""
        return {f for estimate in self.estimates.values() for f in estimate.mean}

    def effect(self, serving: str, fill: str) -> float:
        """Return what a core of a fill is taken to add, erring to the safe side."""
        estimate = self.estimates.get(serving)
        if estimate is None or fill not in estimate.mean:
            return FIRST_EFFECT
        likely = estimate.mean[fill] + CAUTION * estimate.deviation(fill)
        return likely if likely > NEGLIGIBLE_EFFECT else 0.0

    def added(self, serving: str, fills: Mapping[str, int]) -> float:
        """Return the pressure that fills are taken to add."""
        return sum(
            self.effect(serving, image) * used / CORE for image, used in fills.items()
        )
