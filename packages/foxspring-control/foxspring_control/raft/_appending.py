"""Replication: what a leader sends, what a follower takes, what is committed."""

from foxspring_control._replication import LogEntry
from foxspring_control.raft._election import announce_if_ready, become_follower
from foxspring_control.raft._events import (
    AppendLog,
    Commit,
    Diagnosed,
    Send,
    SendEntries,
)
from foxspring_control.raft._messages import AppendEntries, AppendReply
from foxspring_control.raft._snapshots import needs_snapshot, send_chunk
from foxspring_control.raft._state import Progress, RaftState, Role

SILENT_HEARTBEATS = 2
EMPTIED_DISK = (
    "the data folder is empty but the group counts this member as a voter; "
    "remove this member from the group and start it under a new member id"
)


def flush(state: RaftState, now_ms: int) -> None:
    """Send every follower what it lacks, or a heartbeat when one is due."""
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
    lacks = progress.next_index <= state.log.last_index
    may_send = lacks and progress.may_send_more()
    if not may_send and not progress.heartbeat_due:
        return
    last = progress.next_index - 1
    if may_send:
        last = min(state.log.last_index, last + state.settings.max_batch)
    header = _header(state, member_id, progress.next_index - 1, now_ms)
    address = state.address_of(member_id)
    state.emit(SendEntries(address, header, progress.next_index, last))
    progress.heartbeat_due = False
    progress.heartbeat_ms = now_ms
    progress.waiting = True
    if may_send and not progress.probing:
        progress.next_index = last + 1
        progress.in_flight += 1


def _send_heartbeat(
    state: RaftState, member_id: str, progress: Progress, now_ms: int
) -> None:
    if not progress.heartbeat_due:
        return
    last = state.log.last_index
    header = _header(state, member_id, last, now_ms)
    state.emit(SendEntries(state.address_of(member_id), header, last + 1, last))
    progress.heartbeat_due = False
    progress.heartbeat_ms = now_ms


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
    """Take a leader's entries if they follow on from this member's log."""
    if message.term < state.term:
        _reply(state, sender, message, False, 0)
        return
    if is_for_another(state, message.to_member):
        return
    if refuses_as_emptied(state, message.to_voter):
        return
    accept_leader(state, message.term, message.leader_id, now_ms)
    prev_term = state.log.term_at(message.prev_index)
    if message.prev_index < state.log.base_index:
        _reply(state, sender, message, True, state.commit_index)
    elif prev_term != message.prev_term:
        hint = _conflict_hint(state, message)
        _reply(state, sender, message, False, hint)
    else:
        _take_entries(state, message.entries)
        matched = message.prev_index + len(message.entries)
        advance_commit(state, min(message.commit_index, matched))
        _reply(state, sender, message, True, matched)


def accept_leader(state: RaftState, term: int, leader_id: str, now_ms: int) -> None:
    """Follow the sender of a leader's message."""
    if term > state.term or state.role is not Role.FOLLOWER:
        become_follower(state, term, leader_id, now_ms)
    state.set_leader(leader_id)
    state.heard_leader_ms = now_ms
    state.draw_election_due(now_ms)


def is_for_another(state: RaftState, to_member: str) -> bool:
    """Tell whether a message means the member that had this address before."""
    return to_member not in ("", state.member_id)


def refuses_as_emptied(state: RaftState, to_voter: bool) -> bool:
    """Tell whether this member lost its disk and must not come back as itself.

    Every initial member has voted, and so stored a term, before there is a
    first leader, and a learner holds entries before it becomes a voter.
    """
    emptied = to_voter and not state.is_established() and state.term == 0
    if emptied and not state.refused:
        state.refused = EMPTIED_DISK
        state.emit(Diagnosed("member_refused", EMPTIED_DISK))
    return bool(state.refused)


def _conflict_hint(state: RaftState, message: AppendEntries) -> int:
    if message.prev_index > state.log.last_index:
        return state.log.last_index
    first = state.log.first_index_of_term(message.prev_index)
    return max(first - 1, state.commit_index)


def _take_entries(state: RaftState, entries: tuple[LogEntry, ...]) -> None:
    for position, entry in enumerate(entries):
        if state.log.term_at(entry.log_index) != entry.term:
            fresh = entries[position:]
            for one in fresh:
                state.record_entry(one)
            state.emit(AppendLog(fresh))
            return


def note_silence(state: RaftState, progress: Progress, now_ms: int) -> None:
    """Send a follower that doesn't answer heartbeats alone until it does."""
    silent_ms = now_ms - max(progress.acked_sent_ms, state.lead_since_ms)
    if silent_ms > SILENT_HEARTBEATS * state.settings.heartbeat_ms:
        progress.probe_from(progress.match_index + 1)
        progress.waiting = True


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
    """Raise the commit index and have the entries applied."""
    if commit_index <= state.commit_index:
        return
    state.commit_index = commit_index
    state.emit(Commit(commit_index))


def on_append_reply(state: RaftState, reply: AppendReply, now_ms: int) -> None:
    """Note how far a follower has come."""
    if reply.term > state.term:
        become_follower(state, reply.term, "", now_ms)
        return
    progress = state.progress.get(reply.member_id)
    if progress is None or state.role is not Role.LEADER or reply.term != state.term:
        return
    progress.acked_sent_ms = max(progress.acked_sent_ms, reply.sent_ms)
    progress.waiting = False
    progress.in_flight = max(0, progress.in_flight - 1)
    if not reply.success:
        _step_back(state, progress, reply)
        return
    progress.probing = False
    if reply.log_index > progress.match_index:
        progress.match_index = reply.log_index
        progress.advanced_ms = now_ms
    progress.next_index = max(progress.next_index, progress.match_index + 1)
    commit_if_quorum(state)


def _step_back(state: RaftState, progress: Progress, reply: AppendReply) -> None:
    if reply.log_index >= progress.next_index:
        return
    if reply.member_id in state.membership.joining:
        # A learner whose disk was emptied starts again from what it holds.
        progress.match_index = min(progress.match_index, reply.log_index)
    progress.probe_from(max(reply.log_index, 0) + 1)


def commit_if_quorum(state: RaftState) -> None:
    """Commit what a quorum has synced, if it is of the current term."""
    matches = {name: p.match_index for name, p in state.progress.items()}
    matches[state.member_id] = state.synced_index
    reached = state.quorum_value(matches, state.commit_quorum())
    if state.log.term_at(reached) != state.term:
        return
    advance_commit(state, reached)
    announce_if_ready(state)
