"""The leader's in-memory view of targets, entries and the configuration."""

from foxspring_model import EntryInfo

from foxspring_control.state import ControlState, StateChanges, Tables, TargetRecord

OWNERSHIP_VERSION = "ownership_version"


class LeaderView:
    """Targets and entries of the applied state, kept up to date.

    ``required_versions`` maps entries to the ownership version that they must
    hold for a lease, because at that version a target was taken from them.
    ``unowned_since_ms``, ``owner_since_ms`` and ``incarnation_since_ms`` map
    targets to the time when this leader first saw them without an owner, with
    their current owner and owner epoch, and with their current incarnation.
    ``owner_changed`` collects the targets whose owner changed until
    :meth:`pop_owner_changes` is called.
    """

    def __init__(self, state: ControlState, now_ms: int) -> None:
        self.state = state
        self.targets: dict[str, TargetRecord] = {}
        self.entries: dict[str, EntryInfo] = {}
        self.revision = 0
        self.ownership_version = 0
        self.required_versions: dict[str, int] = {}
        self.unowned_since_ms: dict[str, int] = {}
        self.owner_since_ms: dict[str, int] = {}
        self.incarnation_since_ms: dict[str, int] = {}
        self.owner_changed: set[str] = set()
        with state.reading() as tables:
            self._load(tables, now_ms)
        self.initial_version = self.ownership_version

    def update(self, changes: StateChanges, now_ms: int) -> None:
        """Reload the changed targets and entries and the current versions."""
        with self.state.reading() as tables:
            self._load_versions(tables)
            for target_id in changes.targets:
                self._update_target(target_id, tables.targets.get(target_id), now_ms)
            if changes.entries:
                self._load_entries(tables)

    def required_version(self, entry_id: str) -> int:
        """Return the lowest ownership version that allows the entry a lease."""
        return self.required_versions.get(entry_id, self.initial_version)

    def owner_address(self, target_id: str) -> str:
        """Return the link address of the target's owner, empty if none."""
        target = self.targets.get(target_id)
        entry = self.entries.get(target.owner) if target is not None else None
        return entry.link_address if entry is not None else ""

    def owners(self) -> dict[str, str]:
        """Return each target's owner, empty if it has none."""
        return {target_id: target.owner for target_id, target in self.targets.items()}

    def pop_owner_changes(self) -> set[str]:
        """Return and clear the targets whose owner changed since the last call."""
        changed, self.owner_changed = self.owner_changed, set()
        return changed

    def _load(self, tables: Tables, now_ms: int) -> None:
        for record in tables.targets.every():
            self._update_target(record.info.target_id, record, now_ms)
        self._load_entries(tables)
        self._load_versions(tables)

    def _load_entries(self, tables: Tables) -> None:
        self.entries = {entry.entry_id: entry for entry in tables.entries.every()}

    def _load_versions(self, tables: Tables) -> None:
        self.revision = tables.configurations.current().revision
        self.ownership_version = tables.counters.get(OWNERSHIP_VERSION)

    def _update_target(
        self, target_id: str, record: TargetRecord | None, now_ms: int
    ) -> None:
        held = self.targets.get(target_id)
        if held is not None and (record is None or record.owner != held.owner):
            self._raise_required_version(held, record)
        if record is None:
            self.targets.pop(target_id, None)
            self.unowned_since_ms.pop(target_id, None)
            self.owner_since_ms.pop(target_id, None)
            self.incarnation_since_ms.pop(target_id, None)
            return
        if held is None or held.info.incarnation != record.info.incarnation:
            self.incarnation_since_ms[target_id] = now_ms
        self.targets[target_id] = record
        if record.owner:
            self.unowned_since_ms.pop(target_id, None)
        else:
            self.unowned_since_ms.setdefault(target_id, now_ms)
        if held is None or _owner(record) != _owner(held):
            self.owner_changed.add(target_id)
            self.owner_since_ms[target_id] = now_ms

    def _raise_required_version(
        self, held: TargetRecord, record: TargetRecord | None
    ) -> None:
        if not held.owner:
            return
        version = record.version if record is not None else self.ownership_version
        known = self.required_versions.get(held.owner, 0)
        self.required_versions[held.owner] = max(known, version)


def _owner(record: TargetRecord) -> tuple[str, int]:
    return record.owner, record.owner_epoch
