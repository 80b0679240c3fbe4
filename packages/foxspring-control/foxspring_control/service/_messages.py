"""What the service's actor is told, and what it needs from the log."""

from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from foxspring_control._replication import ProposeCallback
from foxspring_control.raft import Member, RaftStatus
from foxspring_control.state import StateChanges

SendMessage = Callable[[str, Any], Any]
Post = Callable[[Callable[[], None]], None]


class LogHandle(Protocol):
    """The part of the replicated log that the service uses."""

    def propose(self, kind: str, body: bytes, on_done: ProposeCallback) -> None:
        """Append an entry and call back once it is applied here, or not."""

    def read_barrier(self, on_done: ProposeCallback) -> None:
        """Call back with ``applied`` if this member surely leads."""

    def add_member(self, member: Member, on_done: ProposeCallback) -> None:
        """Add a member as a learner; it votes once it is caught up."""

    def remove_member(self, member_id: str, on_done: ProposeCallback) -> None:
        """Remove a member for good."""

    def status(self) -> RaftStatus:
        """Return the member's state."""


class Received(NamedTuple):
    """A message of an entry; replies go to ``sender``."""

    sender: str
    message: Any


class StateChanged(NamedTuple):
    """Entries were applied here."""

    changes: StateChanges


class Call(NamedTuple):
    """A callback to run on the actor's thread."""

    function: Callable[[], None]


class Tick(NamedTuple):
    """Time has passed."""
