"""Adaptive concurrency limit of a target, based on measured latency."""

from typing import NamedTuple

_RECENT_SMOOTHING = 0.1
_BASELINE_SMOOTHING = 0.005
_BASELINE_DECAY = 0.95
_LATENCY_TOLERANCE = 2.0
_MIN_GRADIENT = 0.5
_HEADROOM = 1.0
_LIMIT_SMOOTHING = 0.2
_INITIAL_LIMIT = 8.0


class ConcurrencyLimit(NamedTuple):
    """Adaptive concurrency limit of one service on one target.

    ``limit`` is a number of requests. ``latency_us`` is the moving average of
    recent latencies and ``baseline_us`` that over a longer time, both in
    microseconds.
    """

    limit: float = _INITIAL_LIMIT
    latency_us: float = 0.0
    baseline_us: float = 0.0

    @property
    def slots(self) -> int:
        """Return the limit as a whole number of requests, at least one."""
        return max(1, int(self.limit))


def after_sample(
    limit: ConcurrencyLimit, latency_us: int, in_flight: int, ceiling: int
) -> ConcurrencyLimit:
    """Return the limit after one more latency sample.

    The limit shrinks with the ratio of baseline to recent latency once the
    recent latency is more than twice the baseline, and otherwise grows back by
    at most one request at a time. It compares averages rather than minima, so
    that a service whose requests vary widely is not mistaken for an overloaded
    one. ``ceiling`` is the number of slots that the target declares.
    """
    recent = _mean(limit.latency_us, latency_us, _RECENT_SMOOTHING)
    baseline = _mean(limit.baseline_us, latency_us, _BASELINE_SMOOTHING)
    if baseline > recent * _LATENCY_TOLERANCE:
        baseline *= _BASELINE_DECAY
    size = min(limit.limit, float(ceiling))
    if 2 * in_flight >= size:
        ratio = _LATENCY_TOLERANCE * baseline / recent if recent else 1.0
        gradient = max(_MIN_GRADIENT, min(1.0, ratio))
        desired = size * gradient + _HEADROOM
        size = min(float(ceiling), max(1.0, size + _LIMIT_SMOOTHING * (desired - size)))
    return ConcurrencyLimit(size, recent, baseline)


def _mean(mean: float, sample: int, smoothing: float) -> float:
    if mean == 0.0:
        return float(sample)
    return mean + smoothing * (sample - mean)
