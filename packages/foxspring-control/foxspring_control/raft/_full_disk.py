"""What a member with a full disk still accepts, and when it leads."""

import logging
from collections.abc import Callable, Iterable

from foxspring_control._replication import LogEntry
from foxspring_control.raft._disk_space import DiskReserve
from foxspring_control.raft._election import become_follower
from foxspring_control.raft._events import (
    Answer,
    Effect,
    Event,
    Propose,
    Received,
)
from foxspring_control.raft._messages import AppendEntries, SnapshotChunk
from foxspring_control.raft._state import LOG_KIND_PREFIX, RaftState, Role

_LOG = logging.getLogger(__name__)

RESERVE_RETRY_MS = 1_000
STUCK_ELECTION_TIMEOUTS = 4
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


class Intake:
    """Decides which events of a batch a member accepts while there is no room.

    ``answer`` is called for each proposal that is refused.
    """

    def __init__(
        self,
        state: RaftState,
        reserve: DiskReserve,
        answer: Callable[[Answer], None],
    ) -> None:
        self.state = state
        self.reserve = reserve
        self.answer = answer
        self.reserve_due_ms = 0
        self.candidacy = FullDiskCandidacy()
        self.commits = CommitWatch(
            STUCK_ELECTION_TIMEOUTS * state.settings.election_timeout_ms
        )

    def accepted(self, events: Iterable[Event], now_ms: int) -> Iterable[Event]:
        """Return the events, without new entries while there is no room for them.

        Changes of the members are small, and may be what restores a quorum.
        """
        is_stuck = self.commits.is_stuck(self.state, now_ms)
        if self._is_disk_full(now_ms):
            kept = self._refuse_proposals(events, DISK_FULL_REASON)
            stripped = [without_new_entries(self.state, event) for event in kept]
            return [event for event in stripped if event is not None]
        if is_stuck:
            return self._refuse_proposals(events, QUORUM_FULL_REASON)
        return events

    def step_down_if_full(self, now_ms: int) -> list[Effect]:
        """Leave the leadership to members with room; return the effects."""
        return self.candidacy.update(self.state, self.reserve.is_missing(), now_ms)

    def _is_disk_full(self, now_ms: int) -> bool:
        """Return whether the reserve is missing, and try to make it if it is due."""
        if not self.reserve.is_missing():
            return False
        if now_ms >= self.reserve_due_ms:
            self.reserve_due_ms = now_ms + RESERVE_RETRY_MS
            self.reserve.make()
        if not self.reserve.is_missing():
            _LOG.warning("event=disk_reserve_made bytes=%d", self.reserve.size)
            return False
        return True

    def _refuse_proposals(self, events: Iterable[Event], reason: str) -> list[Event]:
        """Answer the proposals and return the other events."""
        others: list[Event] = []
        for event in events:
            if isinstance(event, Propose):
                leader = self.state.leader_id
                self.answer(Answer(event.token, "not_leader", leader, reason))
            else:
                others.append(event)
        return others
