"""Estimates how much best-effort tasks lengthen the tail latency of serving tasks.

Load pattern: some best-effort images affect some serving images many times more than
others. This shows only in tail latencies that are measured late, while the serving
tasks' own load fluctuates. The model is that of a queue: with a pressure between 0 and
1, the tail latency is its minimum divided by (1 - pressure). Each best-effort image
adds to the pressure in proportion to the cores that it uses. A Kalman filter estimates
the effect of each pair of images.

Load pattern: callers choose the images, and may bring thousands. What an update costs
grows with the square of those that are known, so only a number of them has an estimate
of its own. The others share one, as if they were one image.
"""

import math
from collections.abc import Iterable, Mapping, Sequence

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
# An update with as many images takes some milliseconds.
MAX_IMAGES = 64
# An image that was beside none of so many measurements makes room for another one.
UNUSED_AFTER_UPDATES = 2_000
# Stands for all images without an estimate of their own.
OTHER_IMAGES = "\0others"


class Estimate:
    """The effects of best-effort images on one serving image, per core.

    ``mean`` has an entry for each known image, and ``covariance`` has a row and a
    column for each, at the image's position. ``updated`` tells by which of the
    ``updates`` an image was seen last. Load pattern: every poll of a target updates one
    estimate for each of its serving tasks.
    """

    def __init__(self) -> None:
        self.mean: dict[str, float] = {}
        self.positions: dict[str, int] = {}
        self.covariance: list[list[float]] = []
        self.updates = 0
        self.updated: dict[str, int] = {}

    def image_of(self, best_effort: str) -> str:
        """Return the name under which a best-effort image is estimated."""
        if best_effort in self.mean or OTHER_IMAGES not in self.mean:
            return best_effort
        return OTHER_IMAGES

    def _known_cores(self, cores: Mapping[str, float]) -> dict[str, float]:
        """Return the cores by estimated image, which are made known as far as allowed.

        The images in use are noted as such.
        """
        self.updates += 1
        if len(self.mean) >= MAX_IMAGES and not cores.keys() <= self.mean.keys():
            self._forget_unused()
        known: dict[str, float] = {}
        for best_effort, used in cores.items():
            name = self._known_image(best_effort)
            known[name] = known.get(name, 0.0) + used
            self.updated[name] = self.updates
        return known

    def _known_image(self, best_effort: str) -> str:
        """Return the name under which an image is estimated from now on."""
        if best_effort in self.mean:
            return best_effort
        name = best_effort if len(self.mean) < MAX_IMAGES else OTHER_IMAGES
        self._add_image(name)
        return name

    def _forget_unused(self) -> None:
        """Forget the image that was not seen for the longest, if for long enough."""
        own = [name for name in self.updated if name != OTHER_IMAGES]
        oldest = min(own, key=self.updated.__getitem__)
        if self.updates - self.updated[oldest] < UNUSED_AFTER_UPDATES:
            return
        position = self.positions.pop(oldest)
        del self.mean[oldest], self.updated[oldest], self.covariance[position]
        for row in self.covariance:
            del row[position]
        for name, other in self.positions.items():
            self.positions[name] = other - (other > position)

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
            name = self.image_of(best_effort)
            total += self.mean.get(name, INITIAL_EFFECT) * used
        return total

    def deviation(self, best_effort: str) -> float:
        """Return the standard deviation of a best-effort image's estimated effect."""
        position = self.positions.get(self.image_of(best_effort))
        if position is None:
            return INITIAL_DEVIATION
        return math.sqrt(self.covariance[position][position])

    def update(
        self, pressure: float, cores: Mapping[str, float], count: int = 1
    ) -> None:
        """Update the estimates from a measured pressure and the cores in use.

        ``pressure`` is the mean of ``count`` independent measurements.
        """
        cores = self._known_cores(cores)
        used = [(self.positions[f], c) for f, c in cores.items()]
        for position, _ in used:
            self.covariance[position][position] += DRIFT_VARIANCE * count
        cross_covariance = self._cross_covariance(used)
        variance = NOISE_VARIANCE / count + sum(
            cross_covariance[p] * c for p, c in used
        )
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
    """The effects learned so far; cores are given in millicores.

    ``version`` rises with each measurement that is learned from.
    """

    def __init__(self) -> None:
        self.version = 0
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
        """Learn from the measurement of one task; see :meth:`observe_tasks`."""
        tails_ms = (tail_ms,)
        return self.observe_tasks(serving, tails_ms, target_ms, best_effort_cores)[0]

    def observe_tasks(
        self,
        serving: str,
        tails_ms: Sequence[int],
        target_ms: int,
        best_effort_cores: Mapping[str, int],
    ) -> list[float]:
        """Learn from equal tasks on one target and return their own pressures.

        The own pressure is the measured one minus the part explained by the best-effort
        tasks on the same target, which is the same part for all.
        """
        cores = {
            image: used / MILLICORES_PER_CORE
            for image, used in best_effort_cores.items()
            if used > 0
        }
        for tail_ms in tails_ms:
            if tail_ms > 0:
                self._update_min_tail(serving, tail_ms, target_ms)
        measured = [
            self.pressure(serving, tail_ms, target_ms)
            for tail_ms in tails_ms
            if tail_ms > 0
        ]
        if measured:
            self.version += 1
            self._learn(serving, measured, cores)
        explained = self._explained(serving, cores)
        unknown = self.baseline.get(serving, INITIAL_BASELINE)
        return [
            max(0.0, self.pressure(serving, tail_ms, target_ms) - explained)
            if tail_ms > 0
            else unknown
            for tail_ms in tails_ms
        ]

    def _explained(self, serving: str, cores: Mapping[str, float]) -> float:
        estimate = self.estimates.get(serving)
        return estimate.expected(cores) if estimate is not None and cores else 0.0

    def _learn(
        self, serving: str, measured: Sequence[float], cores: Mapping[str, float]
    ) -> None:
        baseline = self.baseline.get(serving, INITIAL_BASELINE)
        if not cores:
            for pressure in measured:
                baseline += BASELINE_WEIGHT * (pressure - baseline)
            self.baseline[serving] = baseline
            return
        estimate = self.estimates.setdefault(serving, Estimate())
        expected = baseline + estimate.expected(cores)
        # A pressure at the limit of what can be measured is only a lower bound.
        usable = [p for p in measured if p < MEASURED_LIMIT or expected < p]
        if usable:
            mean = sum(usable) / len(usable)
            estimate.update(mean - baseline, cores, len(usable))

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
        name = best_effort if estimate is None else estimate.image_of(best_effort)
        if estimate is None or name not in estimate.mean:
            return INITIAL_EFFECT
        deviation = estimate.deviation(name)
        cautious = estimate.mean[name] + CAUTION_DEVIATIONS * deviation
        return cautious if cautious > NEGLIGIBLE_EFFECT else 0.0

    def added(self, serving: str, best_effort_cores: Mapping[str, int]) -> float:
        """Return the pressure that best-effort tasks are assumed to add."""
        return sum(
            self.effect(serving, image) * used / MILLICORES_PER_CORE
            for image, used in best_effort_cores.items()
        )
