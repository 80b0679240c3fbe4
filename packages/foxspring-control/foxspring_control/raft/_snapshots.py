"""Snapshot transfer: sending and receiving a snapshot in chunks."""

from foxspring_control.raft._events import (
    Diagnosed,
    InstallSnapshot,
    Send,
    SendChunk,
    SnapshotStored,
    StoreChunk,
)
from foxspring_control.raft._messages import SnapshotChunk, SnapshotReply
from foxspring_control.raft._state import IncomingSnapshot, Progress, RaftState


def needs_snapshot(state: RaftState, progress: Progress) -> bool:
    """Return whether a follower needs entries that were compacted away."""
    if state.snapshot is None:
        return False
    return state.log.term_at(progress.next_index - 1) is None


def send_chunk(
    state: RaftState, member_id: str, progress: Progress, now_ms: int
) -> bool:
    """Send the next snapshot chunk, or resend it after a timeout.

    Returns whether a chunk was sent.
    """
    snapshot = state.snapshot
    if snapshot is None:
        return False
    if progress.chunk_snapshot_index != snapshot.snapshot_index:
        progress.chunk_snapshot_index = snapshot.snapshot_index
        progress.chunk_offset = 0
        progress.chunk_sent_ms = 0
    resend_ms = state.settings.election_timeout_ms
    if progress.chunk_sent_ms and now_ms < progress.chunk_sent_ms + resend_ms:
        return False
    progress.chunk_sent_ms = now_ms
    progress.last_sent_ms = now_ms
    progress.heartbeat_due = False
    header = _header(state, member_id, progress, snapshot, now_ms)
    state.emit(SendChunk(state.address_of(member_id), header))
    return True


def _header(
    state: RaftState,
    member_id: str,
    progress: Progress,
    snapshot: SnapshotStored,
    now_ms: int,
) -> SnapshotChunk:
    return SnapshotChunk(
        state.term,
        state.member_id,
        snapshot.snapshot_index,
        snapshot.snapshot_term,
        snapshot.state_index,
        snapshot.membership,
        progress.chunk_offset,
        snapshot.total,
        now_ms,
        member_id in state.voters(),
        b"",
        member_id,
    )


def on_snapshot_reply(state: RaftState, reply: SnapshotReply) -> None:
    """Update a follower's snapshot progress from its reply."""
    progress = state.progress.get(reply.member_id)
    if progress is None or reply.term != state.term:
        return
    progress.acked_sent_ms = max(progress.acked_sent_ms, reply.sent_ms)
    if reply.snapshot_index != progress.chunk_snapshot_index:
        return
    progress.chunk_sent_ms = 0
    if not reply.done:
        progress.chunk_offset = reply.next_offset
        return
    progress.match_index = max(progress.match_index, reply.snapshot_index)
    progress.next_index = max(progress.next_index, reply.snapshot_index + 1)
    progress.probing = True
    progress.awaiting_reply = False
    progress.chunk_offset = 0


def receive_chunk(state: RaftState, sender: str, chunk: SnapshotChunk) -> None:
    """Store a chunk if it is the next one; install the snapshot after the last."""
    if chunk.snapshot_index <= state.commit_index:
        _reply(state, sender, chunk, chunk.total, True)
        return
    expected = _expected_offset(state, chunk)
    if chunk.offset != expected:
        _reply(state, sender, chunk, expected, False)
        return
    state.emit(StoreChunk(chunk))
    received_bytes = chunk.offset + len(chunk.data)
    state.incoming_snapshot = IncomingSnapshot(
        chunk.snapshot_index, chunk.term, received_bytes
    )
    if received_bytes < chunk.total:
        _reply(state, sender, chunk, received_bytes, False)
        return
    _install(state, chunk)
    _reply(state, sender, chunk, received_bytes, True)


def _expected_offset(state: RaftState, chunk: SnapshotChunk) -> int:
    incoming_snapshot = state.incoming_snapshot
    if incoming_snapshot is None:
        return 0
    # Snapshots of different leaders at the same index may differ in bytes.
    is_same_snapshot = incoming_snapshot[:2] == (chunk.snapshot_index, chunk.term)
    return incoming_snapshot.next_offset if is_same_snapshot else 0


def _install(state: RaftState, chunk: SnapshotChunk) -> None:
    snapshot = SnapshotStored(
        chunk.snapshot_index,
        chunk.snapshot_term,
        chunk.state_index,
        chunk.membership,
        chunk.total,
    )
    reset = state.log.term_at(chunk.snapshot_index) != chunk.snapshot_term
    if reset:
        state.log.reset(chunk.snapshot_index, chunk.snapshot_term)
        state.memberships = [(chunk.snapshot_index, chunk.membership)]
    state.incoming_snapshot = None
    state.snapshot = snapshot
    state.commit_index = chunk.snapshot_index
    state.emit(InstallSnapshot(snapshot, reset))
    detail = f"snapshot_index={chunk.snapshot_index} bytes={chunk.total}"
    state.emit(Diagnosed("snapshot_installed", detail))


def _reply(
    state: RaftState, sender: str, chunk: SnapshotChunk, offset: int, done: bool
) -> None:
    reply = SnapshotReply(
        state.term,
        state.member_id,
        chunk.snapshot_index,
        offset,
        done,
        chunk.sent_ms,
    )
    state.emit(Send(sender, reply))


def on_snapshot_stored(state: RaftState, snapshot: SnapshotStored) -> None:
    """Compact the log up to a snapshot that this member wrote."""
    state.snapshot = snapshot
    retained_from = snapshot.snapshot_index - state.settings.retained_entries
    # The entry at the base of the log is compacted as well.
    keep_from = max(retained_from, state.oldest_retainable - 1)
    keep_from = min(keep_from, snapshot.snapshot_index)
    state.log.compact(max(keep_from, state.log.base_index))
    while len(state.memberships) > 1 and state.memberships[1][0] <= keep_from:
        state.memberships.pop(0)
