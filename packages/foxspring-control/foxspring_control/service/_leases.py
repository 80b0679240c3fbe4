"""Leases of entries, as the leader knows them."""

from typing import NamedTuple

from foxspring_control.service._settings import ServiceSettings


class EntryLease(NamedTuple):
    """Lease state of one entry; times are on the leader's clock.

    ``until_ms`` is when the last granted lease has expired even on a slow clock.
    ``losses`` counts lost leases and new incarnations, each within
    ``flap_window_ms`` of the one before; ``last_loss_ms`` is the latest one.
    """

    incarnation: int
    last_heartbeat_ms: int = 0
    until_ms: int = 0
    held_since_ms: int = 0
    confirmed_revision: int = 0
    ownership_version: int = 0
    losses: int = 0
    last_loss_ms: int = 0


class EntryLeases:
    """Leases by entry id; all are unknown after an election.

    A new leader doesn't know which leases its predecessor granted, so it treats
    every lease as valid until one full lease time after its own election.
    """

    def __init__(self, settings: ServiceSettings, now_ms: int) -> None:
        self.settings = settings
        self.unknown_until_ms = now_ms + settings.entry_lease_expiry_ms()
        self.by_entry: dict[str, EntryLease] = {}

    def record_heartbeat(
        self,
        entry_id: str,
        incarnation: int,
        revision: int,
        ownership_version: int,
        now_ms: int,
    ) -> None:
        """Record the incarnation and versions that a heartbeat reports."""
        lease = self.by_entry.get(entry_id)
        if lease is None:
            lease = EntryLease(incarnation, held_since_ms=now_ms)
        elif lease.incarnation != incarnation:
            lease = self._lost(lease, now_ms)._replace(incarnation=incarnation)
        self.by_entry[entry_id] = lease._replace(
            last_heartbeat_ms=now_ms,
            confirmed_revision=revision,
            ownership_version=ownership_version,
        )

    def grant(self, entry_id: str, now_ms: int) -> None:
        """Record a lease granted at ``now_ms`` on the leader's clock."""
        lease = self.by_entry[entry_id]
        if lease.until_ms and lease.until_ms <= now_ms:
            lease = self._lost(lease, now_ms)
        until_ms = now_ms + self.settings.entry_lease_expiry_ms()
        self.by_entry[entry_id] = lease._replace(until_ms=until_ms)

    def is_live(self, entry_id: str, now_ms: int) -> bool:
        """Return whether a lease granted by this leader may still be valid."""
        lease = self.by_entry.get(entry_id)
        return lease is not None and now_ms < lease.until_ms

    def has_expired(self, entry_id: str, now_ms: int) -> bool:
        """Return whether no lease of the entry, by any leader, can still be valid."""
        return now_ms >= self.unknown_until_ms and not self.is_live(entry_id, now_ms)

    def is_dead(self, entry_id: str, now_ms: int) -> bool:
        """Return whether the entry has no valid lease and sends no heartbeats."""
        if not self.has_expired(entry_id, now_ms):
            return False
        lease = self.by_entry.get(entry_id)
        quiet_ms = self.settings.entry_lease_expiry_ms()
        return lease is None or now_ms - lease.last_heartbeat_ms >= quiet_ms

    def has_flapped(self, entry_id: str, now_ms: int) -> bool:
        """Return whether the entry lost a lease or restarted in the flap window."""
        lease = self.by_entry.get(entry_id)
        if lease is None or not lease.losses:
            return False
        return now_ms - lease.last_loss_ms <= self.settings.flap_window_ms

    def is_stable(self, entry_id: str, now_ms: int) -> bool:
        """Return whether the entry has held its lease long enough to get targets."""
        lease = self.by_entry.get(entry_id)
        if lease is None or not self.is_live(entry_id, now_ms):
            return False
        return now_ms - lease.held_since_ms >= self._required_stable_ms(lease, now_ms)

    def _required_stable_ms(self, lease: EntryLease, now_ms: int) -> int:
        if now_ms - lease.last_loss_ms > self.settings.flap_window_ms:
            return self.settings.stable_after_ms
        doubled = self.settings.stable_after_ms << min(lease.losses, 16)
        return min(doubled, self.settings.max_stable_after_ms)

    def _lost(self, lease: EntryLease, now_ms: int) -> EntryLease:
        recent = now_ms - lease.last_loss_ms <= self.settings.flap_window_ms
        losses = lease.losses + 1 if recent else 1
        return lease._replace(losses=losses, last_loss_ms=now_ms, held_since_ms=now_ms)
