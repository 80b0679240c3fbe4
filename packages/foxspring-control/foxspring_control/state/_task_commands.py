"""Commands to place, evict and end tasks, and to record their events."""

from foxspring_model import (
    INVARIANT_CHECKS,
    CommandResult,
    EndTasks,
    EvictTasks,
    Invariant,
    Placement,
    PlaceTasks,
    RecordTaskEvents,
    TaskEvent,
)

from foxspring_control.state import _task_rules as task_rules
from foxspring_control.state._records import Moment
from foxspring_control.state._transaction import Transaction

_OK = CommandResult(status="ok")


def place_tasks(
    transaction: Transaction, command: PlaceTasks, moment: Moment
) -> CommandResult:
    """Place queued tasks; skip placements that are no longer valid."""
    touched: dict[str, None] = {}
    for placement in command.placements:
        if _place(transaction, placement, moment):
            touched[placement.target_id] = None
    for target_id in touched:
        _check_capacity(transaction, target_id)
    return _OK


def evict_tasks(
    transaction: Transaction, command: EvictTasks, moment: Moment
) -> CommandResult:
    """Stop placed tasks and queue them again once they have stopped."""
    for eviction in command.evictions:
        record = transaction.tables.tasks.get(eviction.task_id)
        if record is None:
            continue
        after = task_rules.evict(record, eviction.epoch, eviction.reason, moment.at_ms)
        transaction.save_task(record, after, moment)
    return _OK


def record_task_events(
    transaction: Transaction, command: RecordTaskEvents, moment: Moment
) -> CommandResult:
    """Apply the task events in the given order."""
    for event in command.events:
        _record_event(transaction, event, command.entry_id, moment)
    return _OK


def end_tasks(
    transaction: Transaction, command: EndTasks, moment: Moment
) -> CommandResult:
    """Fail queued batch tasks that can never run."""
    for task_id in command.task_ids:
        record = transaction.tables.tasks.get(task_id)
        if record is None:
            continue
        after = task_rules.fail_unplaceable(record, command.reason, moment.at_ms)
        transaction.save_task(record, after, moment)
    return _OK


def _place(transaction: Transaction, placement: Placement, moment: Moment) -> bool:
    record = transaction.tables.tasks.get(placement.task_id)
    target = transaction.tables.targets.get(placement.target_id)
    if record is None or target is None or not target.owner:
        return False
    if target.draining or target.info.leaving:
        return False
    held = transaction.tables.tasks.reserved_on(placement.target_id)
    if not held.plus(record.task.resources).fits_in(target.info.capacity):
        return False
    after = task_rules.place(
        record,
        placement.target_id,
        placement.epoch,
        target.owner_epoch,
        moment.at_ms,
    )
    if after is None:
        return False
    transaction.save_task(record, after, moment)
    return True


def _record_event(
    transaction: Transaction, event: TaskEvent, entry_id: str, moment: Moment
) -> None:
    record = transaction.tables.tasks.get(event.task_id)
    if record is None:
        return
    target = transaction.tables.targets.get(record.task.target_id)
    owner = target.owner if target is not None else ""
    reporter = task_rules.Reporter(
        owns=not entry_id or entry_id == owner,
        owner_epoch=target.owner_epoch if target is not None else 0,
    )
    after = task_rules.apply_event(record, event, reporter, moment.at_ms)
    transaction.save_task(record, after, moment)


def _check_capacity(transaction: Transaction, target_id: str) -> None:
    target = transaction.tables.targets.get(target_id)
    if target is None:
        return
    held = transaction.tables.tasks.reserved_on(target_id)
    fits = held.fits_in(target.info.capacity)
    detail = f"target={target_id} held={held} capacity={target.info.capacity}"
    INVARIANT_CHECKS.check(Invariant.CAPACITY, fits, detail)
