"""Interface between the replicated log and its state machine."""

from collections.abc import Callable, Sequence
from pathlib import Path
from typing import NamedTuple, Protocol


class LogEntry(NamedTuple):
    """One entry of the replicated log.

    ``kind`` is the command's class name and ``body`` its msgpack encoding;
    ``at_ms`` is the wall-clock time of the leader that appended it. Internal
    entries (the first entry of a new leader, membership changes) have a kind
    that starts with ``log.`` and are not passed to the state machine.
    """

    log_index: int
    term: int
    kind: str
    body: bytes
    at_ms: int


class ProposeOutcome(NamedTuple):
    """Outcome of a proposed entry.

    ``status`` is ``applied`` (``result`` is the state machine's answer),
    ``not_leader`` (not appended; ``leader_id`` may be empty) or ``unknown``
    (leadership was lost before the entry was known to be committed).
    """

    status: str
    leader_id: str = ""
    result: bytes = b""


ProposeCallback = Callable[[ProposeOutcome], None]


class StateMachine(Protocol):
    """Deterministic state to which committed entries are applied in order.

    Except for ``digest`` and reads, only the replicated log's thread calls it.
    """

    def applied_index(self) -> int:
        """Return the index of the last entry applied, 0 if none."""

    def apply(self, entries: Sequence[LogEntry]) -> list[bytes]:
        """Apply entries in order and return the JSON answer of each.

        The entries and the applied index are stored in one transaction.
        """

    def write_snapshot(self, path: Path) -> int:
        """Write a snapshot to ``path`` and return its applied index.

        The log applies no entry meanwhile, and syncs the file itself.
        """

    def install_snapshot(self, path: Path) -> None:
        """Replace the state with the snapshot at ``path``.

        Raises:
            ValueError: the file is not a valid snapshot, or is older than the state.
        """

    def digest(self) -> str:
        """Return a digest of the state, equal on replicas with equal state."""
