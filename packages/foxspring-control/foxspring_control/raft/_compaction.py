"""Writes snapshots of the state machine in the background."""

import logging
from collections.abc import Callable
from concurrent.futures import Future
from pathlib import Path
from typing import NamedTuple

from foxspring_control._replication import StateMachine
from foxspring_control.raft._disk_space import is_disk_full
from foxspring_control.raft._events import SnapshotStored
from foxspring_control.raft._messages import Membership

_LOG = logging.getLogger(__name__)

SNAPSHOT_RETRY_MS = 5_000

RunInBackground = Callable[[Callable[[], int]], "Future[int]"]


def run_inline(work: Callable[[], int]) -> "Future[int]":
    """Run ``work`` on the calling thread, for tests and small states."""
    future: Future[int] = Future()
    future.set_result(work())
    return future


class _SnapshotJob(NamedTuple):
    """A snapshot that is being written."""

    path: Path
    snapshot_index: int
    snapshot_term: int
    membership: Membership
    state_index: "Future[int]"


class SnapshotWriter:
    """Writes one snapshot at a time.

    No entry may be applied to the state machine while :meth:`is_writing`
    returns true.
    """

    def __init__(
        self, state_machine: StateMachine, run_in_background: RunInBackground
    ) -> None:
        self.state_machine = state_machine
        self.run_in_background = run_in_background
        self.not_before_ms = 0
        self._job: _SnapshotJob | None = None

    def is_writing(self) -> bool:
        """Return whether a snapshot was started and not yet collected."""
        return self._job is not None

    def begin(
        self, path: Path, snapshot_index: int, term: int, membership: Membership
    ) -> None:
        """Start writing the state as applied up to ``snapshot_index``."""
        future = self.run_in_background(lambda: self.state_machine.write_snapshot(path))
        self._job = _SnapshotJob(path, snapshot_index, term, membership, future)

    def may_begin(self, now_ms: int) -> bool:
        """Return whether none is being written and no retry delay is running."""
        return self._job is None and now_ms >= self.not_before_ms

    def collect(self, now_ms: int, wait: bool = False) -> SnapshotStored | None:
        """Return the finished snapshot, or ``None`` if there is none yet.

        ``wait`` blocks until a started snapshot is finished. If the disk was
        full the partial file is deleted, and the next snapshot may start after
        ``SNAPSHOT_RETRY_MS``. Any other error of the write is raised.
        """
        job = self._job
        if job is None or not (wait or job.state_index.done()):
            return None
        self._job = None
        try:
            state_index = job.state_index.result()
        except OSError as error:
            if not is_disk_full(error):
                raise
            _LOG.error("event=snapshot_dropped reason=%r", str(error))
            job.path.unlink(missing_ok=True)
            self.not_before_ms = now_ms + SNAPSHOT_RETRY_MS
            return None
        return SnapshotStored(
            job.snapshot_index,
            job.snapshot_term,
            state_index,
            job.membership,
            job.path.stat().st_size,
        )
