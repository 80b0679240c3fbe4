"""What the replicated log and the state machine owe each other."""

from collections.abc import Callable, Sequence
from pathlib import Path
from typing import NamedTuple, Protocol


class LogEntry(NamedTuple):
    """One entry of the replicated log.

    ``kind`` and ``body`` are a command's class name and msgpack; ``at_ms`` is
    the wall clock of the leader that appended it. Entries of the log's own
    (a new leader's first entry, member changes) have a kind that starts with
    ``log.`` and are not given to the state machine.
    """

    log_index: int
    term: int
    kind: str
    body: bytes
    at_ms: int


class ProposeOutcome(NamedTuple):
    """What became of a proposed entry.

    ``status`` is ``applied`` (``result`` is the state machine's answer),
    ``not_leader`` (never appended; ``leader_id`` may be empty) or ``unknown``
    (leadership was lost before the entry was known to be committed).
    """

    status: str
    leader_id: str = ""
    result: bytes = b""


ProposeCallback = Callable[[ProposeOutcome], None]


class StateMachine(Protocol):
    """Deterministic state that committed entries are applied to, in order.

    Only the replicated log's thread calls it, except for ``digest`` and reads.
    """

    def applied_index(self) -> int:
        """Return the index of the last entry applied, 0 if none."""

    def apply(self, entries: Sequence[LogEntry]) -> list[bytes]:
        """Apply entries in order and return each one's JSON answer.

        The entries and the applied index are stored in one transaction.
        """

    def write_snapshot(self, path: Path) -> int:
        """Write the whole synced state to ``path``; return its index."""

    def install_snapshot(self, path: Path) -> None:
        """Replace the whole state by the snapshot at ``path``.

        Raises:
            ValueError: the file is no snapshot, or is older than the state.
        """

    def digest(self) -> str:
        """Return a digest of the whole state, equal on every replica."""
