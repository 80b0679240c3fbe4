"""The last events of ended tasks, until nothing can start their epochs again."""

from typing import NamedTuple

from foxspring_model import TaskEvent, TaskStatusBody

RETENTION_MS = 120_000


class EndedTask(NamedTuple):
    """A task's last event; ``committed`` once the replicated log has it."""

    event: TaskEvent
    ended_ms: int
    committed: bool = False


class EndedTasks:
    """Ended tasks of one target by task id, each at its newest epoch."""

    def __init__(self) -> None:
        self._tasks: dict[str, EndedTask] = {}
        self._first_reported_ms: dict[tuple[str, int], int] = {}

    def add(self, event: TaskEvent, now_ms: int) -> None:
        """Keep an ending unless one of a newer epoch is held."""
        held = self._tasks.get(event.task_id)
        if held is None or held.event.epoch <= event.epoch:
            self._tasks[event.task_id] = EndedTask(event, now_ms)

    def at_or_after(self, task_id: str, epoch: int) -> TaskEvent | None:
        """Return the ending that keeps ``epoch`` from starting, if one does."""
        held = self._tasks.get(task_id)
        return held.event if held and held.event.epoch >= epoch else None

    def commit(self, event: TaskEvent) -> None:
        """Note that the replicated log has an event."""
        held = self._tasks.get(event.task_id)
        if held is not None and held.event == event:
            self._tasks[event.task_id] = held._replace(committed=True)

    def acknowledgeable(
        self, statuses: list[TaskStatusBody], after_ms: int, now_ms: int
    ) -> list[list[str | int]]:
        """Return the reported endings that their target may forget.

        Not before ``after_ms``, when the lease of every start has surely ended: a
        start that was held back on the way would run a forgotten task again.
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
        """Forget committed endings that are old."""
        for task_id, held in list(self._tasks.items()):
            if held.committed and now_ms - held.ended_ms > RETENTION_MS:
                del self._tasks[task_id]

    def _is_committed(self, status: TaskStatusBody) -> bool:
        held = self._tasks.get(status["task_id"])
        if held is None or held.event.epoch < status["epoch"]:
            return False
        return held.committed or held.event.epoch > status["epoch"]
