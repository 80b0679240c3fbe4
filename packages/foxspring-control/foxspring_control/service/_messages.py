"""Messages of the service's actor and the interface of the log that it uses."""

from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from foxspring_control._replication import ProposeCallback
from foxspring_control.raft import Member, RaftStatus
from foxspring_control.state import StateChanges

SendMessage = Callable[[str, Any], Any]
Post = Callable[[Callable[[], None]], None]


class LogHandle(Protocol):
    """The part of the replicated log that the service uses."""

    @property
    def member_id(self) -> str:
        """Return the id of this member, also before the log is started."""

    def is_started(self) -> bool:
        """Return whether the log is started, so that it has a status."""

    def propose(self, kind: str, body: bytes, on_done: ProposeCallback) -> None:
        """Append an entry; call back when it is applied locally or has failed."""

    def read_barrier(self, on_done: ProposeCallback) -> None:
        """Call back with ``applied`` if this member is confirmed to be the leader."""

    def add_member(self, member: Member, on_done: ProposeCallback) -> None:
        """Add a member as a learner; it becomes a voter once it has caught up."""

    def remove_member(self, member_id: str, on_done: ProposeCallback) -> None:
        """Remove a member permanently."""

    def status(self) -> RaftStatus:
        """Return the member's Raft status; only call it once the log is started."""


class Received(NamedTuple):
    """A message from an entry; replies go to ``sender``."""

    sender: str
    message: Any


class StateChanged(NamedTuple):
    """A batch of log entries was applied to the local state."""

    changes: StateChanges


class Call(NamedTuple):
    """A callback to run on the actor's thread."""

    function: Callable[[], None]


class Tick(NamedTuple):
    """Periodic work may be due."""
