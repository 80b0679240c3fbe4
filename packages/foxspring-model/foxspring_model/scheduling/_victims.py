"""Which placed tasks give way, and in which order."""

from collections.abc import Iterable
from enum import IntEnum

from foxspring_model._job import Priority, TaskKind, TaskState
from foxspring_model._resources import Resources
from foxspring_model.scheduling._records import TaskRecord


class Standing(IntEnum):
    """How unwilling the scheduler is to evict a task."""

    NORMAL = 0
    EVICTED_BEFORE = 1
    LONG = 2


def may_evict(record: TaskRecord, now_ms: int) -> bool:
    """Tell whether a task may be evicted by choice.

    Services, urgent work and tasks that are not running stay, and so does a
    long task whose last run was already ended by an eviction.
    """
    shape = record.group.shape
    if record.state is not TaskState.RUNNING or record.evicting_until_ms > now_ms:
        return False
    if shape.kind is TaskKind.SERVICE or shape.priority is Priority.URGENT:
        return False
    return not (shape.priority is Priority.LONG and record.last_run_evicted)


def eviction_cost(record: TaskRecord, now_ms: int) -> tuple[Standing, int]:
    """Return the standing and the milliseconds of work that would be lost."""
    standing = Standing.NORMAL
    if record.group.shape.priority is Priority.LONG:
        standing = Standing.LONG
    elif record.last_run_evicted:
        standing = Standing.EVICTED_BEFORE
    return standing, max(0, now_ms - record.saved_ms)


def cheapest_first(records: Iterable[TaskRecord], now_ms: int) -> list[TaskRecord]:
    """Return the tasks that may be evicted, the cheapest first."""
    allowed = [record for record in records if may_evict(record, now_ms)]
    allowed.sort(key=lambda record: (eviction_cost(record, now_ms), record.task_id))
    return allowed


def is_leaving(record: TaskRecord, now_ms: int) -> bool:
    """Tell whether a placed task is being stopped."""
    return record.state is TaskState.STOPPING or record.evicting_until_ms > now_ms


def victims_for(
    need: Resources, free: Resources, records: list[TaskRecord]
) -> list[TaskRecord] | None:
    """Return the first of ``records`` whose end makes room for ``need``.

    ``records`` come cheapest first; one that helps no resource that is short is
    left alone. Returns ``None`` if all of them together are not enough.
    """
    chosen: list[TaskRecord] = []
    for record in records:
        if need.fits_in(free):
            break
        if _helps(record.held, need, free):
            chosen.append(record)
            free = free.plus(record.held)
    return chosen if need.fits_in(free) else None


def _helps(held: Resources, need: Resources, free: Resources) -> bool:
    amounts = zip(held, need, free, strict=True)
    return any(amount and wanted > left for amount, wanted, left in amounts)
