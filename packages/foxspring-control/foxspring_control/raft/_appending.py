"""Log replication: sending and accepting entries, and advancing the commit."""

from foxspring_control._replication import LogEntry
from foxspring_control.raft._election import announce_if_ready, become_follower
from foxspring_control.raft._events import (
    AppendLog,
    Commit,
    Diagnosed,
    Send,
    SendEntries,
    StoreIdentity,
)
from foxspring_control.raft._messages import AppendEntries, AppendReply, Membership
from foxspring_control.raft._snapshots import needs_snapshot, send_chunk
from foxspring_control.raft._state import Progress, RaftState, Role

UNRESPONSIVE_AFTER_HEARTBEATS = 2
DATA_LOSS_REASON = (
    "the data folder is empty but the group counts this member as a voter; "
    "remove this member from the group and start it under a new member id"
)


def flush(state: RaftState, now_ms: int) -> None:
    """Send each follower its missing entries, or a heartbeat when one is due."""
    if state.role is not Role.LEADER:
        return
    for member_id, progress in list(state.progress.items()):
        if not needs_snapshot(state, progress):
            _send_entries(state, member_id, progress, now_ms)
        elif not send_chunk(state, member_id, progress, now_ms):
            _send_heartbeat(state, member_id, progress, now_ms)


def _send_entries(
    state: RaftState, member_id: str, progress: Progress, now_ms: int
) -> None:
    is_behind = progress.next_index <= state.log.last_index
    may_send = is_behind and progress.may_send_more()
    if not may_send and not progress.heartbeat_due:
        return
    last_to_send = progress.next_index - 1
    if may_send:
        last_to_send = min(
            state.log.last_index, last_to_send + state.settings.max_batch
        )
    header = _header(state, member_id, progress.next_index - 1, now_ms)
    address = state.address_of(member_id)
    state.emit(SendEntries(address, header, progress.next_index, last_to_send))
    progress.heartbeat_due = False
    progress.last_sent_ms = now_ms
    progress.awaiting_reply = True
    if may_send and not progress.probing:
        progress.next_index = last_to_send + 1
        progress.in_flight += 1


def note_partly_sent(state: RaftState, sent: SendEntries, last_sent: int) -> None:
    """Continue after ``last_sent``: a message had no room for the later entries."""
    progress = state.progress.get(sent.header.to_member)
    if progress is not None and progress.next_index == sent.last_index + 1:
        progress.next_index = last_sent + 1


def _send_heartbeat(
    state: RaftState, member_id: str, progress: Progress, now_ms: int
) -> None:
    if not progress.heartbeat_due:
        return
    last_index = state.log.last_index
    header = _header(state, member_id, last_index, now_ms)
    state.emit(
        SendEntries(state.address_of(member_id), header, last_index + 1, last_index)
    )
    progress.heartbeat_due = False
    progress.last_sent_ms = now_ms


def _header(
    state: RaftState, member_id: str, prev_index: int, now_ms: int
) -> AppendEntries:
    return AppendEntries(
        state.term,
        state.member_id,
        prev_index,
        state.log.term_at(prev_index) or 0,
        state.commit_index,
        now_ms,
        member_id in state.voters(),
        to_member=member_id,
    )


def on_append_entries(
    state: RaftState, sender: str, message: AppendEntries, now_ms: int
) -> None:
    """Append the leader's entries if the preceding entry matches."""
    if message.term < state.term:
        _reply(state, sender, message, False, 0)
        return
    if is_for_other_member(state, message.to_member):
        return
    if refuses_after_data_loss(state, message.to_voter):
        return
    accept_leader(state, message.term, message.leader_id, now_ms)
    prev_term = state.log.term_at(message.prev_index)
    if message.prev_index < state.log.base_index:
        _reply(state, sender, message, True, state.commit_index)
    elif prev_term != message.prev_term:
        hint = _conflict_hint(state, message)
        _reply(state, sender, message, False, hint)
    else:
        _append_missing_entries(state, message.entries)
        last_matched = message.prev_index + len(message.entries)
        advance_commit(state, min(message.commit_index, last_matched))
        _reply(state, sender, message, True, last_matched)


def accept_leader(state: RaftState, term: int, leader_id: str, now_ms: int) -> None:
    """Recognise the sender of a current leader message as leader."""
    if term > state.term or state.role is not Role.FOLLOWER:
        become_follower(state, term, leader_id, now_ms)
    state.set_leader(leader_id)
    state.last_leader_contact_ms = now_ms
    state.reset_election_timer(now_ms)


def is_for_other_member(state: RaftState, to_member: str) -> bool:
    """Return whether a message is for an earlier member at this address."""
    return to_member not in ("", state.member_id)


