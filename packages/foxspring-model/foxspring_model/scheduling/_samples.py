"""Late, doubled and out-of-order measurements, laid against what ran then."""

from collections import OrderedDict
from typing import NamedTuple

from foxspring_model._job import TaskKind
from foxspring_model._messages import UsageSample


class SampleOrder:
    """What was seen of one target's measurements.

    Only a sample newer than all others tells how the target is now. An older
    one may still be learnt from, unless it may have been seen before.
    """

    __slots__ = ("incarnation", "newest_ms", "remembered", "seen")

    def __init__(self, remembered: int) -> None:
        self.incarnation = 0
        self.newest_ms = -1
        self.remembered = remembered
        self.seen: list[int] = []

    def admit(self, sample: UsageSample) -> tuple[bool, bool]:
        """Return whether the sample is unseen and whether it is the newest."""
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


class ShapeMemo(NamedTuple):
    """What is needed of a task to explain a late sample."""

    kind: TaskKind
    work_class: str
    cores_milli: int


class ShapeMemory:
    """The shapes of jobs, kept for a while after their last task ended."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._memos: OrderedDict[str, ShapeMemo] = OrderedDict()

    def remember(self, job_id: str, memo: ShapeMemo) -> None:
        """Keep ``memo`` and drop the oldest over the limit."""
        self._memos[job_id] = memo
        self._memos.move_to_end(job_id)
        while len(self._memos) > self._most:
            self._memos.popitem(last=False)

    def of_task(self, task_id: str) -> ShapeMemo | None:
        """Return the memo of a task whose record is gone, if it is kept."""
        return self._memos.get(task_id.rpartition("/")[0])
