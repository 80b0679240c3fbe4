"""How many requests a target takes at once, learnt from measured latency."""

from typing import NamedTuple

_SMOOTHING = 0.2
_BASELINE_RISE = 1.002
_TOLERANCE = 2.0
_TOLERANCE_US = 5_000
_DECREASE = 0.9
_START_LIMIT = 8.0


class Limit(NamedTuple):
    """The adaptive limit of one service on one target.

    ``limit`` is in requests, ``latency_us`` the smoothed latency and
    ``baseline_us`` the latency without queueing, both in microseconds.
    """

    limit: float = _START_LIMIT
    latency_us: float = 0.0
    baseline_us: float = 0.0

    @property
    def slots(self) -> int:
        """Return the whole number of requests allowed at once, at least one."""
        return max(1, int(self.limit))


def after_sample(limit: Limit, latency_us: int, in_flight: int, ceiling: int) -> Limit:
    """Return the limit after one answer.

    The limit grows by one a window of answers while latency stays near the
    baseline and the limit is in use, and shrinks by a tenth when it does not.
    ``ceiling`` is the number of slots that the target declares.
    """
    smoothed = _smooth(limit.latency_us, latency_us)
    baseline = _baseline(limit.baseline_us, latency_us)
    size = min(limit.limit, float(ceiling))
    if smoothed > baseline * _TOLERANCE + _TOLERANCE_US:
        size = max(1.0, size - size * (1 - _DECREASE) / max(1, in_flight))
    elif in_flight >= int(size):
        size = min(float(ceiling), size + 1.0 / max(1.0, size))
    return Limit(size, smoothed, baseline)


def _smooth(held: float, sample: int) -> float:
    if held == 0.0:
        return float(sample)
    return held + _SMOOTHING * (sample - held)


def _baseline(held: float, sample: int) -> float:
    if held == 0.0:
        return float(sample)
    return min(float(sample), held * _BASELINE_RISE)
