"""Membership changes, one at a time, and leadership transfer."""

from foxspring_control.raft._election import become_follower
from foxspring_control.raft._events import (
    AddMember,
    Answer,
    Diagnosed,
    RemoveMember,
    Send,
    Transfer,
)
from foxspring_control.raft._messages import Membership, TimeoutNow
from foxspring_control.raft._proposals import append_membership
from foxspring_control.raft._settings import Member
from foxspring_control.raft._state import PendingMemberChange, RaftState, Role

PROMOTE_WITHIN_ENTRIES = 64


def _change_in_flight(state: RaftState) -> bool:
    latest = state.memberships[-1][0] if state.memberships else 0
    return latest > state.commit_index or not state.leadership_announced


def _refusal(state: RaftState) -> tuple[str, str, str] | None:
    if state.role is not Role.LEADER or state.transfer_token is not None:
        return "not_leader", state.leader_id, ""
    if _change_in_flight(state):
        return (
            "rejected",
            state.member_id,
            "another member change is in progress; try again once it is committed",
        )
    return None


def on_add_member(state: RaftState, event: AddMember, now_ms: int) -> None:
    """Add a member as a learner, to be promoted once it has caught up."""
    refusal = _refusal(state)
    if refusal is not None:
        state.emit(Answer(event.token, *refusal))
        return
    member = event.member
    reason = _add_rejection_reason(state.membership, member)
    if reason:
        state.emit(Answer(event.token, "rejected", state.member_id, reason))
        return
    current = state.membership
    joining = current.joining
    if member.voter:
        joining = (*joining, member.member_id)
    learner = member._replace(voter=False)
    changed = Membership((*current.members, learner), joining)
    log_index = append_membership(state, changed, event.at_ms, now_ms)
    state.pending_member_change = PendingMemberChange(log_index, event.token)


def _add_rejection_reason(membership: Membership, member: Member) -> str:
    if membership.find(member.member_id) is not None:
        return (
            f"{member.member_id} is already a member; "
            "a VM whose disk was emptied needs a new member id"
        )
    for known in membership.members:
        if known.link_address == member.link_address:
            return (
                f"{known.member_id} has the address {member.link_address}; "
                "remove it first"
            )
    return ""


def on_remove_member(state: RaftState, event: RemoveMember, now_ms: int) -> None:
    """Remove a member; a leader removing itself leads until the commit."""
    refusal = _refusal(state)
    if refusal is not None:
        state.emit(Answer(event.token, *refusal))
        return
    current = state.membership
    reason = _remove_rejection_reason(current, event.member_id)
    if reason:
        state.emit(Answer(event.token, "rejected", state.member_id, reason))
        return
    members = tuple(m for m in current.members if m.member_id != event.member_id)
    joining = tuple(m for m in current.joining if m != event.member_id)
    changed = Membership(members, joining)
    log_index = append_membership(state, changed, event.at_ms, now_ms)
    state.pending_member_change = PendingMemberChange(log_index, event.token)


def _remove_rejection_reason(membership: Membership, member_id: str) -> str:
    if membership.find(member_id) is None:
        return f"{member_id} is not a member; see the list of control members"
    if membership.voters() == (member_id,):
        return f"{member_id} is the last voter; add another member first"
    return ""


def complete_member_change(state: RaftState, now_ms: int) -> None:
    """Answer a committed change and step down after removing this member."""
    if state.role is not Role.LEADER:
        return
    change = state.pending_member_change
    if change is not None and state.commit_index >= change.log_index:
        state.emit(Answer(change.token, "applied", state.member_id))
        state.pending_member_change = None
    if state.is_voter() or _change_in_flight(state):
        return
    become_follower(state, state.term, "", now_ms)


def promote_learner(state: RaftState, now_ms: int) -> None:
    """Promote a learner to voter once it holds nearly all entries."""
    if not state.membership.joining or _change_in_flight(state):
        return
    for member_id in state.membership.joining:
        if _is_caught_up(state, member_id, now_ms):
            _promote(state, member_id, now_ms)
            return


def _is_caught_up(state: RaftState, member_id: str, now_ms: int) -> bool:
    progress = state.progress.get(member_id)
    if progress is None or progress.match_index == 0:
        return False
    recent = now_ms - progress.acked_sent_ms < state.settings.election_timeout_ms
    behind = state.log.last_index - progress.match_index
    return recent and behind <= PROMOTE_WITHIN_ENTRIES


def _promote(state: RaftState, member_id: str, now_ms: int) -> None:
    current = state.membership
    members = tuple(
        m._replace(voter=True) if m.member_id == member_id else m
        for m in current.members
    )
    joining = tuple(m for m in current.joining if m != member_id)
    append_membership(state, Membership(members, joining), 0, now_ms)
    state.emit(Diagnosed("member_promoted", f"member={member_id}"))


def on_transfer(state: RaftState, event: Transfer, now_ms: int) -> None:
    """Stop accepting proposals and start a leadership transfer."""
    if state.role is not Role.LEADER or state.transfer_token is not None:
        state.emit(Answer(event.token, "not_leader", state.leader_id))
        return
    state.transfer_token = event.token
    state.transfer_target = ""
    state.transfer_due_ms = now_ms + state.settings.election_timeout_ms


def advance_transfer(state: RaftState, now_ms: int) -> None:
    """Transfer leadership once a voter holds the whole log, or time out.

    The leader steps down as it sends :class:`TimeoutNow`: its lease would not
    be reliable while that message may still arrive.
    """
    token = state.transfer_token
    if token is None:
        return
    if state.role is not Role.LEADER:
        _complete_transfer(state, token, now_ms)
        return
    target = _transfer_target(state, now_ms)
    if target and state.commit_index == state.log.last_index:
        state.transfer_target = target
        state.transfer_due_ms = now_ms + 2 * state.settings.election_timeout_ms
        message = TimeoutNow(state.term, state.member_id)
        state.emit(Send(state.address_of(target), message))
        become_follower(state, state.term, "", now_ms)
        state.last_leader_contact_ms = now_ms
    elif now_ms >= state.transfer_due_ms:
        state.transfer_token = None
        reason = "no other voter holds the whole log; try again later"
        state.emit(Answer(token, "rejected", state.member_id, reason))


def _transfer_target(state: RaftState, now_ms: int) -> str:
    """Return the next voter in order, so that repeated transfers reach all of them."""
    timeout = state.settings.election_timeout_ms
    voters = sorted(state.voters())
    after = [member_id for member_id in voters if member_id > state.member_id]
    for member_id in (*after, *voters):
        progress = state.progress.get(member_id)
        if progress is None or now_ms - progress.acked_sent_ms >= timeout:
            continue
        if progress.match_index == state.log.last_index:
            return member_id
    return ""


def _complete_transfer(state: RaftState, token: int, now_ms: int) -> None:
    if state.leader_id:
        state.emit(Answer(token, "applied", state.leader_id))
        state.transfer_token = None
    elif now_ms >= state.transfer_due_ms:
        state.emit(Answer(token, "unknown"))
        state.transfer_token = None
