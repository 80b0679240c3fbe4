"""Task sizes corrected by measured usage, within bounds of the declared size."""

from foxspring_model._resources import Resources
from foxspring_model.scheduling._records import TaskGroup
from foxspring_model.scheduling._settings import SchedulerSettings

_PERCENT = 100
_CORES_WEIGHT = 0.2
_MEMORY_DECAY = 0.02


class ObservedUsage:
    """Measured usage of one task of a group.

    ``cores_milli`` is a moving average and ``memory_mb`` a slowly decaying peak.
    """

    __slots__ = ("cores_milli", "memory_mb", "samples")

    def __init__(self) -> None:
        self.cores_milli = 0.0
        self.memory_mb = 0.0
        self.samples = 0

    def observe(self, cores_milli: int, memory_mb: int) -> None:
        """Add one measurement of one task."""
        self.samples += 1
        if self.samples == 1:
            self.cores_milli = cores_milli
            self.memory_mb = memory_mb
            return
        self.cores_milli += _CORES_WEIGHT * (cores_milli - self.cores_milli)
        if memory_mb >= self.memory_mb:
            self.memory_mb = memory_mb
        else:
            self.memory_mb += _MEMORY_DECAY * (memory_mb - self.memory_mb)


def bounded(
    used: float, declared: int, largest: int, low_percent: int, high_percent: int
) -> int:
    """Return ``used`` limited to a range around ``declared``.

    The range is ``low_percent`` to ``high_percent`` of ``declared``. Its upper end
    is at most ``largest``, the capacity of the largest target, because a larger
    size would never fit, but never less than ``declared``.
    """
    lower = declared * low_percent // _PERCENT
    upper = max(declared, min(declared * high_percent // _PERCENT, largest))
    return max(lower, min(upper, int(used)))


def corrected_size(
    group: TaskGroup, largest: Resources, settings: SchedulerSettings
) -> Resources:
    """Return the resources that a task of ``group`` should hold on a target.

    A resource declared as zero remains zero. Memory is never corrected below the
    declared amount, because it cannot be reclaimed from a running task.
    """
    declared = group.shape.resources
    used = group.observed_usage
    if used is None:
        return declared
    low_percent, high_percent = settings.size_min_percent, settings.size_max_percent
    cores = bounded(
        used.cores_milli,
        declared.cores_milli,
        largest.cores_milli,
        low_percent,
        high_percent,
    )
    memory = bounded(
        used.memory_mb, declared.memory_mb, largest.memory_mb, _PERCENT, high_percent
    )
    if cores == declared.cores_milli and memory == declared.memory_mb:
        return declared
    return declared._replace(cores_milli=cores, memory_mb=memory)
