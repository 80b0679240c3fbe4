"""Start and stop messages to owners, resent until a task event confirms them."""

from collections.abc import Iterator
from typing import NamedTuple

from foxspring_model import (
    JobSpec,
    RunTask,
    StopTask,
    TargetInfo,
    Task,
    TaskKind,
    TaskState,
)


class PendingMessage(NamedTuple):
    """A message to the owner of ``target_id``; ``sent_ms`` is zero before sending."""

    target_id: str
    message: RunTask | StopTask
    sent_ms: int = 0


class PendingMessages:
    """Unconfirmed messages by task id; a sent message moves to the end."""

    def __init__(self) -> None:
        self.by_task: dict[str, PendingMessage] = {}

    def set(self, task_id: str, pending: PendingMessage | None) -> None:
        """Replace the task's message; an equal one keeps its time of sending."""
        held = self.by_task.get(task_id)
        if pending is None:
            self.by_task.pop(task_id, None)
        elif held is None or held.message != pending.message:
            self.by_task[task_id] = pending

    def due(
        self, now_ms: int, interval_ms: int, limit: int
    ) -> Iterator[PendingMessage]:
        """Yield up to ``limit`` messages that are due and record them as sent."""
        due: list[str] = []
        for task_id, pending in self.by_task.items():
            if len(due) >= limit:
                break
            if pending.sent_ms == 0 or now_ms - pending.sent_ms >= interval_ms:
                due.append(task_id)
        for task_id in due:
            pending = self.by_task.pop(task_id)
            self.by_task[task_id] = pending._replace(sent_ms=now_ms)
            yield pending


def pending_message_for(
    task: Task, spec: JobSpec | None, owner_epoch: int, keep_checkpoint: bool
) -> PendingMessage | None:
    """Return the message that the target's owner needs; None if there is none.

    ``spec`` is the job of a batch task. With ``keep_checkpoint``, a stop message
    asks for a checkpoint.
    """
    if task.state is TaskState.STARTING:
        return PendingMessage(task.target_id, _run(task, spec, owner_epoch))
    if task.state is TaskState.STOPPING:
        stop = StopTask(task.task_id, task.epoch, task.target_id, keep_checkpoint)
        return PendingMessage(task.target_id, stop)
    return None


def service_of(task: Task) -> str:
    """Return the service that the task is a replica of; empty for a batch task."""
    return task.work_class if task.kind is TaskKind.SERVICE else ""


def is_leaving(info: TargetInfo, draining: bool) -> bool:
    """Return whether the target must get no new work."""
    return info.leaving or draining


def _run(task: Task, spec: JobSpec | None, owner_epoch: int) -> RunTask:
    return RunTask(
        task_id=task.task_id,
        job_id=task.job_id,
        epoch=task.epoch,
        target_id=task.target_id,
        owner_epoch=owner_epoch,
        service=service_of(task),
        resources=task.resources,
        priority=task.priority,
        work_class=task.work_class,
        payload=spec.payload if spec is not None else "",
        checkpoint=task.checkpoint,
    )
