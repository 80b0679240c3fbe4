"""Builders of commands, log entries and states for tests."""

import tempfile
from pathlib import Path
from typing import Any

import msgspec
from foxspring_config import parse_configuration
from foxspring_model import (
    ApplyConfiguration,
    AssignOwners,
    CommandResult,
    EntryInfo,
    JobSpec,
    OwnerAssignment,
    Placement,
    PlaceTasks,
    RecordTaskEvents,
    RegisterEntry,
    RegisterTarget,
    Resources,
    SubmitJob,
    TargetInfo,
    Task,
    TaskEvent,
)

from foxspring_control._replication import LogEntry
from foxspring_control.state import ControlState, StateSettings

CONFIGURATION = """
[team pipes]
max_tasks = 100000

[team moulds]
max_tasks = 100000
"""

SERVICE = """
[service register]
team = pipes
replicas = {replicas}
cores_milli = 1000
memory_mb = 100
"""

SMALL = Resources(cores_milli=1000, memory_mb=1000)
BIG = Resources(slots=8, connections=64, cores_milli=64_000, memory_mb=250_000)


def entry_info(number: int = 1, incarnation: int = 1, **fields: Any) -> EntryInfo:
    """Return an entry ``entry-N``."""
    return EntryInfo(
        f"entry-{number}",
        incarnation,
        f"127.0.0.1:{5000 + number}",
        f"127.0.0.1:{8000 + number}",
        "attiki",
        **fields,
    )


def target_info(number: int = 1, incarnation: int = 1, **fields: Any) -> TargetInfo:
    """Return a target ``target-N``."""
    capacity = fields.pop("capacity", BIG)
    return TargetInfo(
        f"target-{number}",
        incarnation,
        f"127.0.0.1:{9000 + number}",
        "attiki",
        f"rack-{number % 4}",
        capacity,
        **fields,
    )


def job_spec(tasks: int = 1, **fields: Any) -> JobSpec:
    """Return the spec of a job of team pipes with small tasks."""
    values: dict[str, Any] = {
        "name": "voicing",
        "team": "pipes",
        "tasks": tasks,
        "resources": SMALL,
        "payload": "reconcile",
    }
    return JobSpec(**(values | fields))


def event(task: Task, kind: str, **fields: Any) -> TaskEvent:
    """Return an event of the task's current run."""
    return TaskEvent(task.task_id, task.epoch, task.target_id, kind, **fields)


class StateDriver:
    """A state in a temporary folder, with the log that was applied to it."""

    def __init__(self, settings: StateSettings | None = None) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.settings = settings or StateSettings()
        self.log: list[LogEntry] = []
        self.now_ms = 1_000_000
        self.state = self.open(self.path())

    def path(self, name: str = "state") -> Path:
        """Create and return the folder of a replica."""
        path = Path(self.folder.name) / name
        path.mkdir(exist_ok=True)
        return path

    def open(self, path: Path) -> ControlState:
        """Open the state in the folder."""
        return ControlState(path, parse_configuration, self.settings)

    def reopen(self) -> None:
        """Close and reopen the state, as on a restart."""
        self.state.close()
        self.state = self.open(self.path())

    def close(self) -> None:
        """Close the state and remove its folder."""
        self.state.close()
        self.folder.cleanup()

    def apply(self, command: Any) -> CommandResult:
        """Apply one command and return its answer."""
        self.now_ms += 10
        entry = LogEntry(
            len(self.log) + 1,
            1,
            type(command).__name__,
            msgspec.msgpack.encode(command),
            self.now_ms,
        )
        self.log.append(entry)
        answer = self.state.apply([entry])[0]
        return msgspec.json.decode(answer, type=CommandResult)

    def configure(self, text: str = CONFIGURATION, change_id: str = "") -> int:
        """Apply a configuration on top of the one in force."""
        base = self.revision()
        change = change_id or f"configure-{len(self.log)}"
        answer = self.apply(ApplyConfiguration(change, "eleni", base, text))
        if answer["status"] != "ok":
            raise AssertionError(answer)
        return answer["revision"]

    def submit(self, spec: JobSpec | None = None, change_id: str = "") -> str:
        """Submit a job and return its id."""
        change = change_id or f"submit-{len(self.log)}"
        answer = self.apply(SubmitJob(change, "eleni", spec or job_spec()))
        return answer["job_id"]

    def fleet(self, targets: int = 2, entries: int = 2) -> None:
        """Register entries and targets; assign owners in rotation."""
        for number in range(1, entries + 1):
            self.apply(RegisterEntry(entry_info(number)))
        for number in range(1, targets + 1):
            self.apply(RegisterTarget(target_info(number)))
            self.own(f"target-{number}", f"entry-{number % entries + 1}")

    def own(self, target_id: str, entry_id: str) -> None:
        """Assign a target to an entry."""
        self.apply(AssignOwners((OwnerAssignment(target_id, entry_id),)))

    def place(self, task_id: str, target_id: str = "target-1") -> Task:
        """Place a queued task and return it."""
        epoch = self.task(task_id).epoch + 1
        self.apply(PlaceTasks((Placement(task_id, epoch, target_id),)))
        return self.task(task_id)

    def report(self, task: Task, kind: str, by: str = "", **fields: Any) -> Task:
        """Apply an event of the task's current run and return the task."""
        reporter = by or self.owner(task.target_id)
        happened = event(task, kind, **fields)
        self.apply(RecordTaskEvents((happened,), reporter))
        return self.task(task.task_id)

    def task(self, task_id: str) -> Task:
        """Return a task from the applied state."""
        with self.state.reading() as tables:
            record = tables.tasks.get(task_id)
        if record is None:
            raise KeyError(task_id)
        return record.task

    def owner(self, target_id: str) -> str:
        """Return a target's owner, empty if it has none."""
        with self.state.reading() as tables:
            record = tables.targets.get(target_id)
        return record.owner if record is not None else ""

    def revision(self) -> int:
        """Return the configuration revision in force."""
        with self.state.reading() as tables:
            return tables.configurations.current().revision
