"""What a member with a full disk still accepts, and when it leads."""

from foxspring_control._replication import LogEntry
from foxspring_control.raft._election import become_follower
from foxspring_control.raft._events import (
    Effect,
    Event,
    Propose,
    Received,
)
from foxspring_control.raft._messages import AppendEntries, SnapshotChunk
from foxspring_control.raft._state import LOG_KIND_PREFIX, RaftState, Role

DISK_FULL_REASON = "the disk of the control member is full; free space on it"
QUORUM_FULL_REASON = (
    "a quorum of the control members stores no entries; free space on their disks"
)


def body_bytes(event: Event) -> int:
    """Return the size of the entries that an event brings."""
    match event:
        case Propose():
            return len(event.body)
        case Received(message=AppendEntries(entries=entries)):
            return sum(len(entry.body) for entry in entries)
        case _:
            return 0


def without_new_entries(state: RaftState, event: Event) -> Event | None:
    """Return an event without what the disk has no room for, ``None`` if nothing.

    A leader's message stays a heartbeat, with those first entries that are stored
    already or that the log itself needs for its leaders and members. Proposals are
    not for this function.
    """
    match event:
        case Received(message=AppendEntries() as message):
            kept = _first_acceptable(state, message.entries)
            return event._replace(message=message._replace(entries=kept))
        case Received(message=SnapshotChunk() as chunk):
            is_applied = chunk.snapshot_index <= state.commit_index
            return event if is_applied else None
        case _:
            return event


def _first_acceptable(
    state: RaftState, entries: tuple[LogEntry, ...]
) -> tuple[LogEntry, ...]:
    for position, entry in enumerate(entries):
        is_stored = state.log.term_at(entry.log_index) == entry.term
        if not is_stored and not entry.kind.startswith(LOG_KIND_PREFIX):
            return entries[:position]
    return entries


class FullDiskCandidacy:
    """Leaves the leadership to members with room, as long as there is one.

    A leader whose disk becomes full steps down. While it is full, a member waits
    an election timeout longer before it campaigns, so that one that is elected
    nevertheless knows of no better one, and leads on.
    """

    def __init__(self) -> None:
        self.was_full = False
        self.waited_after_ms = -1

    def update(self, state: RaftState, is_full: bool, now_ms: int) -> list[Effect]:
        """Take note of whether the disk is full; return the effects of stepping down.

        Call it before each batch.
        """
        became_full = is_full and not self.was_full
        self.was_full = is_full
        if not is_full:
            return []
        if state.role is Role.LEADER:
            return _step_down(state, now_ms) if became_full else []
        # Once for each leader that is lost.
        has_waited = self.waited_after_ms == state.last_leader_contact_ms
        if now_ms >= state.election_due_ms and not has_waited:
            self.waited_after_ms = state.last_leader_contact_ms
            state.reset_election_timer(now_ms)
        return []


def _step_down(state: RaftState, now_ms: int) -> list[Effect]:
    if len(state.voters()) == 1:
        return []
    state.effects = []
    become_follower(state, state.term, "", now_ms)
    return state.effects


class CommitWatch:
    """Notices that a leader's entries are not committed, because no quorum has room.

    ``stuck_after_ms`` is longer than a change of the leader or a slow disk takes.
    """

    def __init__(self, stuck_after_ms: int) -> None:
        self.stuck_after_ms = stuck_after_ms
        self.commit_index = 0
        self.since_ms = 0

    def is_stuck(self, state: RaftState, now_ms: int) -> bool:
        """Return whether a leader's oldest entry has waited too long for a quorum."""
        is_waiting = state.log.last_index > state.commit_index
        has_moved = state.commit_index != self.commit_index
        if state.role is not Role.LEADER or not is_waiting or has_moved:
            self.commit_index = state.commit_index
            self.since_ms = now_ms
            return False
        return now_ms >= self.since_ms + self.stuck_after_ms
