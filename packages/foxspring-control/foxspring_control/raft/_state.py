"""Consensus state of one member, without the bodies of log entries."""

import random
from enum import StrEnum
from typing import NamedTuple

import msgspec

from foxspring_control._replication import LogEntry
from foxspring_control.raft._events import (
    Effect,
    LeaderChanged,
    SnapshotStored,
)
from foxspring_control.raft._messages import Membership
from foxspring_control.raft._settings import RaftSettings
from foxspring_control.raft._terms import TermTable
from foxspring_control.raft._vote_notes import VoteNotes

# A sync can be as slow as this before a machine is better replaced.
MAX_SYNC_MS = 2_000
SYNC_SHARE = 0.3
# A vote takes the syncs of the candidate and the voter, and a batch before them.
SYNCS_OF_A_VOTE = 3

MEMBERS_KIND = "log.members"
NOOP_KIND = "log.noop"
LOG_KIND_PREFIX = "log."

_MEMBERSHIP = msgspec.msgpack.Decoder(Membership)


def encode_membership(membership: Membership) -> bytes:
    """Encode a membership as the body of a log entry."""
    return msgspec.msgpack.encode(membership)


def decode_membership(body: bytes) -> Membership:
    """Decode the membership in the body of a log entry."""
    return _MEMBERSHIP.decode(body)


