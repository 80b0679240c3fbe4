"""How many requests a target takes at once, learnt from measured latency."""

from typing import NamedTuple

_SHORT_SMOOTHING = 0.1
_LONG_SMOOTHING = 0.005
_LONG_FALL = 0.95
_TOLERANCE = 2.0
_STRONGEST_CUT = 0.5
_HEADROOM = 1.0
_STEP = 0.2
_START_LIMIT = 8.0


class Limit(NamedTuple):
    """The adaptive limit of one service on one target.

    ``limit`` is in requests. ``latency_us`` is the mean latency of late and
    ``usual_us`` that of the longer past, both in microseconds.
    """

    limit: float = _START_LIMIT
    latency_us: float = 0.0
    usual_us: float = 0.0

    @property
    def slots(self) -> int:
        """Return the whole number of requests allowed at once, at least one."""
        return max(1, int(self.limit))


def after_sample(limit: Limit, latency_us: int, in_flight: int, ceiling: int) -> Limit:
    """Return the limit after one answer.

    The limit shrinks with the ratio of the usual latency to that of late once
    that has more than doubled, and grows back by a request at a time. Means are
    compared, not least values, so that a service whose requests differ widely
    is not taken for one under load. ``ceiling`` is the number of slots that the
    target declares.
    """
    late = _mean(limit.latency_us, latency_us, _SHORT_SMOOTHING)
    usual = _mean(limit.usual_us, latency_us, _LONG_SMOOTHING)
    if usual > late * _TOLERANCE:
        usual *= _LONG_FALL
    size = min(limit.limit, float(ceiling))
    if 2 * in_flight >= size:
        ratio = _TOLERANCE * usual / late if late else 1.0
        gradient = max(_STRONGEST_CUT, min(1.0, ratio))
        wanted = size * gradient + _HEADROOM
        size = min(float(ceiling), max(1.0, size + _STEP * (wanted - size)))
    return Limit(size, late, usual)


def _mean(held: float, sample: int, smoothing: float) -> float:
    if held == 0.0:
        return float(sample)
    return held + smoothing * (sample - held)
