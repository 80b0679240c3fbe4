"""State machine of the replicated log, stored in one database file."""

import logging
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import msgspec
from foxspring_model import COMMANDS, UNDECODABLE, CommandResult, Configuration

from foxspring_control._replication import LogEntry
from foxspring_control.state import _fleet_commands as fleet
from foxspring_control.state import _key_commands as keys
from foxspring_control.state import _operator_commands as operators
from foxspring_control.state import _task_commands as tasks
from foxspring_control.state._answers import idempotent
from foxspring_control.state._database import Database, snapshot_applied_index
from foxspring_control.state._prune import prune
from foxspring_control.state._records import Moment
from foxspring_control.state._settings import DEFAULT_STATE_SETTINGS, StateSettings
from foxspring_control.state._transaction import (
    APPLIED_INDEX,
    LAST_AT_MS,
    ParseConfiguration,
    ParsedConfiguration,
    StateChanges,
    Tables,
    Transaction,
)

_LOG = logging.getLogger(__name__)

STATE_FILE = "state.db"

CommandHandler = Callable[[Transaction, Any, Moment], CommandResult]
ChangeListener = Callable[[StateChanges], None]

_HANDLERS: dict[str, CommandHandler] = {
    "ApplyConfiguration": idempotent(operators.apply_configuration),
    "SubmitJob": idempotent(operators.submit_job),
    "CancelJobs": idempotent(operators.cancel_jobs),
    "DrainTarget": idempotent(operators.drain_target),
    "RecordMemberChange": operators.record_member_change,
    "RegisterTarget": fleet.register_target,
    "RemoveTarget": fleet.remove_target,
    "RegisterEntry": fleet.register_entry,
    "RemoveEntry": fleet.remove_entry,
    "AssignOwners": fleet.assign_owners,
    "PlaceTasks": tasks.place_tasks,
    "EvictTasks": tasks.evict_tasks,
    "RecordTaskEvents": tasks.record_task_events,
    "EndTasks": tasks.end_tasks,
    "ClaimKey": keys.claim_key,
    "CompleteKey": keys.complete_key,
}

_DECODERS: dict[str, msgspec.msgpack.Decoder[Any]] = {
    command.__name__: msgspec.msgpack.Decoder(command) for command in COMMANDS
}


class ControlState:
    """Durable state of the control group, as the log's state machine.

    ``parse`` parses a configuration's text and raises ValueError with a message
    that says what to fix. Its result must be the same on every member. Listeners
    run on the log's thread after each committed batch and must not block.
    """

    def __init__(
        self,
        folder: Path,
        parse: ParseConfiguration,
        settings: StateSettings = DEFAULT_STATE_SETTINGS,
    ) -> None:
        self.settings = settings
        self._database = Database(folder / STATE_FILE, settings.page_cache_kb)
        self._parsed = ParsedConfiguration(parse)
        self._listeners: list[ChangeListener] = []

    def subscribe(self, listener: ChangeListener) -> None:
        """Call ``listener`` with the changes of each batch from now on."""
        self._listeners.append(listener)

    def applied_index(self) -> int:
        """Return the index of the last entry applied, 0 if none."""
        with self.reading() as tables:
            return tables.counters.get(APPLIED_INDEX)

    def apply(self, entries: Sequence[LogEntry]) -> list[bytes]:
        """Apply entries in order in one transaction; return their JSON answers.

        An entry at or below the applied index is not applied again and is
        answered with an empty object.
        """
        with self._database.writing() as connection:
            transaction = Transaction(Tables(connection), self.settings, self._parsed)
            answers = [self._apply_entry(transaction, entry) for entry in entries]
        self._notify(transaction.changes())
        return answers

    def write_snapshot(self, path: Path) -> int:
        """Write and sync a snapshot to ``path``; return its applied index."""
        self._database.write_snapshot(path)
        return snapshot_applied_index(path)

    def install_snapshot(self, path: Path) -> None:
        """Replace the state with the snapshot at ``path``.

        Raises:
            ValueError: the file is not a valid snapshot, or is older than the state.
        """
        index, held = snapshot_applied_index(path), self.applied_index()
        if index < held:
            raise ValueError(
                f"snapshot {path} ends at index {index}, before the state at {held}"
            )
        self._database.install_snapshot(path)
        self._parsed = ParsedConfiguration(self._parsed.parse)
        _LOG.info("event=snapshot_installed index=%d previous=%d", index, held)
        self._notify(StateChanges(reset=True))

    def digest(self) -> str:
        """Return a digest of the state, equal on replicas with equal state."""
        return self._database.digest()

    @contextmanager
    def reading(self) -> Iterator[Tables]:
        """Run the block with a consistent view of the committed state."""
        with self._database.reading() as connection:
            yield Tables(connection)

    def configuration(self, tables: Tables) -> Configuration:
        """Return the configuration in force in ``tables``."""
        return ParsedConfiguration(self._parsed.parse).in_force(tables)

    def close(self) -> None:
        """Close the database file; committed state is kept."""
        self._database.close()

    def _apply_entry(self, transaction: Transaction, entry: LogEntry) -> bytes:
        counters = transaction.tables.counters
        if entry.log_index <= counters.get(APPLIED_INDEX):
            return b"{}"
        # A new leader's wall clock may be behind; time in the log never goes back.
        at_ms = max(entry.at_ms, counters.get(LAST_AT_MS))
        moment = Moment(entry.log_index, at_ms)
        result = _run(transaction, entry, moment)
        if entry.log_index % self.settings.prune_interval_entries == 0:
            prune(transaction, moment)
        counters.set(LAST_AT_MS, at_ms)
        counters.set(APPLIED_INDEX, entry.log_index)
        return msgspec.json.encode(result)

    def _notify(self, changes: StateChanges) -> None:
        if changes == StateChanges():
            return
        for listener in self._listeners:
            listener(changes)


def _run(transaction: Transaction, entry: LogEntry, moment: Moment) -> CommandResult:
    decoder = _DECODERS.get(entry.kind)
    if decoder is None:
        return CommandResult(status="rejected", reason=f"unknown kind {entry.kind!r}")
    try:
        command = decoder.decode(entry.body)
    except UNDECODABLE as error:
        reason = f"{entry.kind} body is malformed: {error}"
        return CommandResult(status="rejected", reason=reason)
    return _HANDLERS[entry.kind](transaction, command, moment)
