"""The state that one member decides from; it holds no entry's body."""

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

MEMBERS_KIND = "log.members"
NOOP_KIND = "log.noop"
LOG_KIND_PREFIX = "log."

_MEMBERSHIP = msgspec.msgpack.Decoder(Membership)


def encode_membership(membership: Membership) -> bytes:
    """Return the body of a membership entry."""
    return msgspec.msgpack.encode(membership)


def decode_membership(body: bytes) -> Membership:
    """Return the membership in an entry's body."""
    return _MEMBERSHIP.decode(body)


class Role(StrEnum):
    """What a member is doing."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class StoredState(NamedTuple):
    """What a member finds in its data folder when it starts."""

    term: int
    voted_for: str
    commit_index: int
    log: TermTable
    memberships: tuple[tuple[int, Membership], ...] = ()
    snapshot: SnapshotStored | None = None


class Progress:
    """What a leader knows of one other member.

    While ``probing``, one message at a time finds where the logs match; after
    that ``next_index`` runs ahead of the replies by up to ``MAX_IN_FLIGHT``
    messages, which bounds what a silent member makes the leader hold.
    """

    MAX_IN_FLIGHT = 8

    def __init__(self, next_index: int, now_ms: int) -> None:
        self.next_index = next_index
        self.match_index = 0
        self.probing = True
        self.waiting = False
        self.in_flight = 0
        self.acked_sent_ms = 0
        self.heartbeat_ms = 0
        self.advanced_ms = now_ms
        self.chunk_offset = -1
        self.chunk_index = 0
        self.chunk_sent_ms = 0
        self.heartbeat_due = True

    def may_send_more(self) -> bool:
        """Tell whether entries may be sent before another reply."""
        if self.probing:
            return not self.waiting
        return self.in_flight < self.MAX_IN_FLIGHT

    def probe_from(self, next_index: int) -> None:
        """Find out anew where the logs match, from ``next_index`` back."""
        self.probing = True
        self.next_index = next_index
        self.in_flight = 0


class Incoming(NamedTuple):
    """The snapshot being received from a term's leader, and how much of it."""

    snapshot_index: int
    leader_term: int
    next_offset: int


class MemberChange(NamedTuple):
    """A membership entry whose caller waits for its commit."""

    log_index: int
    token: int


class RaftState:
    """One member's whole decision state; only the step functions change it."""

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
        if not self.memberships and not self.is_established():
            self.memberships.append((0, Membership(settings.initial_members)))
        self.random = random.Random(f"{settings.seed}/{settings.member_id}")
        self.role = Role.FOLLOWER
        self.leader_id = ""
        self.elections = 0
        self.refused = ""
        self.votes: set[str] = set()
        self.transfer_election = False
        # A vote before one whole timeout could break a lease granted before
        # this process was restarted.
        self.heard_leader_ms = now_ms
        self.election_due_ms = 0
        self.progress: dict[str, Progress] = {}
        self.synced_index = 0
        self.first_term_index = 0
        self.announced = False
        self.lead_since_ms = 0
        self.member_change: MemberChange | None = None
        self.transfer_token: int | None = None
        self.transfer_target = ""
        self.transfer_due_ms = 0
        self.incoming: Incoming | None = None
        self.effects: list[Effect] = []
        self._counted: tuple[Membership, tuple[str, ...]] = (Membership(), ())
        self.draw_election_due(now_ms)

    @property
    def membership(self) -> Membership:
        """Return the latest membership in the log, committed or not."""
        return self.memberships[-1][1] if self.memberships else Membership()

    def voters(self) -> tuple[str, ...]:
        """Return the ids of the members that count for a quorum."""
        membership = self.membership
        counted, voters = self._counted
        if membership is not counted:
            voters = membership.voters()
            # One assignment, because another thread may ask for the status.
            self._counted = (membership, voters)
        return voters

    def is_established(self) -> bool:
        """Tell whether this member's disk holds any part of the log."""
        return self.log.last_index > 0

    def is_voter(self) -> bool:
        """Tell whether this member counts for a quorum."""
        return self.member_id in self.voters()

    def draw_election_due(self, now_ms: int) -> None:
        """Set the next election timeout at random."""
        base = self.settings.election_timeout_ms
        self.election_due_ms = now_ms + base + self.random.randrange(base)

    def address_of(self, member_id: str) -> str:
        """Return a member's link address, or an empty text."""
        member = self.membership.find(member_id)
        return member.link_address if member else ""

    def majority(self) -> int:
        """Return how many voters a quorum needs."""
        return len(self.voters()) // 2 + 1

    def commit_quorum(self) -> int:
        """Return how many voters must have synced an entry to commit it."""
        return self.majority()

    def quorum_value(self, values: dict[str, int], needed: int) -> int:
        """Return the highest value that ``needed`` voters have reached."""
        voters = self.voters()
        ranked = sorted((values.get(v, 0) for v in voters), reverse=True)
        return ranked[needed - 1] if len(ranked) >= needed else 0

    def quorum_sent_ms(self, now_ms: int) -> int:
        """Return when the newest round that a quorum answered was sent."""
        values = {name: p.acked_sent_ms for name, p in dict(self.progress).items()}
        values[self.member_id] = now_ms
        return self.quorum_value(values, self.majority())

    def lease_valid(self, now_ms: int) -> bool:
        """Tell whether no other member can have been elected by now."""
        if self.role is not Role.LEADER or self.transfer_token is not None:
            return False
        return now_ms < self.quorum_sent_ms(now_ms) + self.settings.lease_ms()

    def record_entry(self, entry: LogEntry) -> None:
        """Record an entry's term and, if it has one, its membership."""
        first = entry.log_index
        if first <= self.log.last_index:
            self.drop_memberships_from(first)
        self.log.append(first, entry.term)
        if entry.kind == MEMBERS_KIND:
            self.memberships.append((first, decode_membership(entry.body)))

    def drop_memberships_from(self, first_dropped: int) -> None:
        """Return to the membership before the entries being replaced."""
        while len(self.memberships) > 1 and self.memberships[-1][0] >= first_dropped:
            self.memberships.pop()

    def membership_at(self, log_index: int) -> Membership:
        """Return the membership in force at an index of the log."""
        found = Membership()
        for first, membership in self.memberships:
            if first <= log_index:
                found = membership
        return found

    def emit(self, effect: Effect) -> None:
        """Ask for an effect."""
        self.effects.append(effect)

    def set_leader(self, leader_id: str) -> None:
        """Note another leader and tell the runtime if it is news."""
        if leader_id == self.leader_id and not self.announced:
            return
        self.leader_id = leader_id
        self.announced = False
        address = self.address_of(leader_id)
        self.emit(LeaderChanged(False, self.term, leader_id, address))
