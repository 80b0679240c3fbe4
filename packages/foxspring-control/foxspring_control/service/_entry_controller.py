"""Controller of entries: leases, pushed tables and target ownership."""

import logging

from foxspring_model import (
    AssignOwners,
    ConfigurationPush,
    EntryHeartbeat,
    EntryLeaseGrant,
    RegisterEntry,
    RemoveEntry,
)

from foxspring_control._replication import ProposeOutcome
from foxspring_control.raft import LeadershipChange
from foxspring_control.service._leases import EntryLeases
from foxspring_control.service._messages import SendMessage
from foxspring_control.service._ownership import Candidates, plan_owners
from foxspring_control.service._ownership_updates import OwnershipUpdates
from foxspring_control.service._proposer import Proposer
from foxspring_control.service._settings import ServiceSettings
from foxspring_control.service._view import LeaderView

_LOG = logging.getLogger(__name__)


class EntryController:
    """Grants leases, pushes tables, removes dead entries and assigns owners."""

    def __init__(
        self,
        settings: ServiceSettings,
        leadership: LeadershipChange,
        view: LeaderView,
        proposer: Proposer,
        send: SendMessage,
        now_ms: int,
    ) -> None:
        self.settings = settings
        self.leadership = leadership
        self.view = view
        self.proposer = proposer
        self.send = send
        self.leases = EntryLeases(settings, now_ms)
        self.updates = OwnershipUpdates(view.state)
        self.next_moves_ms = now_ms
        self._last_live: tuple[str, ...] = ()
        self._pushed: dict[str, tuple[int, int, int]] = {}

    def handle_heartbeat(
        self, sender: str, heartbeat: EntryHeartbeat, now_ms: int
    ) -> None:
        """Push missing changes to the entry; grant a lease if it is up to date."""
        entry = heartbeat.entry
        known = self.view.entries.get(entry.entry_id)
        if known is not None and entry.incarnation < known.incarnation:
            return
        self.leases.record_heartbeat(
            entry.entry_id,
            entry.incarnation,
            heartbeat.confirmed_revision,
            heartbeat.ownership_version,
            now_ms,
        )
        if entry != known:
            self.proposer.propose(f"entry/{entry.entry_id}", RegisterEntry(entry))
        if known is None or known.incarnation != entry.incarnation:
            return
        self._push_since(
            entry.entry_id,
            sender,
            heartbeat.confirmed_revision,
            heartbeat.ownership_version,
            now_ms,
        )
        self.proposer.log.read_barrier(
            lambda outcome: self.proposer.post(
                lambda: self._grant(sender, heartbeat, outcome)
            )
        )

    def push_changes(self, now_ms: int) -> None:
        """Push changes to every registered entry that has sent a heartbeat."""
        for entry_id, entry in self.view.entries.items():
            lease = self.leases.by_entry.get(entry_id)
            if lease is None or lease.incarnation != entry.incarnation:
                continue
            held = lease.confirmed_revision, lease.ownership_version
            self._push_since(entry_id, entry.link_address, *held, now_ms)

    def tick(self, unassignable: frozenset[str], now_ms: int) -> None:
        """Remove dead entries and assign owners."""
        for entry_id, entry in self.view.entries.items():
            if self.leases.is_dead(entry_id, now_ms):
                command = RemoveEntry(entry_id, entry.incarnation)
                if self.proposer.propose(f"entry/{entry_id}", command):
                    _LOG.info("event=entry_removed entry=%s", entry_id)
        self._assign_owners(unassignable, now_ms)

    def waiting_for(self, revision: int, now_ms: int) -> list[str]:
        """Return the entries that may still serve an older revision."""
        waiting = []
        for entry_id in self.view.entries:
            lease = self.leases.by_entry.get(entry_id)
            confirmed = lease is not None and lease.confirmed_revision >= revision
            if not confirmed and not self.leases.has_expired(entry_id, now_ms):
                waiting.append(entry_id)
        return waiting

    def is_up_to_date(self, heartbeat: EntryHeartbeat) -> bool:
        """Return whether the entry holds all that it needs for a lease."""
        entry_id = heartbeat.entry.entry_id
        version = self.view.required_version(entry_id)
        if heartbeat.ownership_version < version:
            return False
        return heartbeat.confirmed_revision >= self.view.revision

    def _grant(
        self, sender: str, heartbeat: EntryHeartbeat, outcome: ProposeOutcome
    ) -> None:
        """Grant a lease that runs from the time the heartbeat was sent.

        Whether the entry is up to date is checked here, after the read barrier,
        so that no lease is granted to an entry that lacks a change which was
        applied since its heartbeat.
        """
        entry = heartbeat.entry
        known = self.view.entries.get(entry.entry_id)
        if outcome.status != "applied" or known is None:
            return
        if known.incarnation != entry.incarnation or not self.is_up_to_date(heartbeat):
            return
        self.leases.grant(entry.entry_id, self.proposer.clock.monotonic_ms())
        grant = EntryLeaseGrant(
            leader_id=self.leadership.leader_id,
            term=self.leadership.term,
            heartbeat_sent_ms=heartbeat.heartbeat_sent_ms,
            lease_ms=self.settings.entry_lease_ms,
            revision=self.view.revision,
            ownership_version=self.view.ownership_version,
        )
        self.send(sender, grant)

    def _push_since(
        self, entry_id: str, address: str, revision: int, version: int, now_ms: int
    ) -> None:
        """Push the changes that the entry neither holds nor was sent just now."""
        sent_revision, sent_version, sent_ms = self._pushed.get(entry_id, (0, 0, 0))
        if now_ms - sent_ms < self.settings.push_interval_ms:
            revision = max(revision, sent_revision)
            version = max(version, sent_version)
        behind = version < self.view.ownership_version
        if revision >= self.view.revision and not behind:
            return
        if revision < self.view.revision:
            self._push_configuration(address)
        if behind:
            self.send(address, self.updates.build(version))
        pushed = self.view.revision, self.view.ownership_version, now_ms
        self._pushed[entry_id] = pushed

    def _push_configuration(self, address: str) -> None:
        with self.view.state.reading() as tables:
            record = tables.configurations.current()
        self.send(address, ConfigurationPush(record.revision, record.text))

    def _assign_owners(self, unassignable: frozenset[str], now_ms: int) -> None:
        candidates = self._candidates(now_ms)
        moves = self._moves_allowed(now_ms)
        orphans = self.view.unowned_since_ms.keys() - unassignable
        if not moves and not orphans and candidates.live == self._last_live:
            return
        plan = plan_owners(self.view.owners(), unassignable, candidates, moves)
        if plan and not self.proposer.propose("owners", AssignOwners(plan)):
            return
        self._last_live = candidates.live
        if moves:
            self.next_moves_ms = now_ms + self.settings.rebalance_interval_ms
        if plan:
            _LOG.info("event=owners_assigned targets=%d", len(plan))

    def _candidates(self, now_ms: int) -> Candidates:
        leases = self.leases
        live = [
            entry_id
            for entry_id, entry in sorted(self.view.entries.items())
            if not entry.draining and not leases.has_expired(entry_id, now_ms)
        ]
        granted = [entry_id for entry_id in live if leases.is_live(entry_id, now_ms)]
        steady = [e for e in granted if not leases.has_flapped(e, now_ms)]
        stable = [e for e in granted if leases.is_stable(e, now_ms)]
        return Candidates(tuple(live), tuple(steady or granted), tuple(stable))

    def _moves_allowed(self, now_ms: int) -> int:
        if now_ms < max(self.leases.unknown_until_ms, self.next_moves_ms):
            return 0
        share = len(self.view.targets) * self.settings.moves_percent // 100
        return max(self.settings.moves_per_round, share)
