"""Commands about targets, entries and who owns which target."""

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
from foxspring_control.state._work import OWNERSHIP_VERSION, Work

_OK = CommandResult(status="ok")


def register_target(
    work: Work, command: RegisterTarget, moment: Moment
) -> CommandResult:
    """Record what a target announced; an older incarnation changes nothing."""
    info = command.info
    known = work.tables.targets.get(info.target_id)
    if known is None:
        # Every owner epoch so far is at most the version, so an earlier
        # registration under this id had none above it.
        version = work.tables.counters.get(OWNERSHIP_VERSION)
        work.save_target(TargetRecord(info, owner_epoch=version))
        return _OK
    if info.incarnation < known.info.incarnation:
        return _stale(info.target_id, info.incarnation, known.info.incarnation)
    if info != known.info:
        work.save_target(known._replace(info=info))
    return _OK


def remove_target(work: Work, command: RemoveTarget, moment: Moment) -> CommandResult:
    """Forget a silent target that holds no task any more."""
    known = work.tables.targets.get(command.target_id)
    if known is None:
        return _OK
    if known.info.incarnation != command.incarnation:
        return _stale(command.target_id, command.incarnation, known.info.incarnation)
    if work.tables.tasks.on_target(command.target_id):
        reason = f"target {command.target_id} still holds tasks; stop them first"
        return CommandResult(status="rejected", reason=reason)
    version = work.tables.counters.increment(OWNERSHIP_VERSION)
    work.tables.targets.remove(command.target_id, version)
    work.tables.targets.keep_removals(work.settings.removed_target_limit)
    work.changed_targets[command.target_id] = None
    return _OK


def register_entry(work: Work, command: RegisterEntry, moment: Moment) -> CommandResult:
    """Record an entry; a new incarnation gives up all that the last one held."""
    entry = command.entry
    known = work.tables.entries.get(entry.entry_id)
    if known is not None and entry.incarnation < known.incarnation:
        return _stale(entry.entry_id, entry.incarnation, known.incarnation)
    if entry == known:
        return _OK
    if known is not None and entry.incarnation > known.incarnation:
        _give_up(work, entry.entry_id, moment)
    work.tables.entries.put(entry)
    _entries_changed(work)
    return _OK


def remove_entry(work: Work, command: RemoveEntry, moment: Moment) -> CommandResult:
    """Forget an entry whose lease has surely ended, with all that it held."""
    known = work.tables.entries.get(command.entry_id)
    if known is None:
        return _OK
    if known.incarnation != command.incarnation:
        return _stale(command.entry_id, command.incarnation, known.incarnation)
    _give_up(work, command.entry_id, moment)
    work.tables.entries.delete(command.entry_id)
    _entries_changed(work)
    return _OK


def assign_owners(work: Work, command: AssignOwners, moment: Moment) -> CommandResult:
    """Change owners; an assignment that no longer holds is skipped."""
    for assignment in command.assignments:
        target = work.tables.targets.get(assignment.target_id)
        if target is None or target.owner == assignment.entry_id:
            continue
        if assignment.entry_id:
            entry = work.tables.entries.get(assignment.entry_id)
            if entry is None or entry.draining:
                continue
        _set_owner(work, target, assignment.entry_id)
    return _OK


def _set_owner(work: Work, target: TargetRecord, owner: str) -> None:
    epoch = target.owner_epoch + 1
    work.save_target(target._replace(owner=owner, owner_epoch=epoch))


def _give_up(work: Work, entry_id: str, moment: Moment) -> None:
    """Take an ended entry process's targets and open key claims from it.

    The owner epochs stay as they are: nobody owns the targets meanwhile, and so
    the next owner can tell that its forerunner is the one that has ended.
    """
    for target in work.tables.targets.owned_by(entry_id):
        work.save_target(target._replace(owner=""))
    for key in work.tables.keys.open_of_entry(entry_id):
        given_up = key._replace(done=True, verdict=str(Verdict.MAY_HAVE_RUN))
        work.tables.keys.put(given_up, moment.log_index)


def _entries_changed(work: Work) -> None:
    work.tables.counters.increment(OWNERSHIP_VERSION)
    work.changed_entries = True


def _stale(name: str, asked: int, known: int) -> CommandResult:
    reason = f"{name} incarnation {asked} is not the known one, {known}"
    return CommandResult(status="rejected", reason=reason)
