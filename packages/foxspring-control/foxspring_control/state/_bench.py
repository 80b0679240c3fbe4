"""Benchmark of the replicated state: commands, memory, snapshots, task starts."""

import gc
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
from foxspring_model import (
    ApplyConfiguration,
    AssignOwners,
    CancelJobs,
    Configuration,
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
    TaskEvent,
    Team,
)

from foxspring_control._replication import LogEntry
from foxspring_control.state._machine import STATE_FILE, ControlState

SIZES = (5_000, 15_000, 33_600)
TASKS_PER_JOB = 20
TASKS_PER_TARGET = 16
STARTS_PER_SECOND = 160
STARTS_PER_COMMAND = 16
START_SECONDS = 10
CANCELLED_JOBS = 10_000
BATCH = 64
_MIB = 1024 * 1024
_TARGET_CAPACITY = Resources(
    slots=32, connections=64, cores_milli=64_000, memory_mb=250_000
)
_TASK_RESOURCES = Resources(slots=1, cores_milli=1_000, memory_mb=1_000)


class BenchRow(NamedTuple):
    """One measured value with its unit; bound and baseline are texts."""

    name: str
    bound: str
    value: float
    unit: str
    baseline: str


def run_bench() -> list[BenchRow]:
    """Run all measurements, each size in a separate process."""
    rows = []
    for size in SIZES:
        rows += _measure_in_subprocess(size)
    rows += _cancel_rows()
    return rows


def _measure_in_subprocess(size: int) -> list[BenchRow]:
    command = [sys.executable, "-m", __name__, str(size)]
    done = subprocess.run(command, capture_output=True, check=True, timeout=300)
    return msgspec.json.decode(done.stdout.splitlines()[-1], type=list[BenchRow])


def parse_fixed(_: str) -> Configuration:
    """Return the same configuration for any text."""
    return Configuration(teams=(Team("pipes", 1_000_000),))


