"""Messages between the members of the Raft group.

``sent_ms`` is the leader's monotonic clock in milliseconds; followers return it
unchanged.
"""

from typing import NamedTuple

from foxspring_control._replication import LogEntry
from foxspring_control.raft._settings import Member


class Membership(NamedTuple):
    """The members of the group.

    ``joining`` lists the learners that become voters once they have caught up.
    """

    members: tuple[Member, ...] = ()
    joining: tuple[str, ...] = ()

    def voters(self) -> tuple[str, ...]:
        """Return the ids of the members that count towards a quorum."""
        return tuple(m.member_id for m in self.members if m.voter)

    def find(self, member_id: str) -> Member | None:
        """Return the member with an id, or ``None``."""
        for member in self.members:
            if member.member_id == member_id:
                return member
        return None


class AppendEntries(NamedTuple):
    """The leader's entries after ``prev_index``; a heartbeat if there are none.

    ``to_voter`` is whether the leader counts the receiver towards a quorum.
    ``to_member`` is the id of the intended receiver, because another member may
    have its address now.
    """

    term: int
    leader_id: str
    prev_index: int
    prev_term: int
    commit_index: int
    sent_ms: int
    to_voter: bool
    entries: tuple[LogEntry, ...] = ()
    to_member: str = ""


class AppendReply(NamedTuple):
    """The reply to :class:`AppendEntries`.

    ``log_index`` is the last index known to match, or, when ``success`` is
    false, the last index that may match.
    """

    term: int
    member_id: str
    success: bool
    log_index: int
    sent_ms: int


class RequestVote(NamedTuple):
    """A candidate's request for a vote, or for a pre-vote if ``pre_vote``.

    ``transfer`` marks an election that a leadership transfer started.
    """

    term: int
    candidate_id: str
    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool = False


class VoteReply(NamedTuple):
    """The reply to :class:`RequestVote`.

    ``term`` is the requested term if granted, else the replying member's term.
    """

    term: int
    member_id: str
    pre_vote: bool
    granted: bool


class SnapshotChunk(NamedTuple):
    """A chunk of a snapshot: ``data`` at ``offset`` of ``total`` bytes.

    ``state_index`` is the applied index that the state machine stored in the
    snapshot.
    """

    term: int
    leader_id: str
    snapshot_index: int
    snapshot_term: int
    state_index: int
    membership: Membership
    offset: int
    total: int
    sent_ms: int
    to_voter: bool
    data: bytes
    to_member: str = ""


class SnapshotReply(NamedTuple):
    """The reply to :class:`SnapshotChunk`.

    ``next_offset`` is the offset of the next chunk to send; ``done`` means that
    the snapshot is not needed any more.
    """

    term: int
    member_id: str
    snapshot_index: int
    next_offset: int
    done: bool
    sent_ms: int


class TimeoutNow(NamedTuple):
    """The leader has stepped down; the receiver should start an election at once."""

    term: int
    leader_id: str


RAFT_MESSAGES: tuple[type, ...] = (
    AppendEntries,
    AppendReply,
    RequestVote,
    VoteReply,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow,
)
