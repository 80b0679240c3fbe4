"""Tasks that were offered to their target's owner a short time ago.

A target that restarts is announced after its new process is up. A task that was
started in between runs there, although its owner, who hears of the restart
later, takes it as lost with the old process.
"""

from foxspring_model import TaskEvent

_LOST = "lost"


class RecentOffers:
    """When each task was last offered, for ``memory_ms``.

    A new leader can't know what the last one offered, so every task counts as
    offered at its beginning.
    """

    def __init__(self, now_ms: int, memory_ms: int) -> None:
        self.memory_ms = memory_ms
        self._unknown_until_ms = now_ms + memory_ms
        self._offered_ms: dict[str, int] = {}

    def note(self, task_id: str, now_ms: int) -> None:
        """Note an offer; the first one of a run counts."""
        self._offered_ms.setdefault(task_id, now_ms)

    def forget_old(self, now_ms: int) -> None:
        """Drop what is older than the memory."""
        while self._offered_ms:
            task_id = next(iter(self._offered_ms))
            if now_ms - self._offered_ms[task_id] < self.memory_ms:
                return
            del self._offered_ms[task_id]

    def may_hide_a_run(
        self, event: TaskEvent, restarted_ms: int | None, settled_ms: int, now_ms: int
    ) -> bool:
        """Tell whether a lost task may run in its target's new process.

        ``restarted_ms`` is when the target's present incarnation was first
        seen, None if it is the only one known; after ``settled_ms`` more, a
        run that nobody renews has ended.
        """
        if event.kind != _LOST or restarted_ms is None:
            return False
        if now_ms - restarted_ms >= settled_ms:
            return False
        return event.task_id in self._offered_ms or now_ms < self._unknown_until_ms
