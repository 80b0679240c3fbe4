"""Access to the records in the database, one class per table.

Each instance uses the connection of the current transaction.
"""

import sqlite3
from collections.abc import Iterator
from typing import Any

import msgspec
from foxspring_model import EntryInfo, Resources

from foxspring_control.state._records import (
    ConfigurationRecord,
    JobRecord,
    TargetRecord,
    TaskRecord,
)

_ENCODER = msgspec.msgpack.Encoder()
_TASK = msgspec.msgpack.Decoder(TaskRecord)
_JOB = msgspec.msgpack.Decoder(JobRecord)
_TARGET = msgspec.msgpack.Decoder(TargetRecord)
_CAPACITY = msgspec.msgpack.Decoder(Resources)
_ENTRY = msgspec.msgpack.Decoder(EntryInfo)
_CONFIGURATION = msgspec.msgpack.Decoder(ConfigurationRecord)

_REMOVALS_KEPT_FROM = "removals_kept_from"

NO_CONFIGURATION = ConfigurationRecord(0, "", "", "", 0)


class Counters:
    """Named integers; a counter that was never set is zero."""

    def __init__(self, connection: sqlite3.Connection) -> None:
        self._connection = connection

    def get(self, name: str) -> int:
        """Return the counter's value."""
        query = "SELECT value FROM counter WHERE name = ?"
        row = self._connection.execute(query, (name,)).fetchone()
        return int(row[0]) if row else 0

    def set(self, name: str, value: int) -> None:
        """Store the counter's value."""
        self._connection.execute("REPLACE INTO counter VALUES (?, ?)", (name, value))

    def increment(self, name: str) -> int:
        """Add one and return the new value."""
        value = self.get(name) + 1
        self.set(name, value)
        return value


class TaskTable:
    """Tasks by id, job, target and state."""

    def __init__(self, connection: sqlite3.Connection) -> None:
        self._connection = connection

    def get(self, task_id: str) -> TaskRecord | None:
        """Return the task, or None."""
        query = "SELECT body FROM task WHERE task_id = ?"
        row = self._connection.execute(query, (task_id,)).fetchone()
        return _TASK.decode(row[0]) if row else None

    def put(self, record: TaskRecord) -> None:
        """Add or replace the task."""
        task = record.task
        self._connection.execute(
            "REPLACE INTO task VALUES (?, ?, ?, ?, ?, ?)",
            (
                task.task_id,
                task.job_id,
                str(task.kind),
                str(task.state),
                task.target_id,
                _ENCODER.encode(record),
            ),
        )

    def delete(self, task_id: str) -> None:
        """Remove the task."""
        self._connection.execute("DELETE FROM task WHERE task_id = ?", (task_id,))

    def of_job(self, job_id: str) -> list[TaskRecord]:
        """Return the job's tasks."""
        return list(self._select("job_id = ? ORDER BY task_id", (job_id,)))

    def on_target(self, target_id: str) -> list[TaskRecord]:
        """Return the tasks that are placed on the target."""
        where = "target_id = ? AND target_id <> '' ORDER BY task_id"
        return list(self._select(where, (target_id,)))

    def reserved_on(self, target_id: str) -> Resources:
        """Return the resources reserved by all tasks placed on the target."""
        held = Resources()
        for record in self.on_target(target_id):
            held = held.plus(record.task.resources)
        return held

    def in_state(self, state: str) -> Iterator[TaskRecord]:
        """Iterate lazily over the tasks in an open state."""
        return self._select("state = ?", (state,))

    def page(self, state: str, kind: str, after: str, limit: int) -> list[TaskRecord]:
        """Return up to ``limit`` tasks in an open state with ids above ``after``."""
        where = "state = ? AND kind = ? AND task_id > ? ORDER BY task_id LIMIT ?"
        return list(self._select(where, (state, kind, after, limit)))

    def replicas(self) -> list[TaskRecord]:
        """Return all service replicas."""
        return list(self._select("kind = 'service' ORDER BY task_id", ()))

    def job_ids_on(self, target_id: str, kind: str, state: str) -> list[str]:
        """Return the job ids of the tasks of a kind and state on the target."""
        query = (
            "SELECT DISTINCT job_id FROM task WHERE target_id = ?"
            " AND target_id <> '' AND kind = ? AND state = ? ORDER BY job_id"
        )
        rows = self._connection.execute(query, (target_id, kind, state))
        return [str(row[0]) for row in rows]

    def count_by_state(self, job_id: str = "") -> dict[str, int]:
        """Return the number of tasks in each state, in one job or in all jobs."""
        where, values = ("WHERE job_id = ?", (job_id,)) if job_id else ("", ())
        query = f"SELECT state, count(*) FROM task {where} GROUP BY state"
        return {str(s): int(n) for s, n in self._connection.execute(query, values)}

    def _select(self, where: str, values: tuple[Any, ...]) -> Iterator[TaskRecord]:
        query = f"SELECT body FROM task WHERE {where}"
        for row in self._connection.execute(query, values):
            yield _TASK.decode(row[0])


