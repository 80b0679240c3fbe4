"""Commands for targets, entries and target ownership."""

from foxspring_model import (
    AssignOwners,
    CommandResult,
    RegisterEntry,
    RegisterTarget,
    RemoveEntry,
    RemoveTarget,
    Verdict,
)

from foxspring_control.state._records import Moment, TargetRecord
from foxspring_control.state._transaction import OWNERSHIP_VERSION, Transaction

_OK = CommandResult(status="ok")


def register_target(
    transaction: Transaction, command: RegisterTarget, moment: Moment
) -> CommandResult:
    """Register or update a target; reject an older incarnation."""
    info = command.info
    known = transaction.tables.targets.get(info.target_id)
    if known is None:
        # No owner epoch exceeds the ownership version, so this epoch is not
        # below those of an earlier registration with the same id.
        version = transaction.tables.counters.get(OWNERSHIP_VERSION)
        transaction.save_target(TargetRecord(info, owner_epoch=version))
        return _OK
    if info.incarnation < known.info.incarnation:
        return _stale(info.target_id, info.incarnation, known.info.incarnation)
    if info != known.info:
        transaction.save_target(known._replace(info=info))
    return _OK


def remove_target(
    transaction: Transaction, command: RemoveTarget, moment: Moment
) -> CommandResult:
    """Remove a target; reject this while tasks are placed on it."""
    known = transaction.tables.targets.get(command.target_id)
    if known is None:
        return _OK
    if known.info.incarnation != command.incarnation:
        return _stale(command.target_id, command.incarnation, known.info.incarnation)
    if transaction.tables.tasks.on_target(command.target_id):
        reason = f"target {command.target_id} still holds tasks; stop them first"
        return CommandResult(status="rejected", reason=reason)
    version = transaction.tables.counters.increment(OWNERSHIP_VERSION)
    transaction.tables.targets.remove(command.target_id, version)
    transaction.tables.targets.trim_removals(transaction.settings.removed_target_limit)
    transaction.changed_targets[command.target_id] = None
    return _OK


def register_entry(
    transaction: Transaction, command: RegisterEntry, moment: Moment
) -> CommandResult:
    """Register or update an entry.

    A new incarnation loses the targets and key claims of the previous one.
    """
    entry = command.entry
    known = transaction.tables.entries.get(entry.entry_id)
    if known is not None and entry.incarnation < known.incarnation:
        return _stale(entry.entry_id, entry.incarnation, known.incarnation)
    if entry == known:
        return _OK
    if known is not None and entry.incarnation > known.incarnation:
        _release_entry(transaction, entry.entry_id, moment)
    transaction.tables.entries.put(entry)
    _entries_changed(transaction)
    return _OK


def remove_entry(
    transaction: Transaction, command: RemoveEntry, moment: Moment
) -> CommandResult:
    """Remove an entry whose lease has expired and release what it held."""
    known = transaction.tables.entries.get(command.entry_id)
    if known is None:
        return _OK
    if known.incarnation != command.incarnation:
        return _stale(command.entry_id, command.incarnation, known.incarnation)
    _release_entry(transaction, command.entry_id, moment)
    transaction.tables.entries.delete(command.entry_id)
    _entries_changed(transaction)
    return _OK


def assign_owners(
    transaction: Transaction, command: AssignOwners, moment: Moment
) -> CommandResult:
    """Change the owners of targets; skip assignments that are no longer valid."""
    for assignment in command.assignments:
        target = transaction.tables.targets.get(assignment.target_id)
        if target is None or target.owner == assignment.entry_id:
            continue
        if assignment.entry_id:
            entry = transaction.tables.entries.get(assignment.entry_id)
            if entry is None or entry.draining:
                continue
        _set_owner(transaction, target, assignment.entry_id)
    return _OK


def _set_owner(transaction: Transaction, target: TargetRecord, owner: str) -> None:
    epoch = target.owner_epoch + 1
    transaction.save_target(target._replace(owner=owner, owner_epoch=epoch))


def _release_entry(transaction: Transaction, entry_id: str, moment: Moment) -> None:
    """Release the targets and open key claims of an entry process that has ended.

    The owner epochs are not incremented. The targets have no owner until the
    next assignment, so the next owner can tell that its direct predecessor is
    the process that has ended.
    """
    for target in transaction.tables.targets.owned_by(entry_id):
        transaction.save_target(target._replace(owner=""))
    for key in transaction.tables.keys.open_of_entry(entry_id):
        released = key._replace(done=True, verdict=str(Verdict.MAY_HAVE_RUN))
        transaction.tables.keys.put(released, moment.log_index)


def _entries_changed(transaction: Transaction) -> None:
    transaction.tables.counters.increment(OWNERSHIP_VERSION)
    transaction.changed_entries = True


def _stale(name: str, requested: int, known: int) -> CommandResult:
    reason = f"{name} incarnation {requested} is not the known one, {known}"
    return CommandResult(status="rejected", reason=reason)
