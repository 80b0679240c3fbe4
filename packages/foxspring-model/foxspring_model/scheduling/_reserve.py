"""Room kept free for urgent work, by how much it lately used."""

from foxspring_model._configuration import Weights
from foxspring_model._resources import NOTHING, Resources
from foxspring_model.scheduling._settings import SchedulerSettings

_EVEN_EVICTION_WEIGHT = 25


def reserve_decay_ms(settings: SchedulerSettings, weights: Weights) -> int:
    """Return how long the reserve lasts, longer where evictions weigh more."""
    scaled = settings.reserve_decay_ms * weights.evictions // _EVEN_EVICTION_WEIGHT
    return max(1, scaled)


class UrgentReserve:
    """The most that urgent work held, fading over ``decay_ms`` milliseconds.

    Without it, batch tasks would take each place that an urgent task leaves,
    only to be evicted for the next one.
    """

    def __init__(self, decay_ms: int) -> None:
        self.decay_ms = decay_ms
        self._peak: list[float] = [0.0] * len(NOTHING)
        self._observed_ms = 0

    def observe(self, held: Resources, now_ms: int) -> None:
        """Take what urgent work holds and waits for at ``now_ms``."""
        elapsed_ms = max(0, now_ms - self._observed_ms)
        self._observed_ms = now_ms
        keep = max(0.0, 1.0 - elapsed_ms / self.decay_ms)
        self._peak = [
            max(amount, peak * keep)
            for amount, peak in zip(held, self._peak, strict=True)
        ]

    def wanted(self, held: Resources) -> Resources:
        """Return what batch work must leave free beside ``held``."""
        return Resources(
            *(
                max(0, round(peak) - amount)
                for peak, amount in zip(self._peak, held, strict=True)
            )
        )