class Role(StrEnum):
    """The Raft role of a member."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class StoredState(NamedTuple):
    """State that a member loads from its data folder at startup."""

    term: int
    voted_for: str
    commit_index: int
    log: TermTable
    memberships: tuple[tuple[int, Membership], ...] = ()
    snapshot: SnapshotStored | None = None


class Progress:
    """Replication progress of one other member, as tracked by the leader.

    While ``probing``, the leader sends one message at a time to find the last
    matching entry. Afterwards it sends up to ``MAX_IN_FLIGHT`` messages ahead
    of the replies; the limit bounds what an unresponsive member makes the
    leader hold.
    """

    MAX_IN_FLIGHT = 8

    def __init__(self, next_index: int) -> None:
        self.next_index = next_index
        self.match_index = 0
        self.probing = True
        self.awaiting_reply = False
        self.in_flight = 0
        self.acked_sent_ms = 0
        self.last_sent_ms = 0
        self.chunk_offset = -1
        self.chunk_snapshot_index = 0
        self.chunk_sent_ms = 0
        self.heartbeat_due = True

    def may_send_more(self) -> bool:
        """Return whether entries may be sent before the next reply arrives."""
        if self.probing:
            return not self.awaiting_reply
        return self.in_flight < self.MAX_IN_FLIGHT

    def probe_from(self, next_index: int) -> None:
        """Search again for the last matching entry, backwards from ``next_index``."""
        self.probing = True
        self.next_index = next_index
        self.in_flight = 0


class IncomingSnapshot(NamedTuple):
    """A snapshot that is being received from the leader of ``leader_term``."""

    snapshot_index: int
    leader_term: int
    next_offset: int


class PendingMemberChange(NamedTuple):
    """A membership change whose caller waits for its commit."""

    log_index: int
    token: int


class RaftState:
    """The whole consensus state of one member, changed only by ``step``."""

    def __init__(
        self, settings: RaftSettings, stored: StoredState, now_ms: int
    ) -> None:
        self.settings = settings
        self.member_id = settings.member_id
        self.term = stored.term
        self.voted_for = stored.voted_for
        self.log = stored.log
        self.commit_index = stored.commit_index
        self.snapshot = stored.snapshot
        self.memberships = list(stored.memberships)
        if not self.memberships and not self.has_log():
            self.memberships.append((0, Membership(settings.initial_members)))
        self.random = random.Random(f"{settings.seed}/{settings.member_id}")
        self.role = Role.FOLLOWER
        self.leader_id = ""
        self.leader_address = ""
        self.elections = 0
        self.refusal_reason = ""
        self.votes: set[str] = set()
        self.vote_notes = VoteNotes()
        self.transfer_election = False
        # Starts at the current time so that a restarted member doesn't vote for
        # one election timeout: it may have acknowledged a lease before the restart.
        self.last_leader_contact_ms = now_ms
        self.election_due_ms = 0
        self.progress: dict[str, Progress] = {}
        self.synced_index = 0
        self.first_term_index = 0
        self.leadership_announced = False
        # Also set when the thread of a leader resumes after a stall.
        self.leader_since_ms = 0
        self.pending_member_change: PendingMemberChange | None = None
        self.transfer_token: int | None = None
        self.transfer_target = ""
        self.transfer_due_ms = 0
        # Entries before it take more space than may be retained.
        self.oldest_retainable = 0
        self.incoming_snapshot: IncomingSnapshot | None = None
        self.sync_ms = 0.0
        self.effects: list[Effect] = []
        self._cached_voters: tuple[Membership, tuple[str, ...]] = (Membership(), ())
        self.reset_election_timer(now_ms)

    @property
    def membership(self) -> Membership:
        """The latest membership in the log, committed or not."""
        return self.memberships[-1][1] if self.memberships else Membership()

    def voters(self) -> tuple[str, ...]:
        """Return the ids of the members that count towards a quorum."""
        membership = self.membership
        cached_membership, voters = self._cached_voters
        if membership is not cached_membership:
            voters = membership.voters()
            # A single assignment, because another thread may read the status.
            self._cached_voters = (membership, voters)
        return voters

    def has_log(self) -> bool:
        """Return whether this member holds any part of the log."""
        return self.log.last_index > 0

    def is_voter(self) -> bool:
        """Return whether this member counts towards a quorum."""
        return self.member_id in self.voters()

    def note_sync(self, duration_ms: int) -> None:
        """Note how long a batch with a sync has taken."""
        sample_ms = min(duration_ms, MAX_SYNC_MS)
        self.sync_ms += (sample_ms - self.sync_ms) * SYNC_SHARE

    def patience_ms(self) -> int:
        """Return the time to wait for others: longer while syncs are slow here.

        No member of a group can be elected, or get an answer as leader, in less time
        than its and the others' syncs take.
        """
        syncs_ms = int(SYNCS_OF_A_VOTE * self.sync_ms)
        return self.settings.election_timeout_ms + syncs_ms

    def reset_election_timer(self, now_ms: int) -> None:
        """Restart the election timer with a new random timeout."""
        base = self.patience_ms()
        self.election_due_ms = now_ms + base + self.random.randrange(base)

    def address_of(self, member_id: str) -> str:
        """Return a member's link address, or an empty string if it is unknown."""
        member = self.membership.find(member_id)
        return member.link_address if member else ""

    def majority(self) -> int:
        """Return the number of voters in a majority."""
        return len(self.voters()) // 2 + 1

    def commit_quorum(self) -> int:
        """Return the number of voters that must sync an entry to commit it."""
        return self.majority()

    def quorum_value(self, values: dict[str, int], needed: int) -> int:
        """Return the highest value that at least ``needed`` voters have reached."""
        voters = self.voters()
        descending = sorted((values.get(v, 0) for v in voters), reverse=True)
        return descending[needed - 1] if len(descending) >= needed else 0

    def quorum_acked_sent_ms(self, now_ms: int) -> int:
        """Return the send time of the newest messages that a quorum acknowledged."""
        values = {name: p.acked_sent_ms for name, p in dict(self.progress).items()}
        values[self.member_id] = now_ms
        return self.quorum_value(values, self.majority())

    def lease_valid(self, now_ms: int) -> bool:
        """Return whether the leader lease excludes any other leader at ``now_ms``."""
        if self.role is not Role.LEADER or self.transfer_token is not None:
            return False
        return now_ms < self.quorum_acked_sent_ms(now_ms) + self.settings.lease_ms()

    def record_entry(self, entry: LogEntry) -> None:
        """Record the term of an entry and, for a membership entry, the membership."""
        first = entry.log_index
        if first <= self.log.last_index:
            self.drop_memberships_from(first)
        self.log.append(first, entry.term)
        if entry.kind == MEMBERS_KIND:
            self.memberships.append((first, decode_membership(entry.body)))

    def drop_memberships_from(self, first_dropped: int) -> None:
        """Discard memberships at ``first_dropped`` and later indexes."""
        while len(self.memberships) > 1 and self.memberships[-1][0] >= first_dropped:
            self.memberships.pop()

    def membership_at(self, log_index: int) -> Membership:
        """Return the membership that is in effect at a log index."""
        in_effect = Membership()
        for first, membership in self.memberships:
            if first <= log_index:
                in_effect = membership
        return in_effect

    def emit(self, effect: Effect) -> None:
        """Add an effect to the result of the current step."""
        self.effects.append(effect)

    def leader_is_known(self) -> bool:
        """Return whether this member leads, as announced, or follows a leader."""
        if self.role is Role.LEADER:
            return self.leadership_announced
        return bool(self.leader_id)

    def set_leader(self, leader_id: str) -> None:
        """Record the current leader and emit ``LeaderChanged`` if it changed.

        A new member learns the leader's address later than its id, with the membership.
        """
        known = self.leader_address if leader_id == self.leader_id else ""
        address = self.address_of(leader_id) or known
        is_same = (leader_id, address) == (self.leader_id, self.leader_address)
        if is_same and not self.leadership_announced:
            return
        self.leader_id = leader_id
        self.leader_address = address
        self.leadership_announced = False
        self.emit(LeaderChanged(False, self.term, leader_id, address))
