"""Capacity reserved for urgent tasks, based on their recent usage."""

from foxspring_model._configuration import Weights
from foxspring_model._resources import NO_RESOURCES, Resources
from foxspring_model.scheduling._settings import SchedulerSettings

_DEFAULT_EVICTION_WEIGHT = 25


def reserve_decay_ms(settings: SchedulerSettings, weights: Weights) -> int:
    """Return the decay time of the reserve, longer if evictions weigh more."""
    scaled = settings.reserve_decay_ms * weights.evictions // _DEFAULT_EVICTION_WEIGHT
    return max(1, scaled)


class UrgentReserve:
    """The peak usage of urgent tasks, decaying with ``decay_ms``.

    Without a reserve, batch tasks would fill the capacity that an urgent task
    releases, only to be evicted for the next one.
    """

    def __init__(self, decay_ms: int) -> None:
        self.decay_ms = decay_ms
        self._peak: list[float] = [0.0] * len(NO_RESOURCES)
        self._observed_ms = 0

    def observe(self, held: Resources, now_ms: int) -> None:
        """Record what urgent tasks, including claims, hold at ``now_ms``."""
        elapsed_ms = max(0, now_ms - self._observed_ms)
        self._observed_ms = now_ms
        remaining = max(0.0, 1.0 - elapsed_ms / self.decay_ms)
        self._peak = [
            max(amount, peak * remaining)
            for amount, peak in zip(held, self._peak, strict=True)
        ]

    def peak(self) -> Resources:
        """Return what is reserved, including what urgent tasks hold."""
        return Resources(*map(round, self._peak))

    def required_free(self, held: Resources) -> Resources:
        """Return the capacity that batch tasks must leave free on top of ``held``."""
        return Resources(
            *(
                max(0, round(peak) - amount)
                for peak, amount in zip(self._peak, held, strict=True)
            )
        )
