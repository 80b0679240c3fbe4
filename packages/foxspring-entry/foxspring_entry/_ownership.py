"""Latest table of entries and owned targets received from control."""

from typing import NamedTuple

from foxspring_model import EntryInfo, OwnedTarget, OwnershipUpdate


class TargetChange(NamedTuple):
    """New state of a target, and whether its previous owner may still send to it.

    The previous owner may do so until it has received the change or its lease
    has ended. It cannot if there was none, or if it was removed from the table.
    """

    owned: OwnedTarget
    previous_owner_may_send: bool


class OwnershipChange(NamedTuple):
    """Result of one update: changed targets in their new state, and removed ones.

    ``departed`` lists entries whose link address is no longer in use.
    """

    changed: tuple[TargetChange, ...] = ()
    removed: tuple[OwnedTarget, ...] = ()
    entries_changed: bool = False
    departed: tuple[EntryInfo, ...] = ()


class OwnershipTable:
    """Table of targets and the entries that own them; its version never falls."""

    def __init__(self) -> None:
        self.version = 0
        self.entries: dict[str, EntryInfo] = {}
        self.targets: dict[str, OwnedTarget] = {}
        self._owners: dict[str, dict[str, int]] = {}
        self._ended_owner_targets: set[str] = set()

    def apply(self, update: OwnershipUpdate) -> OwnershipChange:
        """Apply an update; ignore one that is outdated or would leave a gap."""
        if update.version < self.version:
            return OwnershipChange()
        if not update.full and update.from_version != self.version:
            return OwnershipChange()
        entries = {entry.entry_id: entry for entry in update.entries}
        entries_changed = entries != self.entries
        kept = {entry.link_address for entry in update.entries}
        departed = tuple(e for e in self.entries.values() if e.link_address not in kept)
        changed = self._store(update.targets, entries)
        self.entries = entries
        removed = self._remove(update)
        self.version = update.version
        self._index()
        return OwnershipChange(changed, removed, entries_changed, departed)

    def owner_of(self, target_id: str) -> EntryInfo | None:
        """Return the entry that owns a target, or ``None`` if none is known."""
        target = self.targets.get(target_id)
        return self.entries.get(target.owner) if target else None

    def owners_of(self, service: str) -> dict[str, int]:
        """Return the number of targets of ``service`` by owning entry."""
        return self._owners.get(service, {})

    def serving(self, service: str) -> tuple[str, ...]:
        """Return the ids of the targets that run ``service`` and are not leaving."""
        return tuple(
            target_id
            for target_id, target in list(self.targets.items())
            if service in target.services and not target.info.leaving
        )

    def _store(
        self, targets: tuple[OwnedTarget, ...], entries: dict[str, EntryInfo]
    ) -> tuple[TargetChange, ...]:
        changes = []
        for target in targets:
            previous = self.targets.get(target.info.target_id)
            if previous == target:
                continue
            may_send = self._previous_owner_may_send(previous, target, entries)
            self._record_ended_owner(previous, target)
            changes.append(TargetChange(target, may_send))
            self.targets[target.info.target_id] = target
        return tuple(changes)

    def _previous_owner_may_send(
        self,
        previous: OwnedTarget | None,
        target: OwnedTarget,
        entries: dict[str, EntryInfo],
    ) -> bool:
        if target.owner_epoch <= 1:
            return False
        if previous is None or previous.owner_epoch + 1 != target.owner_epoch:
            return True
        if previous.info.target_id in self._ended_owner_targets:
            return False
        before, now = self.entries.get(previous.owner), entries.get(previous.owner)
        if previous.owner and now is None:
            return False
        if before is None or now is None:
            return True
        return now.incarnation == before.incarnation

    def _record_ended_owner(
        self, previous: OwnedTarget | None, target: OwnedTarget
    ) -> None:
        """Track targets that lost their owner without getting a new one.

        Control removes the owner of a target without a new epoch only after
        that owner's process has definitely ended.
        """
        target_id = target.info.target_id
        if (
            previous is None
            or target.owner
            or previous.owner_epoch != target.owner_epoch
        ):
            self._ended_owner_targets.discard(target_id)
        elif previous.owner:
            self._ended_owner_targets.add(target_id)

    def _remove(self, update: OwnershipUpdate) -> tuple[OwnedTarget, ...]:
        absent = set(update.removed)
        if update.full:
            absent |= set(self.targets) - {t.info.target_id for t in update.targets}
        self._ended_owner_targets -= absent
        return tuple(
            self.targets.pop(target_id)
            for target_id in sorted(absent)
            if target_id in self.targets
        )

    def _index(self) -> None:
        self._owners = {}
        for target in self.targets.values():
            if target.owner not in self.entries or target.info.leaving:
                continue
            for service in target.services:
                counts = self._owners.setdefault(service, {})
                counts[target.owner] = counts.get(target.owner, 0) + 1
