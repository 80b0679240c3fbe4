"""What the decision core is told, and what it asks to be done.

The caller carries effects out in this order: write and sync the log, the term
and the vote; send; apply; answer. Only :class:`SendEntries` may go out before
the sync, because a leader counts its own entries only once they are synced.
"""

from typing import Any, NamedTuple

from foxspring_control._replication import LogEntry
from foxspring_control.raft._messages import AppendEntries, Membership, SnapshotChunk
from foxspring_control.raft._settings import Member


class Tick(NamedTuple):
    """Time has passed."""


class Received(NamedTuple):
    """A message arrived; replies go to ``sender``, a link address."""

    sender: str
    message: Any


class Propose(NamedTuple):
    """Append one entry; ``token`` names the caller that waits for it."""

    token: int
    kind: str
    body: bytes
    at_ms: int


class ReadBarrier(NamedTuple):
    """Confirm that this member is the leader under a valid lease."""

    token: int


class AddMember(NamedTuple):
    """Add a member, first as a learner."""

    token: int
    member: Member
    at_ms: int


class RemoveMember(NamedTuple):
    """Remove a member for good."""

    token: int
    member_id: str
    at_ms: int


class Transfer(NamedTuple):
    """Hand the leadership to the member that is caught up best."""

    token: int


class Synced(NamedTuple):
    """Everything up to ``log_index`` of ``term``'s leader is on disk here."""

    term: int
    log_index: int


class SnapshotStored(NamedTuple):
    """A snapshot of the state up to ``snapshot_index`` is on disk."""

    snapshot_index: int
    snapshot_term: int
    state_index: int
    membership: Membership
    total: int


class Flush(NamedTuple):
    """The end of a batch of events: send what followers lack."""


Event = (
    Tick
    | Received
    | Propose
    | ReadBarrier
    | AddMember
    | RemoveMember
    | Transfer
    | Synced
    | SnapshotStored
    | Flush
)


class AppendLog(NamedTuple):
    """Append entries; they replace all from the first one's index on."""

    entries: tuple[LogEntry, ...]


class Send(NamedTuple):
    """Send a message after the sync."""

    address: str
    message: Any


class SendEntries(NamedTuple):
    """Send ``header`` with the entries ``first_index`` to ``last_index``."""

    address: str
    header: AppendEntries
    first_index: int
    last_index: int


class SendChunk(NamedTuple):
    """Send ``header`` with the snapshot's data at its offset."""

    address: str
    header: SnapshotChunk


class StoreChunk(NamedTuple):
    """Write a received chunk; an offset of 0 begins the file anew."""

    chunk: SnapshotChunk


class InstallSnapshot(NamedTuple):
    """The last chunk is stored: sync, install, and empty the log if ``reset``."""

    snapshot: SnapshotStored
    reset: bool


class Commit(NamedTuple):
    """Entries up to ``commit_index`` are committed: apply them."""

    commit_index: int


class Accepted(NamedTuple):
    """The proposal of ``token`` is the entry at ``log_index``."""

    token: int
    log_index: int


class ReadReady(NamedTuple):
    """Answer the read of ``token`` once all that is committed is applied."""

    token: int


class Answer(NamedTuple):
    """Answer the caller of ``token`` now."""

    token: int
    status: str
    leader_id: str = ""
    reason: str = ""


class LeaderChanged(NamedTuple):
    """Another leader is known, or this member began or ceased to lead."""

    is_leader: bool
    term: int
    leader_id: str
    leader_address: str


class Diagnosed(NamedTuple):
    """Something an operator should read."""

    event: str
    detail: str


Effect = (
    AppendLog
    | Send
    | SendEntries
    | SendChunk
    | StoreChunk
    | InstallSnapshot
    | Commit
    | Accepted
    | Answer
    | ReadReady
    | LeaderChanged
    | Diagnosed
)