def fill_state(state: ControlState, size: int) -> None:
    """Fill an empty state with ``size`` running tasks on targets of one entry."""
    applier = _BatchApplier(state)
    _register_fleet(applier, size // TASKS_PER_TARGET)
    applier.apply_all(_jobs(size // TASKS_PER_JOB, TASKS_PER_JOB, "fill"))
    applier.apply_all(_placed(_task_ids(size), size // TASKS_PER_TARGET))


def _task_ids(size: int) -> list[str]:
    jobs = size // TASKS_PER_JOB
    return [f"job-{j + 1}/{t}" for j in range(jobs) for t in range(TASKS_PER_JOB)]


class _BatchApplier:
    """Applies commands to a state in batches, as the log does."""

    def __init__(self, state: ControlState) -> None:
        self.state = state
        self.index = state.applied_index()

    def apply_all(self, commands: Iterator[Any] | list[Any]) -> int:
        """Apply the commands and return their number."""
        first = self.index
        batch: list[LogEntry] = []
        for command in commands:
            self.index += 1
            body = msgspec.msgpack.encode(command)
            kind = type(command).__name__
            batch.append(LogEntry(self.index, 1, kind, body, self.index))
            if len(batch) >= BATCH:
                self.state.apply(batch)
                batch = []
        if batch:
            self.state.apply(batch)
        return self.index - first


def _register_fleet(applier: _BatchApplier, targets: int) -> None:
    entry = EntryInfo("entry-1", 1, "127.0.0.1:1", "127.0.0.1:2", "attiki")
    applier.apply_all([ApplyConfiguration("c", "bench", 0, "x"), RegisterEntry(entry)])
    infos = [
        TargetInfo(
            f"target-{n}", 1, f"127.0.0.1:{n}", "attiki", "rack", _TARGET_CAPACITY
        )
        for n in range(targets)
    ]
    applier.apply_all([RegisterTarget(info) for info in infos])
    owners = [OwnerAssignment(info.target_id, "entry-1") for info in infos]
    applier.apply_all([AssignOwners(tuple(owners))])


def _jobs(count: int, tasks: int, prefix: str) -> Iterator[SubmitJob]:
    spec = JobSpec("study", "pipes", tasks, _TASK_RESOURCES, payload="x" * 100)
    for number in range(count):
        yield SubmitJob(f"{prefix}-{number}", "bench", spec)


def _placed(tasks: list[str], targets: int) -> Iterator[Any]:
    for first in range(0, len(tasks), STARTS_PER_COMMAND):
        chunk = list(enumerate(tasks))[first : first + STARTS_PER_COMMAND]
        yield PlaceTasks(
            tuple(Placement(task, 1, f"target-{n % targets}") for n, task in chunk)
        )
        yield RecordTaskEvents(
            tuple(
                TaskEvent(t, 1, f"target-{n % targets}", "started") for n, t in chunk
            ),
            "entry-1",
        )


def _measure_size(size: int) -> list[BenchRow]:
    base_kb = _resident_kb()
    targets = size // TASKS_PER_TARGET
    with tempfile.TemporaryDirectory() as folder:
        state = ControlState(Path(folder), parse_fixed)
        applier = _BatchApplier(state)
        _register_fleet(applier, targets)
        jobs = size // TASKS_PER_JOB
        start = time.process_time()
        submitted = applier.apply_all(_jobs(jobs, TASKS_PER_JOB, "fill"))
        submit_s = time.process_time() - start
        tasks = _task_ids(size)
        start = time.process_time()
        placed = applier.apply_all(_placed(tasks, targets))
        place_s = time.process_time() - start
        share = _start_share(applier, targets, jobs)
        gc.collect()
        grown_kb = _resident_kb() - base_kb
        rows = [
            _row(size, "submissions applied", submitted / submit_s, "jobs/s"),
            _row(size, "starts applied", len(tasks) / place_s, "tasks/s", ">= 160"),
            _row(size, "entries for them", placed / place_s, "entries/s"),
            _row(size, "160 starts/s processor share", share, "%", "<= 50"),
            _row(size, "memory grown", grown_kb / 1024, "MiB", "<= 32 in all"),
        ]
        rows += _snapshot_rows(state, size, Path(folder))
        state.close()
    return rows


def _start_share(applier: _BatchApplier, targets: int, jobs: int) -> float:
    """Return the CPU share in percent of submitting, starting and ending tasks."""
    count = STARTS_PER_SECOND * START_SECONDS
    start = time.process_time()
    applier.apply_all(_jobs(count, 1, "peak"))
    tasks = [f"job-{jobs + n + 1}/0" for n in range(count)]
    applier.apply_all(_placed(tasks, targets))
    ends = [
        TaskEvent(task, 1, f"target-{n % targets}", "finished", result="ok")
        for n, task in enumerate(tasks)
    ]
    for first in range(0, count, STARTS_PER_COMMAND):
        chunk = tuple(ends[first : first + STARTS_PER_COMMAND])
        applier.apply_all([RecordTaskEvents(chunk, "entry-1")])
    return 100 * (time.process_time() - start) / START_SECONDS


def _snapshot_rows(state: ControlState, size: int, folder: Path) -> list[BenchRow]:
    path = folder / "snapshot"
    start = time.monotonic()
    state.write_snapshot(path)
    write_ms = (time.monotonic() - start) * 1_000
    start = time.monotonic()
    state.install_snapshot(path)
    install_ms = (time.monotonic() - start) * 1_000
    start = time.monotonic()
    state.digest()
    digest_ms = (time.monotonic() - start) * 1_000
    file_mib = (folder / STATE_FILE).stat().st_size / _MIB
    return [
        _row(size, "snapshot written", write_ms, "ms"),
        _row(size, "snapshot size", path.stat().st_size / _MIB, "MiB"),
        _row(size, "snapshot installed", install_ms, "ms"),
        _row(size, "digest", digest_ms, "ms"),
        _row(size, "state file", file_mib, "MiB"),
    ]


def _cancel_rows() -> list[BenchRow]:
    with tempfile.TemporaryDirectory() as folder:
        state = ControlState(Path(folder), parse_fixed)
        applier = _BatchApplier(state)
        _register_fleet(applier, 1)
        applier.apply_all(_jobs(CANCELLED_JOBS, 1, "wave"))
        job_ids = tuple(f"job-{number + 1}" for number in range(CANCELLED_JOBS))
        start = time.monotonic()
        applier.apply_all([CancelJobs("cancel", "bench", job_ids)])
        cancel_ms = (time.monotonic() - start) * 1_000
        state.close()
    return [
        BenchRow(
            f"{CANCELLED_JOBS} jobs cancelled by one entry", "", cancel_ms, "ms", ""
        )
    ]


def _row(size: int, name: str, value: float, unit: str, bound: str = "") -> BenchRow:
    return BenchRow(f"{name} at {size} tasks", bound, round(value, 2), unit, "")


def _resident_kb() -> int:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") // 1024


if __name__ == "__main__":
    print(msgspec.json.encode(_measure_size(int(sys.argv[1]))).decode())
