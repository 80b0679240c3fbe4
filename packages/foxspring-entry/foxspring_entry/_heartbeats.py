"""Periodic messages of an entry: heartbeats and load reports."""

from foxspring_model import EntryHeartbeat, EntryInfo, EntryLoad

from foxspring_entry._settings import EntrySettings

LOAD_REFRESH_MS = 600
_NEVER_MS = -1_000_000

ServiceLoads = tuple[tuple[str, int, int, int], ...]


class Pace:
    """Timer for an action that repeats at a fixed interval."""

    def __init__(self, interval_ms: int) -> None:
        self.interval_ms = interval_ms
        self.last_ms = _NEVER_MS

    def is_due(self, now_ms: int) -> bool:
        """Return whether the action is due; if so, restart the interval."""
        if now_ms - self.last_ms < self.interval_ms:
            return False
        self.last_ms = now_ms
        return True

    def make_due(self) -> None:
        """Make the action due immediately."""
        self.last_ms = _NEVER_MS


class Heartbeats:
    """Heartbeats to control: to the leader, or to all members if none responds."""

    def __init__(self, settings: EntrySettings) -> None:
        self._addresses = settings.control_addresses
        self.pace = Pace(settings.heartbeat_ms)
        self.last_grant_ms = _NEVER_MS

    def due(
        self,
        info: EntryInfo,
        revision: int,
        ownership_version: int,
        leader_address: str,
        now_ms: int,
    ) -> tuple[tuple[str, ...], EntryHeartbeat] | None:
        """Return the receivers' addresses and the heartbeat if one is due."""
        if not self.pace.is_due(now_ms):
            return None
        heartbeat = EntryHeartbeat(info, now_ms, revision, ownership_version)
        leader_responds = now_ms - self.last_grant_ms <= 2 * self.pace.interval_ms
        if leader_responds and leader_address:
            return (leader_address,), heartbeat
        return self._addresses, heartbeat


class LoadReports:
    """Load reports to the other entries, sent on changes and periodically."""

    def __init__(self, settings: EntrySettings) -> None:
        self._entry_id = settings.entry_id
        self._incarnation = settings.incarnation
        self.pace = Pace(settings.load_interval_ms)
        self._sequence = 0
        self._last: ServiceLoads = ()
        self._sent_ms = _NEVER_MS

    def next_report(self, services: ServiceLoads) -> EntryLoad:
        """Return a load report with the next sequence number."""
        self._sequence += 1
        return EntryLoad(self._entry_id, self._incarnation, self._sequence, services)

    def should_send(self, services: ServiceLoads, now_ms: int) -> bool:
        """Return whether to send the loads; if so, record them as sent."""
        if services == self._last and now_ms - self._sent_ms < LOAD_REFRESH_MS:
            return False
        self._last, self._sent_ms = services, now_ms
        return True