def refuses_after_data_loss(state: RaftState, to_voter: bool) -> bool:
    """Return whether this member lost its data and must not take part again.

    A voter always has a stored term or entries: each initial member votes, and
    so stores a term, before the first leader is elected, and a learner holds
    entries before it becomes a voter. A leader's message that counts a member
    with neither as a voter therefore shows that its disk was emptied.
    """
    lost_data = to_voter and not state.has_log() and state.term == 0
    if lost_data and not state.refusal_reason:
        state.refusal_reason = DATA_LOSS_REASON
        state.emit(Diagnosed("member_refused", DATA_LOSS_REASON))
    return bool(state.refusal_reason)


def renew_identity(state: RaftState, member_id: str) -> None:
    """Take a new id if the data of this member was lost, else do nothing.

    The group may rely on votes and entries of the former id, so that nothing is sent
    under it any more. A member with a new id is in no group and has to be added.
    """
    if not state.refusal_reason:
        return
    former_id = state.member_id
    state.emit(Diagnosed("identity_renewed", f"former_member={former_id}"))
    state.settings = state.settings._replace(member_id=member_id, initial_members=())
    state.member_id = member_id
    state.memberships = [(0, Membership())]
    state.refusal_reason = ""
    state.emit(StoreIdentity(member_id))


def _conflict_hint(state: RaftState, message: AppendEntries) -> int:
    if message.prev_index > state.log.last_index:
        return state.log.last_index
    first = state.log.first_index_of_term(message.prev_index)
    return max(first - 1, state.commit_index)


def _append_missing_entries(state: RaftState, entries: tuple[LogEntry, ...]) -> None:
    for position, entry in enumerate(entries):
        if state.log.term_at(entry.log_index) != entry.term:
            missing = entries[position:]
            for missing_entry in missing:
                state.record_entry(missing_entry)
            state.emit(AppendLog(missing))
            return


def pause_if_unresponsive(state: RaftState, progress: Progress, now_ms: int) -> None:
    """Send only heartbeats to a follower that has stopped replying."""
    unanswered_ms = now_ms - max(progress.acked_sent_ms, state.leader_since_ms)
    if unanswered_ms > UNRESPONSIVE_AFTER_HEARTBEATS * state.settings.heartbeat_ms:
        progress.probe_from(progress.match_index + 1)
        progress.awaiting_reply = True


def _reply(
    state: RaftState,
    sender: str,
    message: AppendEntries,
    success: bool,
    log_index: int,
) -> None:
    reply = AppendReply(
        state.term, state.member_id, success, log_index, message.sent_ms
    )
    state.emit(Send(sender, reply))


def advance_commit(state: RaftState, commit_index: int) -> None:
    """Raise the commit index and emit :class:`Commit` to apply the entries."""
    if commit_index <= state.commit_index:
        return
    state.commit_index = commit_index
    state.emit(Commit(commit_index))


def on_append_reply(state: RaftState, reply: AppendReply, now_ms: int) -> None:
    """Update a follower's replication progress from its reply."""
    if reply.term > state.term:
        become_follower(state, reply.term, "", now_ms)
        return
    progress = state.progress.get(reply.member_id)
    if progress is None or state.role is not Role.LEADER or reply.term != state.term:
        return
    progress.acked_sent_ms = max(progress.acked_sent_ms, reply.sent_ms)
    progress.awaiting_reply = False
    progress.in_flight = max(0, progress.in_flight - 1)
    if not reply.success:
        _on_append_rejected(state, progress, reply)
        return
    progress.probing = False
    if reply.log_index > progress.match_index:
        progress.match_index = reply.log_index
    progress.next_index = max(progress.next_index, progress.match_index + 1)
    commit_if_quorum(state)


def _on_append_rejected(
    state: RaftState, progress: Progress, reply: AppendReply
) -> None:
    if reply.log_index >= progress.next_index:
        return
    if reply.member_id in state.membership.joining:
        # The disk of a learner may have been emptied, so its match index is
        # lowered to the last index that may still match.
        progress.match_index = min(progress.match_index, reply.log_index)
    progress.probe_from(max(reply.log_index, 0) + 1)


def commit_if_quorum(state: RaftState) -> None:
    """Commit the entries that a quorum has synced, if of the current term."""
    matches = {name: p.match_index for name, p in state.progress.items()}
    matches[state.member_id] = state.synced_index
    quorum_index = state.quorum_value(matches, state.commit_quorum())
    if state.log.term_at(quorum_index) != state.term:
        return
    advance_commit(state, quorum_index)
    announce_if_ready(state)
