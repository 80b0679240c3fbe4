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

INITIAL_BASELINE = 0.45
BASELINE_WEIGHT = 0.05
MEASURED_LIMIT = 0.96
INITIAL_EFFECT = 0.01
INITIAL_DEVIATION = 0.03
NOISE_VARIANCE = 0.03
DRIFT_VARIANCE = 1e-7
CAUTION_DEVIATIONS = 0.5
NEGLIGIBLE_EFFECT = 0.006
INITIAL_MIN_TAIL_SHARE = 0.25
MIN_TAIL_FLOOR_MS = 1.0
MIN_TAIL_GROWTH = 0.001
MILLICORES_PER_CORE = 1_000


class Estimate:
    """The effects of fill images on one serving image, by core."""

    def __init__(self) -> None:
        self.mean: dict[str, float] = {}
        self.covariance: dict[tuple[str, str], float] = {}

    def _add_image(self, best_effort: str) -> None:
        if best_effort not in self.mean:
            self.mean[best_effort] = INITIAL_EFFECT
            self.covariance[best_effort, best_effort] = INITIAL_DEVIATION**2

    def expected(self, cores: Mapping[str, float]) -> float:
        """Return the pressure to expect from fills."""
        mean = self.mean
        return sum(max(0.0, mean.get(f, INITIAL_EFFECT)) * c for f, c in cores.items())

    def deviation(self, best_effort: str) -> float:
        """Return how uncertain the effect of a fill image is."""
        return math.sqrt(
            self.covariance.get((best_effort, best_effort), INITIAL_DEVIATION**2)
        )

    def update(self, pressure: float, cores: Mapping[str, float]) -> None:
        """Take one measured pressure and the fills that ran beside it."""
        for best_effort in cores:
            self._add_image(best_effort)
            self.covariance[best_effort, best_effort] += DRIFT_VARIANCE
        covariance = self.covariance
        cross_covariance = {
            known: sum(covariance.get((known, f), 0.0) * c for f, c in cores.items())
            for known in self.mean
        }
        variance = NOISE_VARIANCE + sum(
            cross_covariance[f] * c for f, c in cores.items()
        )
        error = pressure - sum(self.mean[f] * c for f, c in cores.items())
        changed = [known for known in cross_covariance if cross_covariance[known]]
        for known in changed:
            gain = cross_covariance[known] / variance
            self.mean[known] = max(0.0, self.mean[known] + gain * error)
            for other in changed:
                held = covariance.get((known, other), 0.0)
                covariance[known, other] = held - gain * cross_covariance[other]


class Interference:
    """The effects learnt so far; cores are given in thousandths."""

    def __init__(self) -> None:
        self.min_tail_ms: dict[str, float] = {}
        self.baseline: dict[str, float] = {}
        self.estimates: dict[str, Estimate] = {}

    def pressure(self, serving: str, tail_ms: float, target_ms: int) -> float:
        """Return the pressure that a tail stands for."""
        first = target_ms * INITIAL_MIN_TAIL_SHARE
        min_tail_ms = self.min_tail_ms.get(serving, first)
        return min(
            max(0.0, 1.0 - min_tail_ms / max(tail_ms, min_tail_ms)), MEASURED_LIMIT
        )

    def observe(
        self,
        serving: str,
        tail_ms: int,
        target_ms: int,
        best_effort_cores: Mapping[str, int],
    ) -> float:
        """Learn from one measurement; return the task's own share of it.

        That is the pressure without what the fills beside it explain.
        """
        if tail_ms <= 0:
            return self.baseline.get(serving, INITIAL_BASELINE)
        self._update_min_tail(serving, tail_ms, target_ms)
        pressure = self.pressure(serving, tail_ms, target_ms)
        cores = {
            image: used / MILLICORES_PER_CORE
            for image, used in best_effort_cores.items()
            if used > 0
        }
        baseline = self.baseline.get(serving, INITIAL_BASELINE)
        if not cores:
            self.baseline[serving] = baseline + BASELINE_WEIGHT * (pressure - baseline)
            return pressure
        estimate = self.estimates.setdefault(serving, Estimate())
        expected = estimate.expected(cores)
        saturated = pressure >= MEASURED_LIMIT and baseline + expected >= pressure
        if not saturated:
            estimate.update(pressure - baseline, cores)
        return max(0.0, pressure - estimate.expected(cores))

    def _update_min_tail(self, serving: str, tail_ms: int, target_ms: int) -> None:
        held = self.min_tail_ms.get(serving, target_ms * INITIAL_MIN_TAIL_SHARE)
        risen = held * (1.0 + MIN_TAIL_GROWTH)
        self.min_tail_ms[serving] = max(MIN_TAIL_FLOOR_MS, min(risen, tail_ms))

    def best_effort_images(self) -> set[str]:
        """Return the fill images that have been seen beside serving tasks."""
        return {f for estimate in self.estimates.values() for f in estimate.mean}

    def effect(self, serving: str, best_effort: str) -> float:
        """Return what a core of a fill is taken to add, erring to the safe side."""
        estimate = self.estimates.get(serving)
        if estimate is None or best_effort not in estimate.mean:
            return INITIAL_EFFECT
        likely = estimate.mean[best_effort] + CAUTION_DEVIATIONS * estimate.deviation(
            best_effort
        )
        return likely if likely > NEGLIGIBLE_EFFECT else 0.0

    def added(self, serving: str, best_effort_cores: Mapping[str, int]) -> float:
        """Return the pressure that fills are taken to add."""
        return sum(
            self.effect(serving, image) * used / MILLICORES_PER_CORE
            for image, used in best_effort_cores.items()
        )
