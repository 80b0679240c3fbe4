"""Appending entries to the leader's own log."""

from foxspring_control._replication import LogEntry
from foxspring_control.raft._events import Accepted, Answer, AppendLog, Propose
from foxspring_control.raft._messages import Membership
from foxspring_control.raft._state import (
    MEMBERS_KIND,
    NOOP_KIND,
    Progress,
    RaftState,
    Role,
    encode_membership,
)


def append_entry(state: RaftState, kind: str, body: bytes, at_ms: int) -> int:
    """Append one entry in the current term and return its index."""
    entry = LogEntry(state.log.last_index + 1, state.term, kind, body, at_ms)
    state.record_entry(entry)
    state.emit(AppendLog((entry,)))
    return entry.log_index


def append_first_entry(state: RaftState) -> None:
    """Append the entry that a new leader commits before it takes requests."""
    kind, body = NOOP_KIND, b""
    if not state.has_log():
        kind, body = MEMBERS_KIND, encode_membership(state.membership)
    state.first_term_index = append_entry(state, kind, body, 0)


def append_membership(
    state: RaftState, membership: Membership, at_ms: int, now_ms: int
) -> int:
    """Append a membership, which takes effect at once, and return its index."""
    log_index = append_entry(state, MEMBERS_KIND, encode_membership(membership), at_ms)
    known = {member.member_id for member in membership.members}
    for member_id in [m for m in state.progress if m not in known]:
        del state.progress[member_id]
    for member_id in known - {state.member_id}:
        if member_id not in state.progress:
            state.progress[member_id] = Progress(log_index)
    return log_index


def on_propose(state: RaftState, event: Propose) -> None:
    """Append a proposal, or answer ``not_leader`` without appending it."""
    if state.role is not Role.LEADER or state.transfer_token is not None:
        state.emit(Answer(event.token, "not_leader", _other_leader(state)))
        return
    uncommitted = state.log.last_index - state.commit_index
    if uncommitted >= state.settings.max_pending:
        reason = "too many uncommitted entries; try again later"
        state.emit(Answer(event.token, "not_leader", state.member_id, reason))
        return
    log_index = append_entry(state, event.kind, event.body, event.at_ms)
    state.emit(Accepted(event.token, log_index))


def _other_leader(state: RaftState) -> str:
    return "" if state.leader_id == state.member_id else state.leader_id
