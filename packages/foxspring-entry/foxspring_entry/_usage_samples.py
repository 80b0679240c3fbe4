"""Usage samples of targets for the leader, without lists that it already has."""

from typing import NamedTuple

from foxspring_model import UsageSample

from foxspring_entry._heartbeats import Pace

USAGE_INTERVAL_MS = 1_000
_FULL_LIST_EVERY = 30


class _SentList(NamedTuple):
    incarnation: int
    running: tuple[tuple[str, int], ...]
    version: int
    omitted: int


class UsageSamples:
    """Collects usage samples and omits task lists that have not changed.

    The full list is sent when it changes, periodically, and to a new leader.
    ``first_version`` must grow with each incarnation of the entry.
    """

    def __init__(self, first_version: int) -> None:
        self.pace = Pace(USAGE_INTERVAL_MS)
        self.pending: list[UsageSample] = []
        self._version = first_version
        self._sent: dict[str, _SentList] = {}
        self._leader = ""

    def add(self, sample: UsageSample) -> None:
        """Queue a sample until the next batch is due."""
        self.pending.append(sample)

    def pop_due(self, leader: str, now_ms: int) -> tuple[UsageSample, ...]:
        """Remove and return the samples due for ``leader``; empty if there are none."""
        if not self.pending or not self.pace.is_due(now_ms):
            return ()
        if leader != self._leader:
            self._leader = leader
            self._sent.clear()
        samples, self.pending = self.pending, []
        return tuple(self._omit_known_list(sample) for sample in samples)

    def retain(self, target_ids: set[str]) -> None:
        """Remove the records of what was sent for all other targets."""
        for target_id in self._sent.keys() - target_ids:
            del self._sent[target_id]

    def _omit_known_list(self, sample: UsageSample) -> UsageSample:
        sent = self._sent.get(sample.target_id)
        if sent is not None and _is_known(sent, sample):
            self._sent[sample.target_id] = sent._replace(omitted=sent.omitted + 1)
            return sample._replace(
                running=(),
                task_usage=(),
                running_version=sent.version,
                has_running=False,
            )
        self._version += 1
        self._sent[sample.target_id] = _SentList(
            sample.incarnation, sample.running, self._version, 0
        )
        return sample._replace(running_version=self._version)


def _is_known(sent: _SentList, sample: UsageSample) -> bool:
    same = sent.incarnation == sample.incarnation and sent.running == sample.running
    return same and sent.omitted < _FULL_LIST_EVERY
