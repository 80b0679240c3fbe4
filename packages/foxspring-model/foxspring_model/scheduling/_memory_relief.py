"""Selection of the tasks to evict before a target runs out of memory."""

from foxspring_model._job import Priority, TaskKind, TaskState
from foxspring_model.scheduling._records import TaskRecord
from foxspring_model.scheduling._victims import (
    cheapest_first,
    eviction_cost,
    is_leaving,
)


def memory_victims(
    records: list[TaskRecord], amount_mb: int, now_ms: int
) -> list[TaskRecord]:
    """Return the tasks to evict so that ``amount_mb`` is freed.

    Running batch tasks that use more memory than declared come first, those of
    urgent jobs last among them and then by descending excess, even if they are
    otherwise protected from eviction. The cheapest evictable tasks follow. Memory
    of tasks that are being stopped counts as freed.
    """
    freed = sum(
        record.held.memory_mb for record in records if is_leaving(record, now_ms)
    )
    chosen: list[TaskRecord] = []
    for record in _over_declared_memory(records, now_ms) + cheapest_first(
        records, now_ms
    ):
        if freed >= amount_mb:
            break
        if record not in chosen:
            chosen.append(record)
            freed += record.held.memory_mb
    return chosen


def excess_mb(record: TaskRecord) -> int:
    """Return by how much a task's measured memory exceeds the declared amount."""
    return record.held.memory_mb - record.group.shape.resources.memory_mb


def _over_declared_memory(records: list[TaskRecord], now_ms: int) -> list[TaskRecord]:
    found = [
        record
        for record in records
        if excess_mb(record) > 0
        and record.state is TaskState.RUNNING
        and not is_leaving(record, now_ms)
        and record.group.shape.kind is TaskKind.BATCH
    ]
    found.sort(
        key=lambda record: (
            record.group.shape.priority is Priority.URGENT,
            -excess_mb(record),
            eviction_cost(record, now_ms),
        )
    )
    return found
