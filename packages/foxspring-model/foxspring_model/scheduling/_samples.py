"""Handling of late, duplicate and out-of-order measurements."""

from collections import OrderedDict
from typing import NamedTuple

from foxspring_model._job import TaskKind
from foxspring_model._messages import UsageSample


class SampleHistory:
    """The recent measurements of one target, to detect duplicates.

    Only a sample that is newer than all others shows the current state of the
    target. An older one is still used for learning, unless it may be a duplicate.
    """

    __slots__ = ("incarnation", "newest_ms", "remembered", "seen")

    def __init__(self, remembered: int) -> None:
        self.incarnation = 0
        self.newest_ms = -1
        self.remembered = remembered
        self.seen: list[int] = []

    def admit(self, sample: UsageSample) -> tuple[bool, bool]:
        """Return whether the sample is new and whether it is the newest so far."""
        if sample.incarnation < self.incarnation:
            return False, False
        if sample.incarnation > self.incarnation:
            self.incarnation = sample.incarnation
            self.newest_ms = -1
            self.seen.clear()
        taken_ms = sample.measured_ms
        full = len(self.seen) >= self.remembered
        if taken_ms in self.seen or (full and taken_ms < min(self.seen)):
            return False, False
        if full:
            del self.seen[0]
        self.seen.append(taken_ms)
        newest = taken_ms > self.newest_ms
        if newest:
            self.newest_ms = taken_ms
        return True, newest


class ShapeSummary(NamedTuple):
    """The attributes of an ended task that are needed to interpret a late sample."""

    kind: TaskKind
    work_class: str
    cores_milli: int


class RecentShapes:
    """The shapes of the jobs whose tasks ended most recently."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._summaries: OrderedDict[str, ShapeSummary] = OrderedDict()

    def remember(self, job_id: str, summary: ShapeSummary) -> None:
        """Store ``summary`` and remove the oldest ones above the limit."""
        self._summaries[job_id] = summary
        self._summaries.move_to_end(job_id)
        while len(self._summaries) > self._limit:
            self._summaries.popitem(last=False)

    def of_task(self, task_id: str) -> ShapeSummary | None:
        """Return the summary of an ended task, or ``None`` if it was removed."""
        return self._summaries.get(task_id.rpartition("/")[0])
