"""Tables, settings and collected changes of a state transaction."""

import sqlite3
from collections.abc import Callable
from typing import NamedTuple

from foxspring_model import (
    ENDED_STATES,
    Configuration,
    Service,
    TaskKind,
    TaskState,
)

from foxspring_control.state._history_tables import (
    AnswerTable,
    AuditTable,
    KeyTable,
)
from foxspring_control.state._records import JobRecord, Moment, TargetRecord, TaskRecord
from foxspring_control.state._settings import StateSettings
from foxspring_control.state._tables import (
    ConfigurationTable,
    Counters,
    EntryTable,
    JobTable,
    TargetTable,
    TaskTable,
)

ParseConfiguration = Callable[[str], Configuration]

APPLIED_INDEX = "applied_index"
LAST_AT_MS = "last_at_ms"
OWNERSHIP_VERSION = "ownership_version"
JOB_NUMBER = "job_number"


class Tables:
    """All tables of the state on one connection."""

    def __init__(self, connection: sqlite3.Connection) -> None:
        self.connection = connection
        self.counters = Counters(connection)
        self.tasks = TaskTable(connection)
        self.jobs = JobTable(connection)
        self.targets = TargetTable(connection)
        self.entries = EntryTable(connection)
        self.configurations = ConfigurationTable(connection)
        self.keys = KeyTable(connection)
        self.answers = AnswerTable(connection)
        self.audit = AuditTable(connection)


class StateChanges(NamedTuple):
    """Ids of the objects that a batch of log entries changed.

    ``reset`` means that a snapshot was installed and anything may have changed.
    """

    tasks: tuple[str, ...] = ()
    targets: tuple[str, ...] = ()
    entries: bool = False
    configuration: bool = False
    reset: bool = False


class ParsedConfiguration:
    """The configuration in force, parsed once per revision."""

    def __init__(self, parse: ParseConfiguration) -> None:
        self.parse = parse
        self._parsed = Configuration()

    def in_force(self, tables: Tables) -> Configuration:
        """Return the configuration in force in ``tables``."""
        record = tables.configurations.current()
        if record.revision == 0:
            return Configuration()
        if record.revision != self._parsed.revision:
            parsed = self.parse(record.text)
            self._parsed = parsed._replace(revision=record.revision)
        return self._parsed


class Transaction:
    """Tables, settings and collected changes of one transaction."""

    def __init__(
        self, tables: Tables, settings: StateSettings, parsed: ParsedConfiguration
    ) -> None:
        self.tables = tables
        self.settings = settings
        self.parsed = parsed
        self.changed_tasks: dict[str, None] = {}
        self.changed_targets: dict[str, None] = {}
        self.changed_entries = False
        self.changed_configuration = False

    def changes(self) -> StateChanges:
        """Return the changes collected so far."""
        return StateChanges(
            tuple(self.changed_tasks),
            tuple(self.changed_targets),
            self.changed_entries,
            self.changed_configuration,
        )

    def configuration(self) -> Configuration:
        """Return the configuration in force."""
        return self.parsed.in_force(self.tables)

    def save_task(self, before: TaskRecord, after: TaskRecord, moment: Moment) -> None:
        """Store a task's transition and update its job or its target."""
        if after.task.kind is TaskKind.SERVICE:
            if after != before:
                self.changed_tasks[after.task.task_id] = None
                self._save_replica(before, after)
            return
        self.put_batch_task(before, after)
        if _ends(before, after):
            self._task_ended(after, moment)

    def put_batch_task(self, before: TaskRecord, after: TaskRecord) -> None:
        """Store a batch task's transition without updating its job."""
        if after != before:
            self.changed_tasks[after.task.task_id] = None
            self.tables.tasks.put(after)

    def save_target(self, record: TargetRecord) -> None:
        """Store a target with the next ownership version."""
        version = self.tables.counters.increment(OWNERSHIP_VERSION)
        self.tables.targets.put(record._replace(version=version))
        self.changed_targets[record.info.target_id] = None

    def _save_replica(self, before: TaskRecord, after: TaskRecord) -> None:
        if after.task.state in ENDED_STATES:
            self.tables.tasks.delete(after.task.task_id)
        elif after.task.state is TaskState.QUEUED:
            self._requeue_replica(after)
        else:
            self.tables.tasks.put(after)
        if _serves(before) != _serves(after):
            self._touch_target(before.task.target_id or after.task.target_id)

    def _requeue_replica(self, record: TaskRecord) -> None:
        service = self._service_of(record)
        if service is None:
            self.tables.tasks.delete(record.task.task_id)
            return
        task = record.task._replace(resources=service.replica, team=service.team)
        self.tables.tasks.put(record._replace(task=task))

    def _service_of(self, record: TaskRecord) -> Service | None:
        services = self.configuration().services
        name = record.task.work_class
        return next((service for service in services if service.name == name), None)

    def _touch_target(self, target_id: str) -> None:
        target = self.tables.targets.get(target_id)
        if target is not None:
            self.save_target(target)

    def _task_ended(self, record: TaskRecord, moment: Moment) -> None:
        job = self.tables.jobs.get(record.task.job_id)
        if job is None:
            return
        failed = job.failed_tasks + (record.task.state is TaskState.FAILED)
        left = job.open_tasks - 1
        self.tables.jobs.update(_with_counts(job, left, failed, moment.at_ms))


def _with_counts(job: JobRecord, left: int, failed: int, at_ms: int) -> JobRecord:
    ended_ms = at_ms if left == 0 else 0
    return job._replace(open_tasks=left, failed_tasks=failed, ended_ms=ended_ms)


def _ends(before: TaskRecord, after: TaskRecord) -> bool:
    was_open = before.task.state not in ENDED_STATES
    return was_open and after.task.state in ENDED_STATES


def _serves(record: TaskRecord) -> bool:
    return record.task.state is TaskState.RUNNING
