"""Moving tasks off targets that drain or leave, at a bounded pace."""

from collections.abc import Callable, Iterable

from foxspring_model import Eviction, TaskKind, TaskState

from foxspring_control.state import TaskRecord

REASON_DRAINING = "its target is draining or leaving"


def next_drain_evictions(
    placed: Iterable[TaskRecord],
    replicas_of: Callable[[str], list[TaskRecord]],
    limit: int,
) -> tuple[Eviction, ...]:
    """Return up to ``limit`` running tasks to move away now.

    ``placed`` are the tasks on departing targets and ``replicas_of`` gives all
    replicas of a service's job. A replica moves only while every other one of
    its service runs, so that a service loses at most one at a time.
    """
    evictions: list[Eviction] = []
    moving: set[str] = set()
    for record in placed:
        task = record.task
        if len(evictions) >= limit or task.state is not TaskState.RUNNING:
            continue
        if task.kind is TaskKind.SERVICE:
            if task.job_id in moving or not _all_run(replicas_of(task.job_id)):
                continue
            moving.add(task.job_id)
        evictions.append(Eviction(task.task_id, task.epoch, REASON_DRAINING))
    return tuple(evictions)


def _all_run(replicas: list[TaskRecord]) -> bool:
    return all(record.task.state is TaskState.RUNNING for record in replicas)
