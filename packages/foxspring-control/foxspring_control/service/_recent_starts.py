"""Tasks whose start was requested from their target's owner recently.

A restarted target is announced after its new process is up. A task that is
started in between runs in the new process, but its owner, which learns of the
restart later, reports it as lost with the old process.
"""

from foxspring_model import ReportedEvent

_LOST = "lost"


class RecentStarts:
    """Records for ``retention_ms`` when the start of a task was requested.

    A new leader doesn't know which starts its predecessor requested, so for
    ``retention_ms`` after its election every task counts as started recently.
    """

    def __init__(self, now_ms: int, retention_ms: int) -> None:
        self.retention_ms = retention_ms
        self._unknown_until_ms = now_ms + retention_ms
        self._requested_ms: dict[str, int] = {}

    def record_start(self, task_id: str, now_ms: int) -> None:
        """Record a requested start; a repeated request keeps the first time."""
        self._requested_ms.setdefault(task_id, now_ms)

    def discard_expired(self, now_ms: int) -> None:
        """Discard requests that are older than ``retention_ms``."""
        while self._requested_ms:
            task_id = next(iter(self._requested_ms))
            if now_ms - self._requested_ms[task_id] < self.retention_ms:
                return
            del self._requested_ms[task_id]

    def may_still_run(
        self,
        event: ReportedEvent,
        incarnation_since_ms: int | None,
        lease_expiry_ms: int,
        now_ms: int,
    ) -> bool:
        """Return whether a task reported as lost may run in the target's new process.

        ``incarnation_since_ms`` is when the target's current incarnation was first
        seen, None for an unknown target. ``lease_expiry_ms`` later, a run whose
        lease is not renewed has ended.
        """
        if event.kind != _LOST or incarnation_since_ms is None:
            return False
        if now_ms - incarnation_since_ms >= lease_expiry_ms:
            return False
        return event.task_id in self._requested_ms or now_ms < self._unknown_until_ms
