"""The state machine to which the replicated log applies commands."""

import hashlib
import logging
import threading
from collections.abc import Callable, Sequence
from pathlib import Path

import msgspec
from foxspring_control import LogEntry

from foxspring_jobs._commands import decode_command
from foxspring_jobs._snapshot import decode_state, encode_state
from foxspring_jobs._state import State

_LOG = logging.getLogger(__name__)


class JobStateMachine:
    """Holds the state in memory; the log and its snapshots make it durable.

    Hold ``lock`` to read ``state`` on any thread other than the log's. ``on_reset`` is
    called after a snapshot has replaced the state.
    """

    def __init__(self, on_reset: Callable[[], None] = lambda: None) -> None:
        self.lock = threading.RLock()
        self.state = State()
        self.on_reset = on_reset
        self._applied_index = 0

    def applied_index(self) -> int:
        """Return the index of the last applied entry, or 0."""
        return self._applied_index

    def apply(self, entries: Sequence[LogEntry]) -> list[bytes]:
        """Apply entries in order and return the JSON result of each."""
        with self.lock:
            return [self._apply(entry) for entry in entries]

    def _apply(self, entry: LogEntry) -> bytes:
        command = decode_command(entry.kind, entry.body)
        applied = self.state.apply(command, entry.at_ms)
        # Only a leader uses these, and only those of its draft state.
        self.state.obsolete_runs.clear()
        self.state.given_up.clear()
        self._applied_index = entry.log_index
        return msgspec.json.encode(applied)

    def write_snapshot(self, path: Path) -> int:
        """Write the whole state to ``path`` and return its index.

        The log syncs the file; it applies no entry until this returns.
        """
        with self.lock:
            data = encode_state(self.state, self._applied_index)
            index = self._applied_index
        path.write_bytes(data)
        return index

    def install_snapshot(self, path: Path) -> None:
        """Replace the whole state by the snapshot at ``path``.

        Raises:
            ValueError: the file is not a snapshot, or is older than the state.
        """
        state, index = decode_state(path.read_bytes())
        with self.lock:
            if index < self._applied_index:
                raise ValueError(f"snapshot {index} is older than the state")
            self.state = state
            self._applied_index = index
        _LOG.info("event=state_installed index=%d jobs=%d", index, len(state.jobs))
        self.on_reset()

    def digest(self) -> str:
        """Return a digest of the whole state, equal on every replica."""
        with self.lock:
            data = encode_state(self.state, 0)
        return hashlib.blake2b(data, digest_size=16).hexdigest()
