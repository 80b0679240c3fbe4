"""Eviction of tasks from draining or leaving targets, at a limited rate."""

from collections.abc import Callable, Iterable

from foxspring_model import Eviction, TaskKind, TaskState

from foxspring_control.state import TaskRecord

REASON_DRAINING = "its target is draining or leaving"


def next_drain_evictions(
    placed: Iterable[TaskRecord],
    replicas_of: Callable[[str], list[TaskRecord]],
    limit: int,
) -> tuple[Eviction, ...]:
    """Return up to ``limit`` evictions of running tasks.

    ``placed`` are the tasks on draining or leaving targets; ``replicas_of``
    returns all replicas of a service's job. A replica is evicted only while all
    replicas of its service run, so that at most one at a time is down.
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
