"""Tasks that were offered to their target's owner a short time ago.

A target that restarts is announced after its new process is up. A task that was
started in between runs there, although its owner, who hears of the restart
later, takes it as lost with the old process.
"""

from foxspring_model import TaskEvent

_LOST = "lost"


class RecentStarts:
    """When each task was last offered, for ``retention_ms``.

    A new leader can't know what the last one offered, so every task counts as
    offered at its beginning.
    """

    def __init__(self, now_ms: int, retention_ms: int) -> None:
        self.retention_ms = retention_ms
        self._unknown_until_ms = now_ms + retention_ms
        self._requested_ms: dict[str, int] = {}

    def record_start(self, task_id: str, now_ms: int) -> None:
        """Note an offer; the first one of a run counts."""
        self._requested_ms.setdefault(task_id, now_ms)

    def discard_expired(self, now_ms: int) -> None:
        """Drop what is older than the memory."""
        while self._requested_ms:
            task_id = next(iter(self._requested_ms))
            if now_ms - self._requested_ms[task_id] < self.retention_ms:
                return
            del self._requested_ms[task_id]

    def may_still_run(
        self,
        event: TaskEvent,
        incarnation_since_ms: int | None,
        lease_expiry_ms: int,
        now_ms: int,
    ) -> bool:
        """Tell whether a lost task may run in its target's new process.

        ``incarnation_since_ms`` is when the target's present incarnation was first
        seen, None if it is the only one known; after ``lease_expiry_ms`` more, a
        run that nobody renews has ended.
        """
        if event.kind != _LOST or incarnation_since_ms is None:
            return False
        if now_ms - incarnation_since_ms >= lease_expiry_ms:
            return False
        return event.task_id in self._requested_ms or now_ms < self._unknown_until_ms
