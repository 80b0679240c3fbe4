"""Building ownership updates for entries: full tables and deltas."""

from foxspring_model import OwnedTarget, OwnershipUpdate

from foxspring_control.service._pending_messages import is_leaving
from foxspring_control.state import ControlState, Tables, TargetRecord

SERVICE_JOB_PREFIX = "service/"


class OwnershipUpdates:
    """Builds ownership updates from the state; caches the newest full table."""

    def __init__(self, state: ControlState) -> None:
        self.state = state
        self._full: OwnershipUpdate | None = None

    def build(self, from_version: int) -> OwnershipUpdate:
        """Return the update from ``from_version`` to the current version.

        The update is a full table for version 0, and for a version so old that
        some later removals are no longer kept.
        """
        with self.state.reading() as tables:
            version = tables.counters.get("ownership_version")
            if from_version > 0 and from_version >= tables.targets.removals_kept_from():
                return _delta(tables, from_version, version)
            if self._full is None or self._full.version != version:
                self._full = _full(tables, version)
            return self._full


def _full(tables: Tables, version: int) -> OwnershipUpdate:
    targets = tuple(_owned(tables, record) for record in tables.targets.every())
    entries = tuple(tables.entries.every())
    return OwnershipUpdate(True, 0, version, entries, targets, ())


def _delta(tables: Tables, from_version: int, version: int) -> OwnershipUpdate:
    records = tables.targets.changed_since(from_version)
    targets = tuple(_owned(tables, record) for record in records)
    removed = tuple(
        target_id
        for target_id in tables.targets.removed_since(from_version)
        if tables.targets.get(target_id) is None
    )
    entries = tuple(tables.entries.every())
    return OwnershipUpdate(False, from_version, version, entries, targets, removed)


def _owned(tables: Tables, record: TargetRecord) -> OwnedTarget:
    jobs = tables.tasks.job_ids_on(record.info.target_id, "service", "running")
    services = tuple(job.removeprefix(SERVICE_JOB_PREFIX) for job in jobs)
    leaving = is_leaving(record.info, record.draining)
    info = record.info._replace(leaving=leaving)
    return OwnedTarget(info, record.owner, record.owner_epoch, services)
