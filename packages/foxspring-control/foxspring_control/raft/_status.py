"""What a member tells of itself."""

from typing import NamedTuple

from foxspring_control.raft._messages import Membership
from foxspring_control.raft._settings import Member
from foxspring_control.raft._state import RaftState, Role


class MemberStatus(NamedTuple):
    """One member as its leader sees it; ``match_index`` is -1 elsewhere."""

    member: Member
    joining: bool
    match_index: int
    reachable: bool


class RaftStatus(NamedTuple):
    """A member's state at one moment; ``refused`` says why it takes no part."""

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
    refused: str


class LeadershipChange(NamedTuple):
    """Who leads in ``term``; ``leader_id`` may be empty.

    ``is_leader`` is this member's own leadership. It is only told once the
    first entry of the term is committed and applied here.
    """

    is_leader: bool
    term: int
    leader_id: str
    leader_address: str


class Counters(NamedTuple):
    """Figures of the runtime that the decision state doesn't hold."""

    applied_index: int
    sync_count: int
    disk_bytes: int


def describe(state: RaftState, counters: Counters, now_ms: int) -> RaftStatus:
    """Return the status of a member."""
    snapshot = state.snapshot.snapshot_index if state.snapshot else 0
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
        _describe_members(state, state.membership, now_ms),
        state.lease_valid(now_ms),
        state.elections,
        counters.sync_count,
        counters.disk_bytes,
        state.refused,
    )


def _describe_members(
    state: RaftState, membership: Membership, now_ms: int
) -> tuple[MemberStatus, ...]:
    return tuple(
        _describe_member(state, member, member.member_id in membership.joining, now_ms)
        for member in membership.members
    )


def _describe_member(
    state: RaftState, member: Member, joining: bool, now_ms: int
) -> MemberStatus:
    if member.member_id == state.member_id:
        return MemberStatus(member, joining, state.log.last_index, True)
    progress = state.progress.get(member.member_id)
    if state.role is not Role.LEADER or progress is None:
        return MemberStatus(member, joining, -1, False)
    recent_ms = now_ms - progress.acked_sent_ms
    reachable = recent_ms < state.settings.election_timeout_ms
    return MemberStatus(member, joining, progress.match_index, reachable)
