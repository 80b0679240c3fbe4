"""Times from which the leases of former owners of stopping tasks are counted."""

from foxspring_model import Task

_Wait = tuple[int, int]


class FormerLeases:
    """When the last owner that may start a stopping task lost its target.

    Owners get no start of a task that is stopping, so no owner of a later change
    can start it, and the wait for the leases of former owners goes on. The task
    of another epoch has a wait of its own.
    """

    def __init__(self) -> None:
        self._waits: dict[str, _Wait] = {}

    def begin(self, task: Task, since_ms: int) -> None:
        """Begin the wait for a stopping task unless it has begun."""
        known = self._waits.get(task.task_id)
        if known is None or known[0] != task.epoch:
            self._waits[task.task_id] = (task.epoch, since_ms)

    def since_ms(self, task: Task, owner_since_ms: int) -> int:
        """Return when the wait began, ``owner_since_ms`` if that is not known."""
        known = self._waits.get(task.task_id)
        return known[1] if known and known[0] == task.epoch else owner_since_ms

    def discard(self, task_id: str) -> None:
        """Forget a task that is no longer stopping."""
        self._waits.pop(task_id, None)
