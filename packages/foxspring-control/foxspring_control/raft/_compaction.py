"""Snapshots of the state machine, written aside from the log's thread."""

import logging
from collections.abc import Callable
from concurrent.futures import Future
from pathlib import Path
from typing import NamedTuple

from foxspring_control._replication import StateMachine
from foxspring_control.raft._disk_space import is_full
from foxspring_control.raft._events import SnapshotStored
from foxspring_control.raft._messages import Membership

_LOG = logging.getLogger(__name__)

RETRY_SNAPSHOT_MS = 5_000

RunAside = Callable[[Callable[[], int]], "Future[int]"]


def run_at_once(work: Callable[[], int]) -> "Future[int]":
    """Run ``work`` on the calling thread; for tests and small states."""
    future: Future[int] = Future()
    future.set_result(work())
    return future


class _Job(NamedTuple):
    """A snapshot that is being written."""

    path: Path
    snapshot_index: int
    snapshot_term: int
    membership: Membership
    state_index: "Future[int]"


class SnapshotWriter:
    """Writes one snapshot at a time.

    While :meth:`is_writing` nothing may be applied to the state machine.
    """

    def __init__(self, machine: StateMachine, run_aside: RunAside) -> None:
        self.machine = machine
        self.run_aside = run_aside
        self.not_before_ms = 0
        self._job: _Job | None = None

    def is_writing(self) -> bool:
        """Tell whether a snapshot was begun and not yet taken."""
        return self._job is not None

    def begin(
        self, path: Path, snapshot_index: int, term: int, membership: Membership
    ) -> None:
        """Begin to write the state as applied up to ``snapshot_index``."""
        future = self.run_aside(lambda: self.machine.write_snapshot(path))
        self._job = _Job(path, snapshot_index, term, membership, future)

    def may_begin(self, now_ms: int) -> bool:
        """Tell whether none is being written and none failed a moment ago."""
        return self._job is None and now_ms >= self.not_before_ms

    def take(self, now_ms: int, wait: bool = False) -> SnapshotStored | None:
        """Return the snapshot once it is written, else none.

        One that found the disk full is dropped; the next may begin after a pause.
        Raises what else writing it raised.
        """
        job = self._job
        if job is None or not (wait or job.state_index.done()):
            return None
        self._job = None
        try:
            state_index = job.state_index.result()
        except OSError as error:
            if not is_full(error):
                raise
            _LOG.error("event=snapshot_dropped reason=%r", str(error))
            job.path.unlink(missing_ok=True)
            self.not_before_ms = now_ms + RETRY_SNAPSHOT_MS
            return None
        return SnapshotStored(
            job.snapshot_index,
            job.snapshot_term,
            state_index,
            job.membership,
            job.path.stat().st_size,
        )
