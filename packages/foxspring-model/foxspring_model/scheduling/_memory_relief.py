"""Which tasks leave a target before its memory overflows."""

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

    Tasks over their declared memory go first, the furthest over before the
    others, even ones that would not be evicted by choice; then the cheapest.
    What is being stopped already counts as freed.
    """
    freed = sum(
        record.held.memory_mb for record in records if is_leaving(record, now_ms)
    )
    chosen: list[TaskRecord] = []
    for record in _offenders(records, now_ms) + cheapest_first(records, now_ms):
        if freed >= amount_mb:
            break
        if record not in chosen:
            chosen.append(record)
            freed += record.held.memory_mb
    return chosen


def excess_mb(record: TaskRecord) -> int:
    """Return how much more memory a task uses than was declared for it."""
    return record.held.memory_mb - record.group.shape.resources.memory_mb


def _offenders(records: list[TaskRecord], now_ms: int) -> list[TaskRecord]:
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