class JobTable:
    """Jobs by number and id."""

    def __init__(self, connection: sqlite3.Connection) -> None:
        self._connection = connection

    def get(self, job_id: str) -> JobRecord | None:
        """Return the job, or None."""
        query = "SELECT body FROM job WHERE job_id = ?"
        row = self._connection.execute(query, (job_id,)).fetchone()
        return _JOB.decode(row[0]) if row else None

    def add(self, number: int, record: JobRecord) -> None:
        """Add a new job."""
        team, ended_ms = record.spec.team, record.ended_ms
        self._connection.execute(
            "INSERT INTO job VALUES (?, ?, ?, ?, ?)",
            (number, record.job_id, team, ended_ms, _ENCODER.encode(record)),
        )

    def update(self, record: JobRecord) -> None:
        """Replace an existing job."""
        self._connection.execute(
            "UPDATE job SET ended_ms = ?, body = ? WHERE job_id = ?",
            (record.ended_ms, _ENCODER.encode(record), record.job_id),
        )

    def count_open_of_team(self, team: str) -> int:
        """Return the number of the team's jobs that have not ended."""
        query = "SELECT count(*) FROM job WHERE ended_ms = 0 AND team = ?"
        return int(self._connection.execute(query, (team,)).fetchone()[0])

    def page(self, team: str, before: int, limit: int) -> list[tuple[int, JobRecord]]:
        """Return up to ``limit`` jobs numbered below ``before``, newest first."""
        query = (
            "SELECT number, body FROM job WHERE number < ? AND (? = '' OR team = ?)"
            " ORDER BY number DESC LIMIT ?"
        )
        rows = self._connection.execute(query, (before, team, team, limit))
        return [(int(row[0]), _JOB.decode(row[1])) for row in rows]


