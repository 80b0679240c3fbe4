"""What an entry sends at a steady pace: heartbeats and load figures."""

from foxspring_model import EntryHeartbeat, EntryInfo, EntryLoad

from foxspring_entry._settings import EntrySettings

LOAD_REFRESH_MS = 600
_NEVER_MS = -1_000_000

ServiceLoads = tuple[tuple[str, int, int, int], ...]


class IntervalTimer:
    """Tells whether something that repeats is due."""

    def __init__(self, interval_ms: int) -> None:
        self.interval_ms = interval_ms
        self.last_ms = _NEVER_MS

    def is_due(self, now_ms: int) -> bool:
        """Tell whether it is due, and if so count it as done now."""
        if now_ms - self.last_ms < self.interval_ms:
            return False
        self.last_ms = now_ms
        return True

    def make_due(self) -> None:
        """Make it due at once."""
        self.last_ms = _NEVER_MS


class Heartbeats:
    """Heartbeats to control: to the leader, or to all while none answers."""

    def __init__(self, settings: EntrySettings) -> None:
        self._addresses = settings.control_addresses
        self.timer = IntervalTimer(settings.heartbeat_ms)
        self.last_grant_ms = _NEVER_MS

    def due(
        self,
        info: EntryInfo,
        revision: int,
        ownership_version: int,
        leader_address: str,
        now_ms: int,
    ) -> tuple[tuple[str, ...], EntryHeartbeat] | None:
        """Return the receivers and the heartbeat if one is due."""
        if not self.timer.is_due(now_ms):
            return None
        heartbeat = EntryHeartbeat(info, now_ms, revision, ownership_version)
        answered = now_ms - self.last_grant_ms <= 2 * self.timer.interval_ms
        if answered and leader_address:
            return (leader_address,), heartbeat
        return self._addresses, heartbeat


class LoadReports:
    """Load figures to the other entries: when they change, and now and then."""

    def __init__(self, settings: EntrySettings) -> None:
        self._entry_id = settings.entry_id
        self._incarnation = settings.incarnation
        self.timer = IntervalTimer(settings.load_interval_ms)
        self._sequence = 0
        self._last: ServiceLoads = ()
        self._sent_ms = _NEVER_MS

    def next(self, services: ServiceLoads) -> EntryLoad:
        """Return the next figures in order."""
        self._sequence += 1
        return EntryLoad(self._entry_id, self._incarnation, self._sequence, services)

    def should_send(self, services: ServiceLoads, now_ms: int) -> bool:
        """Tell whether figures should be sent, and if so count them as sent."""
        if services == self._last and now_ms - self._sent_ms < LOAD_REFRESH_MS:
            return False
        self._last, self._sent_ms = services, now_ms
        return True
