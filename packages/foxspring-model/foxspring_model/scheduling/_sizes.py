"""Sizes corrected by what reports show, within bounds of the declared size."""

from foxspring_model._resources import Resources
from foxspring_model.scheduling._records import TaskGroup
from foxspring_model.scheduling._settings import SchedulerSettings

_PERCENT = 100
_CORES_WEIGHT = 0.2
_MEMORY_DECAY = 0.02


class UsedSize:
    """What one task of a group uses: cores on average, memory at its peak."""

    __slots__ = ("cores_milli", "memory_mb", "samples")

    def __init__(self) -> None:
        self.cores_milli = 0.0
        self.memory_mb = 0.0
        self.samples = 0

    def observe(self, cores_milli: int, memory_mb: int) -> None:
        """Take one measurement of one task."""
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


def bounded(used: float, declared: int, most: int, low: int, high: int) -> int:
    """Return ``used`` within ``low`` and ``high`` percent of ``declared``.

    ``most`` is what the largest target holds; a size over it would never fit.
    """
    least = declared * low // _PERCENT
    top = max(declared, min(declared * high // _PERCENT, most))
    return max(least, min(top, int(used)))


def corrected_size(
    group: TaskGroup, largest: Resources, settings: SchedulerSettings
) -> Resources:
    """Return what a task of ``group`` should hold on a target.

    A resource declared as zero stays zero, and memory is never corrected below
    what was declared, because it can't be taken back from a running task.
    """
    declared = group.shape.resources
    used = group.used
    if used is None:
        return declared
    low, high = settings.size_least, settings.size_most
    cores = bounded(
        used.cores_milli, declared.cores_milli, largest.cores_milli, low, high
    )
    memory = bounded(
        used.memory_mb, declared.memory_mb, largest.memory_mb, _PERCENT, high
    )
    if cores == declared.cores_milli and memory == declared.memory_mb:
        return declared
    return declared._replace(cores_milli=cores, memory_mb=memory)
