"""Bounds how often the lines of a recurring event are logged, and counts the rest."""

import threading
from collections import Counter

NO_COUNTS = "-"


class RepeatLimit:
    """Decides which events of a period are logged; safe to use from any thread.

    The first event of a period is due at once, later ones once in ``interval_ms``.
    """

    def __init__(self, interval_ms: int) -> None:
        self.interval_ms = interval_ms
        self._lock = threading.Lock()
        self._counts: Counter[str] = Counter()
        self._due_ms: int | None = None

    def note(self, kind: str, now_ms: int) -> str:
        """Count an event; return the counts since the last line if one is due now.

        The result is ``KIND:COUNT,...`` with this event in it, or empty if none is
        due.
        """
        with self._lock:
            self._counts[kind] += 1
            if self._due_ms is not None and now_ms < self._due_ms:
                return ""
            self._due_ms = now_ms + self.interval_ms
            return self._take()

    def end_period(self) -> str:
        """Let the next event be due at once; return the counts not yet logged."""
        with self._lock:
            self._due_ms = None
            return self._take()

    def _take(self) -> str:
        counts = sorted(self._counts.items())
        self._counts.clear()
        return ",".join(f"{kind}:{count}" for kind, count in counts) or NO_COUNTS
