"""Estimates how much best-effort tasks lengthen the tail latency of serving tasks.

Load pattern: some best-effort images affect some serving images many times more than
others. This shows only in tail latencies that are measured late, while the serving
tasks' own load fluctuates. The model is that of a queue: with a pressure between 0 and
1, the tail latency is its minimum divided by (1 - pressure). Each best-effort image
adds to the pressure in proportion to the cores that it uses. A Kalman filter estimates
the effect of each pair of images.
"""

import math
from collections.abc import Iterable, Mapping

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
    """The effects of best-effort images on one serving image, per core.

    ``mean`` has an entry for each image, and ``covariance`` has a row and a column for
    each, at the image's position. Load pattern: every poll of a target updates one
    estimate for each of its serving tasks.
    """

    def __init__(self) -> None:
        self.mean: dict[str, float] = {}
        self.positions: dict[str, int] = {}
        self.covariance: list[list[float]] = []

    def _add_image(self, best_effort: str) -> None:
        if best_effort in self.mean:
            return
        position = len(self.mean)
        self.mean[best_effort] = INITIAL_EFFECT
        self.positions[best_effort] = position
        for row in self.covariance:
            row.append(0.0)
        self.covariance.append([0.0] * position + [INITIAL_DEVIATION**2])

    def expected(self, cores: Mapping[str, float]) -> float:
        """Return the pressure expected from best-effort tasks that use ``cores``."""
        total = 0.0
        for best_effort, used in cores.items():
            # Means are never negative.
            total += self.mean.get(best_effort, INITIAL_EFFECT) * used
        return total

    def deviation(self, best_effort: str) -> float:
        """Return the standard deviation of a best-effort image's estimated effect."""
        position = self.positions.get(best_effort)
        if position is None:
            return INITIAL_DEVIATION
        return math.sqrt(self.covariance[position][position])

    def update(self, pressure: float, cores: Mapping[str, float]) -> None:
        """Update the estimates from a measured pressure and the cores in use."""
        for best_effort in cores:
            self._add_image(best_effort)
        used = [(self.positions[f], c) for f, c in cores.items()]
        for position, _ in used:
            self.covariance[position][position] += DRIFT_VARIANCE
        cross_covariance = self._cross_covariance(used)
        variance = NOISE_VARIANCE + sum(cross_covariance[p] * c for p, c in used)
        error = pressure - sum(self.mean[f] * c for f, c in cores.items())
        for known, position in self.positions.items():
            if not cross_covariance[position]:
                continue
            gain = cross_covariance[position] / variance
            self.mean[known] = max(0.0, self.mean[known] + gain * error)
            self.covariance[position] = [
                previous - gain * cross
                for previous, cross in zip(
                    self.covariance[position], cross_covariance, strict=True
                )
            ]

    def _cross_covariance(self, used: Iterable[tuple[int, float]]) -> list[float]:
        """Return each effect's covariance with the total effect of the cores in use."""
        totals = [0.0] * len(self.covariance)
        for position, cores in used:
            totals = [
                total + row[position] * cores
                for total, row in zip(totals, self.covariance, strict=True)
            ]
        return totals


class Interference:
    """The effects learned so far; cores are given in millicores."""

    def __init__(self) -> None:
        self.min_tail_ms: dict[str, float] = {}
        self.baseline: dict[str, float] = {}
        self.estimates: dict[str, Estimate] = {}

    def pressure(self, serving: str, tail_ms: float, target_ms: int) -> float:
        """Return the pressure that corresponds to a tail latency."""
        initial = target_ms * INITIAL_MIN_TAIL_SHARE
        min_tail_ms = self.min_tail_ms.get(serving, initial)
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
        """Learn from one measurement and return the serving task's own pressure.

        That is the measured pressure minus the part explained by the best-effort tasks
        on the same target.
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
        at_limit = pressure >= MEASURED_LIMIT
        if not at_limit or baseline + estimate.expected(cores) < pressure:
            estimate.update(pressure - baseline, cores)
        return max(0.0, pressure - estimate.expected(cores))

    def _update_min_tail(self, serving: str, tail_ms: int, target_ms: int) -> None:
        previous = self.min_tail_ms.get(serving, target_ms * INITIAL_MIN_TAIL_SHARE)
        raised = previous * (1.0 + MIN_TAIL_GROWTH)
        self.min_tail_ms[serving] = max(MIN_TAIL_FLOOR_MS, min(raised, tail_ms))

    def best_effort_images(self) -> set[str]:
        """Return the best-effort images that were seen beside serving tasks."""
        return {f for estimate in self.estimates.values() for f in estimate.mean}

    def effect(self, serving: str, best_effort: str) -> float:
        """Return a cautious estimate of the pressure that one core of an image adds."""
        estimate = self.estimates.get(serving)
        if estimate is None or best_effort not in estimate.mean:
            return INITIAL_EFFECT
        cautious = estimate.mean[best_effort] + CAUTION_DEVIATIONS * estimate.deviation(
            best_effort
        )
        return cautious if cautious > NEGLIGIBLE_EFFECT else 0.0

    def added(self, serving: str, best_effort_cores: Mapping[str, int]) -> float:
        """Return the pressure that best-effort tasks are assumed to add."""
        return sum(
            self.effect(serving, image) * used / MILLICORES_PER_CORE
            for image, used in best_effort_cores.items()
        )
