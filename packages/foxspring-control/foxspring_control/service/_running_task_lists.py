"""Restores lists of running tasks that entries omit from unchanged samples."""

from typing import NamedTuple

from foxspring_model import UsageBatch, UsageSample


class _KnownList(NamedTuple):
    entry_id: str
    version: int
    running: tuple[tuple[str, int], ...]


class RunningTaskLists:
    """The last full list of each target, with its version and its sender.

    A sample that omits its list is dropped if that list is not known, because
    otherwise the scheduler would take a busy target for an empty one.
    """

    def __init__(self) -> None:
        self._known: dict[str, _KnownList] = {}

    def with_running_lists(self, batch: UsageBatch) -> UsageBatch:
        """Return the batch with lists restored, without samples that lack theirs."""
        samples = (
            self._with_running(batch.entry_id, sample) for sample in batch.samples
        )
        return batch._replace(samples=tuple(s for s in samples if s is not None))

    def discard(self, target_id: str) -> None:
        """Discard the list of a removed target."""
        self._known.pop(target_id, None)

    def _with_running(self, entry_id: str, sample: UsageSample) -> UsageSample | None:
        if sample.has_running:
            known = _KnownList(entry_id, sample.running_version, sample.running)
            self._known[sample.target_id] = known
            return sample
        held = self._known.get(sample.target_id)
        if held is None:
            return None
        if held[:2] != (entry_id, sample.running_version):
            return None
        return sample._replace(running=held.running, has_running=True)
