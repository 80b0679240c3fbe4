"""The state transition function of one member: event in, effects out."""

from foxspring_control.raft._appending import (
    accept_leader,
    commit_if_quorum,
    flush,
    is_for_other_member,
    on_append_entries,
    on_append_reply,
    pause_if_unresponsive,
    refuses_after_data_loss,
    renew_identity,
)
from foxspring_control.raft._election import (
    become_follower,
    campaign_if_due,
    on_request_vote,
    on_timeout_now,
    on_vote_reply,
)
from foxspring_control.raft._events import (
    AddMember,
    Answer,
    Effect,
    Event,
    Flush,
    Propose,
    ReadBarrier,
    ReadReady,
    Received,
    RemoveMember,
    RenewIdentity,
    SnapshotStored,
    Synced,
    Tick,
    Transfer,
)
from foxspring_control.raft._membership import (
    advance_transfer,
    complete_member_change,
    on_add_member,
    on_remove_member,
    on_transfer,
    promote_learner,
)
from foxspring_control.raft._messages import (
    AppendEntries,
    AppendReply,
    RequestVote,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow,
    VoteReply,
)
from foxspring_control.raft._proposals import on_propose
from foxspring_control.raft._snapshots import (
    on_snapshot_reply,
    on_snapshot_stored,
    receive_chunk,
)
from foxspring_control.raft._state import RaftState, Role


def step(state: RaftState, event: Event, now_ms: int) -> tuple[RaftState, list[Effect]]:
    """Process ``event`` and return the state and the effects to carry out.

    ``state`` is modified in place and returned. There are no other side
    effects, so equal states, events and times give equal effects. ``now_ms``
    must be read after the event arrived, because the time for which this
    member refuses to vote against the leader is counted from it.
    """
    state.effects = []
    match event:
        case Tick():
            _on_tick(state, now_ms)
        case Received():
            _on_message(state, event, now_ms)
        case Propose():
            on_propose(state, event)
        case ReadBarrier():
            _on_read_barrier(state, event, now_ms)
        case AddMember():
            on_add_member(state, event, now_ms)
        case RemoveMember():
            on_remove_member(state, event, now_ms)
        case Transfer():
            on_transfer(state, event, now_ms)
        case RenewIdentity():
            renew_identity(state, event.member_id)
        case Synced():
            _on_synced(state, event)
        case SnapshotStored():
            on_snapshot_stored(state, event)
        case Flush():
            flush(state, now_ms)
    complete_member_change(state, now_ms)
    advance_transfer(state, now_ms)
    return state, state.effects


def next_due_ms(state: RaftState) -> int:
    """Return the monotonic time in ms at which the next :class:`Tick` is needed."""
    if state.role is not Role.LEADER:
        if state.transfer_token is not None:
            return min(state.election_due_ms, state.transfer_due_ms)
        return state.election_due_ms
    heartbeat = state.settings.heartbeat_ms
    due_times = [p.last_sent_ms + heartbeat for p in state.progress.values()]
    return min(due_times, default=state.leader_since_ms + heartbeat)


def _on_tick(state: RaftState, now_ms: int) -> None:
    if state.role is not Role.LEADER:
        campaign_if_due(state, now_ms)
        return
    if _lost_quorum(state, now_ms):
        become_follower(state, state.term, "", now_ms)
        return
    for progress in state.progress.values():
        if now_ms >= progress.last_sent_ms + state.settings.heartbeat_ms:
            progress.heartbeat_due = True
            pause_if_unresponsive(state, progress, now_ms)
    promote_learner(state, now_ms)


def _lost_quorum(state: RaftState, now_ms: int) -> bool:
    last_quorum_ms = max(state.quorum_acked_sent_ms(now_ms), state.leader_since_ms)
    return now_ms >= last_quorum_ms + state.patience_ms()


def _on_message(state: RaftState, event: Received, now_ms: int) -> None:
    message = event.message
    match message:
        case AppendEntries():
            on_append_entries(state, event.sender, message, now_ms)
        case AppendReply():
            on_append_reply(state, message, now_ms)
        case RequestVote():
            on_request_vote(state, event.sender, message, now_ms)
        case VoteReply():
            on_vote_reply(state, message, now_ms)
        case SnapshotChunk():
            _on_chunk(state, event.sender, message, now_ms)
        case SnapshotReply():
            _on_snapshot_reply(state, message, now_ms)
        case TimeoutNow():
            on_timeout_now(state, message, now_ms)


def _on_chunk(state: RaftState, sender: str, chunk: SnapshotChunk, now_ms: int) -> None:
    if chunk.term < state.term:
        return
    if is_for_other_member(state, chunk.to_member):
        return
    if refuses_after_data_loss(state, chunk.to_voter):
        return
    accept_leader(state, chunk.term, chunk.leader_id, now_ms)
    receive_chunk(state, sender, chunk)


def _on_snapshot_reply(state: RaftState, reply: SnapshotReply, now_ms: int) -> None:
    if reply.term > state.term:
        become_follower(state, reply.term, "", now_ms)
    elif state.role is Role.LEADER:
        on_snapshot_reply(state, reply)


def _on_synced(state: RaftState, event: Synced) -> None:
    if state.role is not Role.LEADER or event.term != state.term:
        return
    state.synced_index = max(state.synced_index, event.log_index)
    commit_if_quorum(state)


def _on_read_barrier(state: RaftState, event: ReadBarrier, now_ms: int) -> None:
    if state.leadership_announced and state.lease_valid(now_ms):
        state.emit(ReadReady(event.token))
        return
    leader = "" if state.leader_id == state.member_id else state.leader_id
    state.emit(Answer(event.token, "not_leader", leader))
