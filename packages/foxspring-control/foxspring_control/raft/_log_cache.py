"""In-memory cache of the newest log entries."""

from collections import deque
from collections.abc import Iterable

from foxspring_control._replication import LogEntry


class LogCache:
    """Caches the newest entries up to about ``max_bytes``, and at least one."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self._entries: deque[LogEntry] = deque()

    def append(self, entries: Iterable[LogEntry]) -> None:
        """Add entries, replacing any at or after the first one's index."""
        for entry in entries:
            while self._entries and self._entries[-1].log_index >= entry.log_index:
                self.held_bytes -= _size(self._entries.pop())
            self._entries.append(entry)
            self.held_bytes += _size(entry)
        while self.held_bytes > self.max_bytes and len(self._entries) > 1:
            self.held_bytes -= _size(self._entries.popleft())

    def read(self, first: int, last: int, max_bytes: int) -> list[LogEntry]:
        """Return cached entries from ``first`` to ``last``.

        Stops once ``max_bytes`` is reached; empty if ``first`` is not cached.
        """
        if not self._entries or first < self._entries[0].log_index:
            return []
        found: list[LogEntry] = []
        held = 0
        start = first - self._entries[0].log_index
        for position in range(start, len(self._entries)):
            entry = self._entries[position]
            if entry.log_index > last or held >= max_bytes:
                break
            found.append(entry)
            held += _size(entry)
        return found

    def clear(self) -> None:
        """Remove all entries."""
        self._entries.clear()
        self.held_bytes = 0


ENTRY_OVERHEAD_BYTES = 200


def _size(entry: LogEntry) -> int:
    return len(entry.body) + ENTRY_OVERHEAD_BYTES
