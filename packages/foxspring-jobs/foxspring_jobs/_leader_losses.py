"""The leaders that a member has lost lately, and how many at a snapshot."""

from collections import deque
from typing import NamedTuple

LOSS_WINDOW_MS = 60_000
SNAPSHOT_WINDOW_MS = 2_000
MAX_LOSSES = 64


class _Loss(NamedTuple):
    at_ms: int
    at_snapshot: bool


class LossCounts(NamedTuple):
    """Leaders lost within ``LOSS_WINDOW_MS``.

    ``at_snapshot`` counts those lost within ``SNAPSHOT_WINDOW_MS`` after this member
    has stored a snapshot.
    """

    lost: int
    at_snapshot: int


class LeaderLosses:
    """Counts the losses; each method is called on one thread at a time."""

    def __init__(self) -> None:
        self.leader_id = ""
        self._snapshot_index: int | None = None
        self._stored_ms: int | None = None
        self._losses: deque[_Loss] = deque(maxlen=MAX_LOSSES)

    def note_snapshot(self, snapshot_index: int, now_ms: int) -> None:
        """Record the index of the newest stored snapshot."""
        if self._snapshot_index is not None and snapshot_index > self._snapshot_index:
            self._stored_ms = now_ms
        self._snapshot_index = snapshot_index

    def note_leader(self, leader_id: str, now_ms: int) -> bool | None:
        """Record the leader, empty if unknown.

        Returns whether a leader was lost at a snapshot, or ``None`` if none was lost.
        """
        lost = self.leader_id not in ("", leader_id)
        self.leader_id = leader_id
        if not lost:
            return None
        stored_ms = self._stored_ms
        at_snapshot = stored_ms is not None and now_ms - stored_ms < SNAPSHOT_WINDOW_MS
        self._losses.append(_Loss(now_ms, at_snapshot))
        return at_snapshot

    def counts(self, now_ms: int) -> LossCounts:
        """Return the losses of the last ``LOSS_WINDOW_MS``."""
        recent = [x for x in tuple(self._losses) if now_ms - x.at_ms < LOSS_WINDOW_MS]
        return LossCounts(len(recent), sum(loss.at_snapshot for loss in recent))
