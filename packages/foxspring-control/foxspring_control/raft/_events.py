"""Events that ``step`` processes and effects that it returns.

The runtime carries out effects in this order: write and sync the log, the term
and the vote; send; apply; answer. Only :class:`SendEntries` may be sent before
the sync, because a leader counts its own entries only once they are synced.
"""

from typing import Any, NamedTuple

from foxspring_control._replication import LogEntry
from foxspring_control.raft._messages import AppendEntries, Membership, SnapshotChunk
from foxspring_control.raft._settings import Member


class Tick(NamedTuple):
    """The time may have reached a heartbeat or election deadline."""


class Received(NamedTuple):
    """A message from another member; ``sender`` is the link address for replies."""

    sender: str
    message: Any


class Propose(NamedTuple):
    """Append one entry; ``token`` identifies the waiting caller."""

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
    """Remove a member permanently."""

    token: int
    member_id: str
    at_ms: int


class Transfer(NamedTuple):
    """Transfer leadership to a voter that holds the whole log."""

    token: int


class RenewIdentity(NamedTuple):
    """Take part under a new id, after the data of the former id was lost."""

    member_id: str


class Synced(NamedTuple):
    """The leader of ``term`` has synced its log up to ``log_index``."""

    term: int
    log_index: int


class SnapshotStored(NamedTuple):
    """A snapshot of the state up to ``snapshot_index`` is stored.

    ``state_index`` is the applied index that the state machine stored in it,
    ``total`` its size in bytes.
    """

    snapshot_index: int
    snapshot_term: int
    state_index: int
    membership: Membership
    total: int


class Flush(NamedTuple):
    """The end of a batch of events: send followers their missing entries."""


Event = (
    Tick
    | Received
    | Propose
    | ReadBarrier
    | AddMember
    | RemoveMember
    | Transfer
    | RenewIdentity
    | Synced
    | SnapshotStored
    | Flush
)


class AppendLog(NamedTuple):
    """Append entries, replacing any at or after the first one's index."""

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


class StoreIdentity(NamedTuple):
    """Store the new id of this member before anything is sent under it."""

    member_id: str


class SendChunk(NamedTuple):
    """Send ``header`` with the snapshot's data at its offset."""

    address: str
    header: SnapshotChunk


class StoreChunk(NamedTuple):
    """Write a received chunk; offset 0 starts a new file."""

    chunk: SnapshotChunk


class InstallSnapshot(NamedTuple):
    """Sync and install a complete snapshot; empty the log if ``reset``."""

    snapshot: SnapshotStored
    reset: bool


class Commit(NamedTuple):
    """Apply the committed entries up to ``commit_index``."""

    commit_index: int


class Accepted(NamedTuple):
    """The proposal of ``token`` was appended at ``log_index``."""

    token: int
    log_index: int


class ReadReady(NamedTuple):
    """Answer the read of ``token`` once all committed entries are applied."""

    token: int


class Answer(NamedTuple):
    """Answer the caller of ``token``."""

    token: int
    status: str
    leader_id: str = ""
    reason: str = ""


class LeaderChanged(NamedTuple):
    """The known leader changed, or this member became or stopped being leader."""

    is_leader: bool
    term: int
    leader_id: str
    leader_address: str


class Diagnosed(NamedTuple):
    """A diagnostic for operators, logged as ``event`` with ``detail``."""

    event: str
    detail: str


Effect = (
    AppendLog
    | Send
    | SendEntries
    | SendChunk
    | StoreIdentity
    | StoreChunk
    | InstallSnapshot
    | Commit
    | Accepted
    | Answer
    | ReadReady
    | LeaderChanged
    | Diagnosed
)
