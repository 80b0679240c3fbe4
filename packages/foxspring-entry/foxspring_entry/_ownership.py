"""The table of entries and targets as control last told it."""

from typing import NamedTuple

from foxspring_model import EntryInfo, OwnedTarget, OwnershipUpdate


class TargetChange(NamedTuple):
    """A target as it is now, and whether its last owner may still send to it.

    The last owner may until it has heard of the change or its lease has ended;
    it surely may not if there was none or it is gone from the table.
    """

    owned: OwnedTarget
    previous_owner_may_send: bool


class OwnershipChange(NamedTuple):
    """What one update changed: targets in their new form, and those removed.

    ``absent`` holds the entries that left, or left their link address.
    """

    changed: tuple[TargetChange, ...] = ()
    removed: tuple[OwnedTarget, ...] = ()
    entries_changed: bool = False
    departed: tuple[EntryInfo, ...] = ()


class OwnershipTable:
    """Which entry owns which target; an aggregate with one rule: versions grow."""

    def __init__(self) -> None:
        self.version = 0
        self.entries: dict[str, EntryInfo] = {}
        self.targets: dict[str, OwnedTarget] = {}
        self._owners: dict[str, dict[str, int]] = {}
        self._ended_owner_targets: set[str] = set()

    def apply(self, update: OwnershipUpdate) -> OwnershipChange:
        """Apply an update; one that is old or leaves a gap changes nothing."""
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
        """Return the entry that owns a target, ``None`` if none is known."""
        target = self.targets.get(target_id)
        return self.entries.get(target.owner) if target else None

    def owners_of(self, service: str) -> dict[str, int]:
        """Return how many targets of ``service`` each owning entry has."""
        return self._owners.get(service, {})

    def serving(self, service: str) -> tuple[str, ...]:
        """Return the targets of ``service`` that are not leaving."""
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
            held = self.targets.get(target.info.target_id)
            if held == target:
                continue
            may_send = self._previous_owner_may_send(held, target, entries)
            self._record_ended_owner(held, target)
            changes.append(TargetChange(target, may_send))
            self.targets[target.info.target_id] = target
        return tuple(changes)

    def _previous_owner_may_send(
        self,
        held: OwnedTarget | None,
        target: OwnedTarget,
        entries: dict[str, EntryInfo],
    ) -> bool:
        if target.owner_epoch <= 1:
            return False
        if held is None or held.owner_epoch + 1 != target.owner_epoch:
            return True
        if held.info.target_id in self._ended_owner_targets:
            return False
        before, now = self.entries.get(held.owner), entries.get(held.owner)
        if held.owner and now is None:
            return False
        if before is None or now is None:
            return True
        return now.incarnation == before.incarnation

    def _record_ended_owner(
        self, held: OwnedTarget | None, target: OwnedTarget
    ) -> None:
        """Remember targets whose owner went without another one following.

        Control takes the owner from a target at the same epoch only when that
        owner's process has surely ended.
        """
        target_id = target.info.target_id
        if held is None or target.owner or held.owner_epoch != target.owner_epoch:
            self._ended_owner_targets.discard(target_id)
        elif held.owner:
            self._ended_owner_targets.add(target_id)

    def _remove(self, update: OwnershipUpdate) -> tuple[OwnedTarget, ...]:
        absent = set(update.removed)
        if update.full:
            absent |= set(self.targets) - {t.info.target_id for t in update.targets}
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
