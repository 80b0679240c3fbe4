"""End events of tasks, kept until their epochs cannot be started again."""

from typing import NamedTuple

from foxspring_model import ReportedEvent, TaskStatusBody

RETENTION_MS = 120_000


class EndedTask(NamedTuple):
    """The end event of a task; ``committed`` once it is in the replicated log."""

    event: ReportedEvent
    ended_ms: int
    committed: bool = False


class EndedTasks:
    """Ended tasks of one target by task id, each at its latest epoch."""

    def __init__(self) -> None:
        self._tasks: dict[str, EndedTask] = {}
        self._first_reported_ms: dict[tuple[str, int], int] = {}

    def add(self, event: ReportedEvent, now_ms: int) -> None:
        """Store an end event unless one of a later epoch is known."""
        known = self._tasks.get(event.task_id)
        if known is None or known.event.epoch <= event.epoch:
            self._tasks[event.task_id] = EndedTask(event, now_ms)

    def at_or_after(self, task_id: str, epoch: int) -> ReportedEvent | None:
        """Return the end event that prevents ``epoch`` from starting, if any."""
        known = self._tasks.get(task_id)
        return known.event if known and known.event.epoch >= epoch else None

    def commit(self, event: ReportedEvent) -> None:
        """Record that an event is committed in the replicated log."""
        known = self._tasks.get(event.task_id)
        if known is not None and known.event == event:
            self._tasks[event.task_id] = known._replace(committed=True)

    def acknowledgeable(
        self, statuses: list[TaskStatusBody], after_ms: int, now_ms: int
    ) -> list[list[str | int]]:
        """Return the reported ended tasks that their target may discard.

        These are the committed ones that have been reported for ``after_ms``.
        By then the lease of every start call has ended; a start call that was
        delayed in transit would otherwise run a discarded task again.
        """
        ended = [status for status in statuses if status["state"] != "running"]
        keys = [(status["task_id"], status["epoch"]) for status in ended]
        self._first_reported_ms = {
            key: self._first_reported_ms.get(key, now_ms) for key in keys
        }
        return [
            [status["task_id"], status["epoch"]]
            for key, status in zip(keys, ended, strict=True)
            if now_ms - self._first_reported_ms[key] >= after_ms
            and self._is_committed(status)
        ]

    def prune(self, now_ms: int) -> None:
        """Remove committed end events older than the retention time."""
        for task_id, known in list(self._tasks.items()):
            if known.committed and now_ms - known.ended_ms > RETENTION_MS:
                del self._tasks[task_id]

    def _is_committed(self, status: TaskStatusBody) -> bool:
        known = self._tasks.get(status["task_id"])
        if known is None or known.event.epoch < status["epoch"]:
            return False
        return known.committed or known.event.epoch > status["epoch"]
