"""What each class of work does to each service, learnt from measurements.

Pressure is a service's p99 divided by its objective. On one target it is
modelled as a base plus, for each work class, a coefficient times the share of
the target's cores that the class holds, at each of a few load levels of the
service. A Kalman filter with independent variances corrects the base and
coefficients from each sample; the variance that is left tells how well a pair
is known.
"""

from collections.abc import Mapping

LOAD_LEVELS = 3
MOST_PRESSURE = 10.0

_BASE_VARIANCE = 1.0
_PAIR_VARIANCE = 4.0
_KNOWN_VARIANCE = 1.0
_DRIFT = 0.0005
_NOISE_FLOOR = 0.01
_NOISE_SHARE = 0.25
_FIRST_BASE = 0.4
_FIRST_PAIR = 0.5
_COUNT_DECAY = 0.999


class Estimate:
    """One learnt figure with the variance that is left."""

    __slots__ = ("value", "variance")

    def __init__(self, value: float, variance: float) -> None:
        self.value = value
        self.variance = variance


class PairModel:
    """Base and coefficients of every service, work class and load level."""

    def __init__(self) -> None:
        self._bases: dict[tuple[str, int], Estimate] = {}
        self._pairs: dict[tuple[str, str, int], Estimate] = {}
        self._guesses: dict[tuple[str, str], float] = {}
        self._known: set[tuple[str, str]] = set()
        self._busiest: dict[str, float] = {}

    def level_of(self, service: str, requests: int) -> int:
        """Return the load level of a sample's request count for ``service``.

        Levels are equal parts of the busiest count seen, which fades slowly.
        """
        busiest = self._busiest.get(service, 1.0) * _COUNT_DECAY
        busiest = max(busiest, float(requests), 1.0)
        self._busiest[service] = busiest
        return min(LOAD_LEVELS - 1, int(LOAD_LEVELS * requests / busiest))

    def learn(
        self, service: str, level: int, shares: Mapping[str, float], pressure: float
    ) -> None:
        """Correct the figures by one sample.

        ``shares`` are the parts of the target's cores held by each work class
        when the sample was taken.
        """
        pressure = min(pressure, MOST_PRESSURE)
        terms = [(self._base(service, level), 1.0)]
        terms += [
            (self._pair(service, name, level), share) for name, share in shares.items()
        ]
        expected = sum(estimate.value * x for estimate, x in terms)
        noise = _NOISE_FLOOR + (_NOISE_SHARE * pressure) ** 2
        total = noise + sum(estimate.variance * x * x for estimate, x in terms)
        for estimate, x in terms:
            gain = estimate.variance * x / total
            estimate.value = max(0.0, estimate.value + gain * (pressure - expected))
            estimate.variance += _DRIFT * x - gain * x * estimate.variance
        for name in shares:
            self._note_pair(service, name, level)

    def predict(self, service: str, level: int, shares: Mapping[str, float]) -> float:
        """Return the pressure expected with ``shares`` on the target."""
        total = self.base(service, level)
        for name, share in shares.items():
            total += self.coefficient(service, name, level) * share
        return total

    def base(self, service: str, level: int) -> float:
        """Return the pressure of a service on a target of its own."""
        found = self._bases.get((service, level))
        return found.value if found is not None else _FIRST_BASE

    def coefficient(self, service: str, work_class: str, level: int) -> float:
        """Return the pressure added by a class that holds every core."""
        found = self._pairs.get((service, work_class, level))
        return found.value if found is not None else self._guess(service, work_class)

    def known(self, service: str, work_class: str) -> bool:
        """Tell whether the pair is known at any load level."""
        return (service, work_class) in self._known

    def _note_pair(self, service: str, work_class: str, level: int) -> None:
        found = self._pairs[service, work_class, level]
        self._guesses[service, work_class] = found.value
        if found.variance < _KNOWN_VARIANCE:
            self._known.add((service, work_class))

    def _guess(self, service: str, work_class: str) -> float:
        return self._guesses.get((service, work_class), _FIRST_PAIR)

    def _base(self, service: str, level: int) -> Estimate:
        key = (service, level)
        found = self._bases.get(key)
        if found is None:
            found = Estimate(_FIRST_BASE, _BASE_VARIANCE)
            self._bases[key] = found
        return found

    def _pair(self, service: str, work_class: str, level: int) -> Estimate:
        key = (service, work_class, level)
        found = self._pairs.get(key)
        if found is None:
            found = Estimate(self._guess(service, work_class), _PAIR_VARIANCE)
            self._pairs[key] = found
        return found
