"""Snapshots of the state machine, written aside from the log's thread."""

from collections.abc import Callable
from concurrent.futures import Future
from pathlib import Path
from typing import NamedTuple

from foxspring_control._replication import StateMachine
from foxspring_control.raft._events import SnapshotStored
from foxspring_control.raft._messages import Membership

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

    def take(self, wait: bool = False) -> SnapshotStored | None:
        """Return the snapshot once it is written, else none.

        Raises what writing it raised.
        """
        job = self._job
        if job is None or not (wait or job.state_index.done()):
            return None
        self._job = None
        state_index = job.state_index.result()
        return SnapshotStored(
            job.snapshot_index,
            job.snapshot_term,
            state_index,
            job.membership,
            job.path.stat().st_size,
        )
