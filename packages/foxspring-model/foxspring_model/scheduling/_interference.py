"""The effect of each work class on each service, learned from measurements.

Pressure is the p99 latency of a service divided by its objective. On one target
it is modelled as a base plus, for each work class, a coefficient times the
fraction of the target's cores that the class holds. Base and coefficients are
estimated separately for a few load levels of the service. A Kalman filter with
independent variances corrects them from each sample; the remaining variance
shows how well a pair of service and work class is known.
"""

from collections.abc import Mapping

LOAD_LEVELS = 3
MAX_PRESSURE = 10.0

_BASE_VARIANCE = 1.0
_COEFFICIENT_VARIANCE = 4.0
_KNOWN_VARIANCE = 1.0
_DRIFT = 0.0005
_NOISE_FLOOR = 0.01
_NOISE_SHARE = 0.25
_INITIAL_BASE = 0.4
_INITIAL_COEFFICIENT = 0.5
_COUNT_DECAY = 0.999


class Estimate:
    """One learned parameter and its remaining variance."""

    __slots__ = ("value", "variance")

    def __init__(self, value: float, variance: float) -> None:
        self.value = value
        self.variance = variance


class InterferenceModel:
    """Base and coefficients of every service, work class and load level."""

    def __init__(self) -> None:
        self._bases: dict[tuple[str, int], Estimate] = {}
        self._coefficients: dict[tuple[str, str, int], Estimate] = {}
        self._priors: dict[tuple[str, str], float] = {}
        self._known: set[tuple[str, str]] = set()
        self._peak_requests: dict[str, float] = {}

    def level_of(self, service: str, requests: int) -> int:
        """Return the load level of a sample's request count for ``service``.

        Levels are equal parts of the peak request count, which decays slowly.
        """
        peak = self._peak_requests.get(service, 1.0) * _COUNT_DECAY
        peak = max(peak, float(requests), 1.0)
        self._peak_requests[service] = peak
        return min(LOAD_LEVELS - 1, int(LOAD_LEVELS * requests / peak))

    def learn(
        self, service: str, level: int, shares: Mapping[str, float], pressure: float
    ) -> None:
        """Correct the estimates from one sample.

        ``shares`` are the fractions of the target's cores that each work class
        held when the sample was taken.
        """
        pressure = min(pressure, MAX_PRESSURE)
        terms = [(self._base_estimate(service, level), 1.0)]
        terms += [
            (self._coefficient_estimate(service, name, level), share)
            for name, share in shares.items()
        ]
        expected = sum(estimate.value * x for estimate, x in terms)
        noise = _NOISE_FLOOR + (_NOISE_SHARE * pressure) ** 2
        total = noise + sum(estimate.variance * x * x for estimate, x in terms)
        for estimate, x in terms:
            gain = estimate.variance * x / total
            estimate.value = max(0.0, estimate.value + gain * (pressure - expected))
            estimate.variance += _DRIFT * x - gain * x * estimate.variance
        for name in shares:
            self._update_prior(service, name, level)

    def predict(self, service: str, level: int, shares: Mapping[str, float]) -> float:
        """Return the expected pressure if work classes hold ``shares`` of the cores."""
        total = self.base(service, level)
        for name, share in shares.items():
            total += self.coefficient(service, name, level) * share
        return total

    def base(self, service: str, level: int) -> float:
        """Return the pressure of a service without batch work on its target."""
        found = self._bases.get((service, level))
        return found.value if found is not None else _INITIAL_BASE

    def coefficient(self, service: str, work_class: str, level: int) -> float:
        """Return the pressure added by a work class that holds all cores."""
        found = self._coefficients.get((service, work_class, level))
        return found.value if found is not None else self._prior(service, work_class)

    def known(self, service: str, work_class: str) -> bool:
        """Return whether the pair is known at any load level."""
        return (service, work_class) in self._known

    def _update_prior(self, service: str, work_class: str, level: int) -> None:
        found = self._coefficients[service, work_class, level]
        self._priors[service, work_class] = found.value
        if found.variance < _KNOWN_VARIANCE:
            self._known.add((service, work_class))

    def _prior(self, service: str, work_class: str) -> float:
        return self._priors.get((service, work_class), _INITIAL_COEFFICIENT)

    def _base_estimate(self, service: str, level: int) -> Estimate:
        key = (service, level)
        found = self._bases.get(key)
        if found is None:
            found = Estimate(_INITIAL_BASE, _BASE_VARIANCE)
            self._bases[key] = found
        return found

    def _coefficient_estimate(
        self, service: str, work_class: str, level: int
    ) -> Estimate:
        key = (service, work_class, level)
        found = self._coefficients.get(key)
        if found is None:
            found = Estimate(self._prior(service, work_class), _COEFFICIENT_VARIANCE)
            self._coefficients[key] = found
        return found
