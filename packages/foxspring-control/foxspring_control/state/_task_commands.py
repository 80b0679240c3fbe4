"""Commands that place, evict, end and report tasks."""

from foxspring_model import (
    CHECKS,
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
from foxspring_control.state._work import Work

_OK = CommandResult(status="ok")


def place_tasks(work: Work, command: PlaceTasks, moment: Moment) -> CommandResult:
    """Place queued tasks; a placement that no longer holds is skipped."""
    touched: dict[str, None] = {}
    for placement in command.placements:
        if _place(work, placement, moment):
            touched[placement.target_id] = None
    for target_id in touched:
        _check_capacity(work, target_id)
    return _OK


def evict_tasks(work: Work, command: EvictTasks, moment: Moment) -> CommandResult:
    """Begin to stop placed tasks so that they are queued again."""
    for eviction in command.evictions:
        record = work.tables.tasks.get(eviction.task_id)
        if record is None:
            continue
        after = task_rules.evict(record, eviction.epoch, eviction.reason, moment.at_ms)
        work.save_task(record, after, moment)
    return _OK


def record_task_events(
    work: Work, command: RecordTaskEvents, moment: Moment
) -> CommandResult:
    """Apply what owners learnt, in the order given."""
    for event in command.events:
        _record_event(work, event, command.entry_id, moment)
    return _OK


def end_tasks(work: Work, command: EndTasks, moment: Moment) -> CommandResult:
    """Give up on queued tasks that can never run."""
    for task_id in command.task_ids:
        record = work.tables.tasks.get(task_id)
        if record is None:
            continue
        after = task_rules.give_up(record, command.reason, moment.at_ms)
        work.save_task(record, after, moment)
    return _OK


def _place(work: Work, placement: Placement, moment: Moment) -> bool:
    record = work.tables.tasks.get(placement.task_id)
    target = work.tables.targets.get(placement.target_id)
    if record is None or target is None or not target.owner:
        return False
    if target.draining or target.info.leaving:
        return False
    held = work.tables.tasks.held_on(placement.target_id)
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
    work.save_task(record, after, moment)
    return True


def _record_event(work: Work, event: TaskEvent, entry_id: str, moment: Moment) -> None:
    record = work.tables.tasks.get(event.task_id)
    if record is None:
        return
    target = work.tables.targets.get(record.task.target_id)
    owner = target.owner if target is not None else ""
    reporter = task_rules.Reporter(
        owns=not entry_id or entry_id == owner,
        owner_epoch=target.owner_epoch if target is not None else 0,
    )
    after = task_rules.apply_event(record, event, reporter, moment.at_ms)
    work.save_task(record, after, moment)


def _check_capacity(work: Work, target_id: str) -> None:
    target = work.tables.targets.get(target_id)
    if target is None:
        return
    held = work.tables.tasks.held_on(target_id)
    fits = held.fits_in(target.info.capacity)
    detail = f"target={target_id} held={held} capacity={target.info.capacity}"
    CHECKS.check(Invariant.CAPACITY, fits, detail)
