"""Encodes the replicated state for snapshots and digests."""

from typing import NamedTuple

import msgspec
from foxspring_model import UNDECODABLE

from foxspring_jobs._commands import (
    RegisterTarget,
    TargetIncarnation,
)
from foxspring_jobs._crash_counts import NO_CRASHES, CrashCount
from foxspring_jobs._silent_losses import SilentLoss, SilentLosses
from foxspring_jobs._specs import JobSpec, Queue, QueueTable
from foxspring_jobs._state import (
    ENDED_PHASES,
    JobPhase,
    JobState,
    State,
    TargetState,
)
from foxspring_jobs._task_states import (
    DONE_TASK,
    NEW_TASK,
    StepState,
    TaskState,
    is_shared,
    shared_if_equal,
)


class _TaskRow(NamedTuple):
    done: bool
    attempts: int
    last_run: int
    checkpoint: str
    runs: tuple[tuple[int, TargetIncarnation], ...]
    crashes: CrashCount = NO_CRASHES
    started_ms: int = 0


class _StepRow(NamedTuple):
    """The tasks of a step that have a state of their own, and their ordinals.

    Of the others, ``done`` has a byte for each task of the step, 1 if it is done, or
    nothing if none of them is. Older snapshots have no ordinals, and all tasks.
    """

    failed_runs: tuple[int, ...]
    tasks: tuple[_TaskRow, ...]
    ordinals: tuple[int, ...] | None = None
    done: bytes = b""


class _JobRow(NamedTuple):
    job_id: str
    queue: Queue
    spec: JobSpec
    submitted_ms: int
    phase: JobPhase
    ended_ms: int
    finished_occurrences: int
    occurrences: tuple[tuple[int, tuple[_StepRow, ...]], ...]
    opened_count: int = 0
    dropped_failures: int = 0


class _StateRow(NamedTuple):
    applied_index: int
    table: QueueTable
    purged_jobs: int
    targets: tuple[RegisterTarget, ...]
    jobs: tuple[_JobRow, ...]
    silent_losses: tuple[SilentLoss, ...] = ()


_DECODER = msgspec.msgpack.Decoder(_StateRow)


def encode_state(state: State, applied_index: int) -> bytes:
    """Return the encoded state as of a log index."""
    row = _StateRow(
        applied_index,
        state.table,
        state.purged_jobs,
        tuple(target.registered for target in state.targets.values()),
        tuple(_job_row(job) for job in state.jobs.values()),
        tuple(state.silent_losses.rows),
    )
    return msgspec.msgpack.encode(row)


def decode_state(data: bytes) -> tuple[State, int]:
    """Return a state and the log index up to which it was applied.

    Raises:
        ValueError: the bytes are not an encoded state.
    """
    try:
        row = _DECODER.decode(data)
    except UNDECODABLE as error:
        raise ValueError(f"not a state: {error}") from error
    state = State()
    state.table = row.table
    state.purged_jobs = row.purged_jobs
    state.silent_losses = SilentLosses(row.silent_losses)
    for registered in row.targets:
        state.targets[registered.incarnation.target_id] = TargetState(registered)
    for job_row in row.jobs:
        job = _job(job_row)
        state.jobs[job.job_id] = job
        if job.phase not in ENDED_PHASES:
            state.active[job.job_id] = job
        _place_runs(state, job)
    return state, row.applied_index


def _job_row(job: JobState) -> _JobRow:
    occurrences = tuple(
        (number, tuple(_step_row(step) for step in steps))
        for number, steps in job.occurrences.items()
    )
    return _JobRow(
        job.job_id,
        job.queue,
        job.spec,
        job.submitted_ms,
        job.phase,
        job.ended_ms,
        job.finished_occurrences,
        occurrences,
        job.opened_count,
        job.dropped_failures,
    )


def _step_row(step: StepState) -> _StepRow:
    own: list[tuple[int, TaskState]] = []
    if step.own_count:
        tasks = [shared_if_equal(task) for task in step.tasks]
        own = [(n, task) for n, task in enumerate(tasks) if not is_shared(task)]
    done = b""
    if step.unfinished < len(step.tasks):
        done = bytes(shared_if_equal(task) is DONE_TASK for task in step.tasks)
    return _StepRow(
        tuple(sorted(step.failed_runs)),
        tuple(_task_row(task) for _, task in own),
        tuple(ordinal for ordinal, _ in own),
        done if any(done) else b"",
    )


def _task_row(task: TaskState) -> _TaskRow:
    return _TaskRow(
        task.done,
        task.attempts,
        task.last_run,
        task.checkpoint,
        tuple(task.runs.items()),
        task.crashes,
        task.started_ms,
    )


def _job(row: _JobRow) -> JobState:
    job = JobState(row.job_id, row.queue, row.spec, row.submitted_ms)
    job.phase = row.phase
    job.ended_ms = row.ended_ms
    job.finished_occurrences = row.finished_occurrences
    job.occurrences = {
        number: [
            _step(step, spec.task_count)
            for step, spec in zip(steps, row.spec.steps, strict=True)
        ]
        for number, steps in row.occurrences
    }
    # Older snapshots have no count, and all occurrences.
    job.opened_count = max(row.opened_count, len(row.occurrences))
    job.dropped_failures = row.dropped_failures
    # Older releases kept the tasks of ended jobs.
    job.drop_if_over()
    return job


def _step(row: _StepRow, task_count: int) -> StepState:
    tasks = [NEW_TASK] * task_count
    for ordinal, is_done in enumerate(row.done):
        if is_done:
            tasks[ordinal] = DONE_TASK
    ordinals = range(task_count) if row.ordinals is None else row.ordinals
    for ordinal, task in zip(ordinals, row.tasks, strict=True):
        tasks[ordinal] = _task(task)
    step = StepState(tasks)
    step.failed_runs = set(row.failed_runs)
    return step


def _task(row: _TaskRow) -> TaskState:
    task = TaskState()
    task.done = row.done
    task.attempts = row.attempts
    task.last_run = row.last_run
    task.checkpoint = row.checkpoint
    task.runs = dict(row.runs)
    task.crashes = row.crashes
    task.started_ms = row.started_ms
    return shared_if_equal(task)


def _place_runs(state: State, job: JobState) -> None:
    for run, incarnation in state.runs_of(job):
        target = state.target(incarnation)
        if target is not None:
            target.add(run, job.spec.steps[run.task.step])
