"""Selection of the placed tasks to evict, in order of cost."""

from collections.abc import Iterable
from enum import IntEnum

from foxspring_model._job import Priority, TaskKind, TaskState
from foxspring_model._resources import Resources
from foxspring_model.scheduling._records import TaskRecord


class EvictionTier(IntEnum):
    """Order in which tasks are evicted; the lowest tier goes first."""

    NORMAL = 0
    EVICTED_BEFORE = 1
    LONG = 2


def may_evict(record: TaskRecord, now_ms: int) -> bool:
    """Return whether a task may be evicted in favour of other work.

    Service replicas, urgent tasks and tasks that are not running may not, and
    neither may a long task whose last run was ended by an eviction.
    """
    shape = record.group.shape
    if record.state is not TaskState.RUNNING or record.evicting_until_ms > now_ms:
        return False
    if shape.kind is TaskKind.SERVICE or shape.priority is Priority.URGENT:
        return False
    return not (shape.priority is Priority.LONG and record.last_run_evicted)


def eviction_cost(record: TaskRecord, now_ms: int) -> tuple[EvictionTier, int]:
    """Return the eviction tier and the milliseconds of work that would be lost."""
    tier = EvictionTier.NORMAL
    if record.group.shape.priority is Priority.LONG:
        tier = EvictionTier.LONG
    elif record.last_run_evicted:
        tier = EvictionTier.EVICTED_BEFORE
    return tier, max(0, now_ms - record.saved_ms)


def cheapest_first(records: Iterable[TaskRecord], now_ms: int) -> list[TaskRecord]:
    """Return the tasks that may be evicted, cheapest first."""
    allowed = [record for record in records if may_evict(record, now_ms)]
    allowed.sort(key=lambda record: (eviction_cost(record, now_ms), record.task_id))
    return allowed


def is_leaving(record: TaskRecord, now_ms: int) -> bool:
    """Return whether a placed task is being stopped or about to be evicted."""
    return record.state is TaskState.STOPPING or record.evicting_until_ms > now_ms


def victims_for(
    need: Resources, free: Resources, records: list[TaskRecord]
) -> list[TaskRecord] | None:
    """Return the first tasks of ``records`` whose eviction lets ``need`` fit.

    ``records`` must be sorted cheapest first. A task that holds none of the
    resources that are short is skipped. Returns ``None`` if evicting all of them
    is not enough.
    """
    chosen: list[TaskRecord] = []
    for record in records:
        if need.fits_in(free):
            break
        if _frees_shortage(record.held, need, free):
            chosen.append(record)
            free = free.plus(record.held)
    return chosen if need.fits_in(free) else None


def _frees_shortage(held: Resources, need: Resources, free: Resources) -> bool:
    amounts = zip(held, need, free, strict=True)
    return any(amount and needed > left for amount, needed, left in amounts)
