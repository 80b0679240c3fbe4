"""Messages between the members of the replicated log.

``sent_ms`` is the leader's monotonic clock; followers only echo it.
"""

from typing import NamedTuple

from foxspring_control._replication import LogEntry
from foxspring_control.raft._settings import Member


class Membership(NamedTuple):
    """The members of the group; ``joining`` learners vote once caught up."""

    members: tuple[Member, ...] = ()
    joining: tuple[str, ...] = ()

    def voters(self) -> tuple[str, ...]:
        """Return the ids of the members that count for a quorum."""
        return tuple(m.member_id for m in self.members if m.voter)

    def find(self, member_id: str) -> Member | None:
        """Return the member of that id, or none."""
        for member in self.members:
            if member.member_id == member_id:
                return member
        return None


class AppendEntries(NamedTuple):
    """The leader's entries after ``prev_index``; without entries a heartbeat.

    ``to_voter`` tells the receiver whether the leader counts it for a quorum,
    ``to_member`` which member it means: another one may have its address now.
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
    """A member's answer to :class:`AppendEntries`.

    ``log_index`` is the last index known to match, or, when ``success`` is
    false, the last index that may match.
    """

    term: int
    member_id: str
    success: bool
    log_index: int
    sent_ms: int


class RequestVote(NamedTuple):
    """A candidate asks for a vote, or with ``pre_vote`` whether it would get one.

    ``transfer`` marks an election that the leader itself asked for.
    """

    term: int
    candidate_id: str
    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool = False


class VoteReply(NamedTuple):
    """The answer to :class:`RequestVote` for the term asked for."""

    term: int
    member_id: str
    pre_vote: bool
    granted: bool


class SnapshotChunk(NamedTuple):
    """``data`` at ``offset`` of a snapshot of ``total`` bytes.

    ``state_index`` is the state machine's own applied index in the snapshot.
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
    """How much of a snapshot the member holds; ``done`` once installed."""

    term: int
    member_id: str
    snapshot_index: int
    next_offset: int
    done: bool
    sent_ms: int


class TimeoutNow(NamedTuple):
    """The leader has stepped down and asks the receiver to campaign at once."""

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
