"""Writes and records snapshots of the state machine in the background."""

import logging
from collections.abc import Callable
from concurrent.futures import Future
from pathlib import Path
from typing import Any, NamedTuple

from foxspring_control._replication import StateMachine
from foxspring_control.raft._disk_space import is_disk_full
from foxspring_control.raft._events import SnapshotStored
from foxspring_control.raft._messages import Membership

_LOG = logging.getLogger(__name__)

SNAPSHOT_RETRY_MS = 5_000

RunInBackground = Callable[[Callable[[], Any]], "Future[Any]"]
RecordSnapshot = Callable[[SnapshotStored], None]


def run_inline(work: Callable[[], Any]) -> "Future[Any]":
    """Run ``work`` on the calling thread, for tests and small states."""
    future: Future[Any] = Future()
    future.set_result(work())
    return future


class _SnapshotJob(NamedTuple):
    """A snapshot whose state is being written."""

    path: Path
    snapshot_index: int
    snapshot_term: int
    membership: Membership
    state_index: "Future[int]"


class _RecordJob(NamedTuple):
    """A written snapshot that is being synced and recorded."""

    path: Path
    snapshot: SnapshotStored
    recorded: "Future[None]"


class SnapshotWriter:
    """Writes one snapshot at a time, then records it; both in the background.

    No entry may be applied to the state machine while :meth:`is_writing`
    returns true. ``record`` makes a written snapshot the latest one; if it raises
    because the disk is full, it must have recorded nothing.
    """

    def __init__(
        self,
        state_machine: StateMachine,
        run_in_background: RunInBackground,
        record: RecordSnapshot = lambda snapshot: None,
    ) -> None:
        self.state_machine = state_machine
        self.run_in_background = run_in_background
        self.record = record
        self.not_before_ms = 0
        self._job: _SnapshotJob | None = None
        self._record_job: _RecordJob | None = None

    def is_writing(self) -> bool:
        """Return whether the state machine is being written."""
        return self._job is not None

    def begin(
        self, path: Path, snapshot_index: int, term: int, membership: Membership
    ) -> None:
        """Start writing the state as applied up to ``snapshot_index``."""
        future = self.run_in_background(lambda: self.state_machine.write_snapshot(path))
        self._job = _SnapshotJob(path, snapshot_index, term, membership, future)

    def may_begin(self, now_ms: int) -> bool:
        """Return whether none is in progress and no retry delay is running."""
        in_progress = self._job is not None or self._record_job is not None
        return not in_progress and now_ms >= self.not_before_ms

    def collect(self, now_ms: int, wait: bool = False) -> SnapshotStored | None:
        """Return the recorded snapshot, or ``None`` if there is none yet.

        ``wait`` blocks until a started snapshot is recorded. If the disk was
        full the partial file is deleted, and the next snapshot may start after
        ``SNAPSHOT_RETRY_MS``. Any other error is raised.
        """
        self._collect_written(now_ms, wait)
        return self._collect_recorded(now_ms, wait)

    def _collect_written(self, now_ms: int, wait: bool) -> None:
        job = self._job
        if job is None or not (wait or job.state_index.done()):
            return
        self._job = None
        try:
            state_index = job.state_index.result()
        except OSError as error:
            self._drop(job.path, error, now_ms)
            return
        snapshot = SnapshotStored(
            job.snapshot_index,
            job.snapshot_term,
            state_index,
            job.membership,
            job.path.stat().st_size,
        )
        future = self.run_in_background(lambda: self.record(snapshot))
        self._record_job = _RecordJob(job.path, snapshot, future)

    def _collect_recorded(self, now_ms: int, wait: bool) -> SnapshotStored | None:
        job = self._record_job
        if job is None or not (wait or job.recorded.done()):
            return None
        self._record_job = None
        try:
            job.recorded.result()
        except OSError as error:
            self._drop(job.path, error, now_ms)
            return None
        return job.snapshot

    def _drop(self, path: Path, error: OSError, now_ms: int) -> None:
        if not is_disk_full(error):
            raise error
        _LOG.error("event=snapshot_dropped reason=%r", str(error))
        path.unlink(missing_ok=True)
        self.not_before_ms = now_ms + SNAPSHOT_RETRY_MS
