"""Room kept free for urgent work, by how much it lately used."""

from foxspring_model._resources import NOTHING, Resources


class UrgentReserve:
    """The most that urgent work held, fading over ``decay_ms``.

    Without it, batch tasks would take each place that an urgent task leaves,
    only to be evicted for the next one.
    """

    def __init__(self, decay_ms: int) -> None:
        self._decay_ms = decay_ms
        self._peak: list[float] = [0.0] * len(NOTHING)
        self._observed_ms = 0

    def observe(self, held: Resources, now_ms: int) -> None:
        """Take what urgent work holds and waits for at ``now_ms``."""
        elapsed_ms = max(0, now_ms - self._observed_ms)
        self._observed_ms = now_ms
        keep = max(0.0, 1.0 - elapsed_ms / self._decay_ms)
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