class TargetTable:
    """Targets by id, owner and the version of their last change."""

    def __init__(self, connection: sqlite3.Connection) -> None:
        self._connection = connection

    def get(self, target_id: str) -> TargetRecord | None:
        """Return the target, or None."""
        query = "SELECT body FROM target WHERE target_id = ?"
        row = self._connection.execute(query, (target_id,)).fetchone()
        return _TARGET.decode(row[0]) if row else None

    def put(self, record: TargetRecord) -> None:
        """Add or replace the target."""
        self._connection.execute(
            "REPLACE INTO target VALUES (?, ?, ?, ?, ?)",
            (
                record.info.target_id,
                record.owner,
                record.version,
                _ENCODER.encode(record.info.capacity),
                _ENCODER.encode(record),
            ),
        )

    def remove(self, target_id: str, version: int) -> None:
        """Remove the target and record its removal at ``version``."""
        self._connection.execute("DELETE FROM target WHERE target_id = ?", (target_id,))
        self._connection.execute(
            "INSERT INTO removed_target VALUES (?, ?)", (version, target_id)
        )

    def every(self) -> Iterator[TargetRecord]:
        """Iterate over all targets in order of id."""
        query = "SELECT body FROM target ORDER BY target_id"
        for row in self._connection.execute(query):
            yield _TARGET.decode(row[0])

    def capacities(self) -> list[Resources]:
        """Return the distinct capacities of all targets."""
        query = "SELECT DISTINCT capacity FROM target ORDER BY capacity"
        rows = self._connection.execute(query)
        return [_CAPACITY.decode(row[0]) for row in rows]

    def owned_by(self, entry_id: str) -> list[TargetRecord]:
        """Return the targets that the entry owns, in order of id."""
        query = "SELECT body FROM target WHERE owner = ? ORDER BY target_id"
        rows = self._connection.execute(query, (entry_id,))
        return [_TARGET.decode(row[0]) for row in rows]

    def changed_since(self, version: int) -> list[TargetRecord]:
        """Return the targets that changed after ``version``."""
        query = "SELECT body FROM target WHERE version > ? ORDER BY target_id"
        rows = self._connection.execute(query, (version,))
        return [_TARGET.decode(row[0]) for row in rows]

    def removed_since(self, version: int) -> list[str]:
        """Return the ids of targets removed after ``version``; some may exist again."""
        query = "SELECT DISTINCT target_id FROM removed_target WHERE version > ?"
        rows = self._connection.execute(f"{query} ORDER BY target_id", (version,))
        return [str(row[0]) for row in rows]

    def removals_kept_from(self) -> int:
        """Return the version after which all removals are still recorded."""
        return Counters(self._connection).get(_REMOVALS_KEPT_FROM)

    def trim_removals(self, limit: int) -> None:
        """Delete all but the newest ``limit`` removals."""
        query = "SELECT version FROM removed_target ORDER BY version DESC"
        row = self._connection.execute(f"{query} LIMIT 1 OFFSET ?", (limit,)).fetchone()
        if row is None:
            return
        self._connection.execute("DELETE FROM removed_target WHERE version <= ?", row)
        Counters(self._connection).set(_REMOVALS_KEPT_FROM, int(row[0]))


class EntryTable:
    """Registered entries by id."""

    def __init__(self, connection: sqlite3.Connection) -> None:
        self._connection = connection

    def get(self, entry_id: str) -> EntryInfo | None:
        """Return the entry, or None."""
        query = "SELECT body FROM entry WHERE entry_id = ?"
        row = self._connection.execute(query, (entry_id,)).fetchone()
        return _ENTRY.decode(row[0]) if row else None

    def put(self, entry: EntryInfo) -> None:
        """Add or replace the entry."""
        values = (entry.entry_id, _ENCODER.encode(entry))
        self._connection.execute("REPLACE INTO entry VALUES (?, ?)", values)

    def delete(self, entry_id: str) -> None:
        """Remove the entry."""
        self._connection.execute("DELETE FROM entry WHERE entry_id = ?", (entry_id,))

    def every(self) -> list[EntryInfo]:
        """Return all entries in order of id."""
        rows = self._connection.execute("SELECT body FROM entry ORDER BY entry_id")
        return [_ENTRY.decode(row[0]) for row in rows]


class ConfigurationTable:
    """Accepted configurations by revision."""

    def __init__(self, connection: sqlite3.Connection) -> None:
        self._connection = connection

    def current(self) -> ConfigurationRecord:
        """Return the configuration in force; its revision is 0 if there is none."""
        query = "SELECT body FROM configuration ORDER BY revision DESC LIMIT 1"
        row = self._connection.execute(query).fetchone()
        return _CONFIGURATION.decode(row[0]) if row else NO_CONFIGURATION

    def get(self, revision: int) -> ConfigurationRecord | None:
        """Return the configuration, or None if the revision is not stored."""
        query = "SELECT body FROM configuration WHERE revision = ?"
        row = self._connection.execute(query, (revision,)).fetchone()
        return _CONFIGURATION.decode(row[0]) if row else None

    def add(self, record: ConfigurationRecord, limit: int) -> None:
        """Add the next revision; delete all but the newest ``limit``."""
        values = (record.revision, _ENCODER.encode(record))
        self._connection.execute("INSERT INTO configuration VALUES (?, ?)", values)
        oldest = record.revision - limit
        self._connection.execute(
            "DELETE FROM configuration WHERE revision <= ?", (oldest,)
        )
