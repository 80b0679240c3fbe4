"""What a member with a full disk still accepts."""

from foxspring_control._replication import LogEntry
from foxspring_control.raft._events import (
    AddMember,
    Event,
    Propose,
    Received,
    RemoveMember,
)
from foxspring_control.raft._messages import AppendEntries, SnapshotChunk
from foxspring_control.raft._state import LOG_KIND_PREFIX, RaftState

DISK_FULL_REASON = "the disk of the control member is full; free space on it"
NewEntry = Propose | AddMember | RemoveMember


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
    already or that the log itself needs to elect a leader. Requests for new
    entries are not for this function.
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
