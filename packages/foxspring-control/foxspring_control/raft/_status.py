"""Status of one member, for operators and metrics."""

from typing import NamedTuple

from foxspring_control.raft._election import votes_needed
from foxspring_control.raft._messages import Membership
from foxspring_control.raft._settings import Member
from foxspring_control.raft._state import RaftState, Role
from foxspring_control.raft._vote_notes import VoteNote

# A candidate asks once in two election timeouts at least.
HEARD_ELECTION_TIMEOUTS = 4


class MemberStatus(NamedTuple):
    """Status of one member of the group.

    Only a leader knows the ``match_index`` and reachability of other members;
    elsewhere they are -1 and false.
    """

    member: Member
    joining: bool
    match_index: int
    reachable: bool


class RaftStatus(NamedTuple):
    """Status of this member.

    ``refusal_reason`` says why the member takes no part in the group, or is empty.
    ``votes`` are the latest answers to this member's requests for votes, also from
    members that are no voters, and ``denials`` the votes it has denied lately.
    ``votes_needed`` voters elect a leader; ``voters_heard`` have acknowledged this
    leader, or answered or asked for a vote lately, itself included.
    """

    member_id: str
    role: str
    term: int
    leader_id: str
    leader_address: str
    commit_index: int
    applied_index: int
    last_index: int
    snapshot_index: int
    first_index: int
    members: tuple[MemberStatus, ...]
    lease_valid: bool
    elections: int
    sync_count: int
    disk_bytes: int
    refusal_reason: str
    votes: tuple[VoteNote, ...] = ()
    denials: tuple[VoteNote, ...] = ()
    votes_needed: int = 0
    voters_heard: int = 0


class LeadershipChange(NamedTuple):
    """The leader of ``term``; ``leader_id`` is empty if unknown.

    ``is_leader`` is whether this member leads; true is reported only once the
    first entry of the term is committed and applied here.
    """

    is_leader: bool
    term: int
    leader_id: str
    leader_address: str


class Counters(NamedTuple):
    """Values of the runtime and storage that ``RaftState`` doesn't hold."""

    applied_index: int
    sync_count: int
    disk_bytes: int


def build_status(state: RaftState, counters: Counters, now_ms: int) -> RaftStatus:
    """Build the status of a member; may run while the log's thread changes the state.

    Whatever that thread changes is read once, as a whole.
    """
    statuses = _member_statuses(state, state.membership, now_ms)
    votes = _recent(state, state.vote_notes.received, now_ms)
    given = _recent(state, state.vote_notes.given, now_ms)
    stored = state.snapshot
    snapshot = stored.snapshot_index if stored else 0
    leader = state.leader_id
    return RaftStatus(
        state.member_id,
        state.role.value,
        state.term,
        leader,
        state.address_of(leader),
        state.commit_index,
        counters.applied_index,
        state.log.last_index,
        snapshot,
        state.log.base_index + 1,
        statuses,
        state.lease_valid(now_ms),
        state.elections,
        counters.sync_count,
        counters.disk_bytes,
        state.refusal_reason,
        votes,
        tuple(note for note in given if note.denial),
        votes_needed(state),
        _voters_heard(state.member_id, statuses, (*votes, *given)),
    )


def _recent(
    state: RaftState, notes: tuple[VoteNote, ...], now_ms: int
) -> tuple[VoteNote, ...]:
    limit_ms = HEARD_ELECTION_TIMEOUTS * state.settings.election_timeout_ms
    return tuple(note for note in notes if now_ms - note.at_ms < limit_ms)


def _voters_heard(
    own_id: str, statuses: tuple[MemberStatus, ...], notes: tuple[VoteNote, ...]
) -> int:
    heard = {own_id, *(note.member_id for note in notes)}
    heard |= {s.member.member_id for s in statuses if s.reachable}
    return sum(s.member.voter and s.member.member_id in heard for s in statuses)


def _member_statuses(
    state: RaftState, membership: Membership, now_ms: int
) -> tuple[MemberStatus, ...]:
    return tuple(
        _member_status(state, member, member.member_id in membership.joining, now_ms)
        for member in membership.members
    )


def _member_status(
    state: RaftState, member: Member, joining: bool, now_ms: int
) -> MemberStatus:
    if member.member_id == state.member_id:
        return MemberStatus(member, joining, state.log.last_index, True)
    progress = state.progress.get(member.member_id)
    if state.role is not Role.LEADER or progress is None:
        return MemberStatus(member, joining, -1, False)
    since_ack_ms = now_ms - progress.acked_sent_ms
    reachable = since_ack_ms < state.settings.election_timeout_ms
    return MemberStatus(member, joining, progress.match_index, reachable)
