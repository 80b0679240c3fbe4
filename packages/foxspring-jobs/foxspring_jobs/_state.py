"""The replicated state: configuration, targets, jobs and their tasks."""

import hashlib
from collections.abc import Iterable, Iterator
from enum import StrEnum
from typing import Any, NamedTuple

from foxspring_model import INVARIANT_CHECKS, NO_RESOURCES, Invariant, Resources

from foxspring_jobs._commands import (
    Advance,
    CancelJob,
    RegisterTarget,
    ReplaceTable,
    RunEnd,
    RunKey,
    RunStart,
    SubmitJob,
    TargetIncarnation,
    TargetLoss,
    TaskKey,
)
from foxspring_jobs._crash_counts import (
    SURELY_LASTING_MS,
    CrashCount,
    RunAge,
    after_crash,
    after_explanation,
    after_lasting,
    after_silence,
    is_given_up,
)
from foxspring_jobs._job_size import occurrence_bytes, spec_bytes
from foxspring_jobs._silent_losses import SilentLoss, SilentLosses
from foxspring_jobs._specs import JobSpec, Queue, QueueTable, StepSpec
from foxspring_jobs._task_states import StepState, TaskState, new_step_state


class EndKind(StrEnum):
    """How a run ended; ``REFUSED`` means that it never started."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    REFUSED = "refused"


class JobPhase(StrEnum):
    """The phase of a job's life cycle."""

    PENDING = "pending"
    ACTIVE = "active"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


ENDED_PHASES = frozenset({JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED})


def completion_objective_ms(queue: Queue, spec: JobSpec) -> int:
    """Return how long after its release a job should be completed."""
    stretched = int(queue.stretch_factor * spec.critical_path_ms())
    return stretched + queue.latency_target_ms


class JobState:
    """One accepted job; ``submitted_ms`` is the wall time of its acceptance.

    ``completion_objective_ms`` is how long after its release it should be completed.
    ``version`` rises when an occurrence opens and with each start and end of a run.
    Occurrences open in the order of their numbers, the first ``opened_count`` so far.
    ``occurrences`` are those of them that have not finished; ``dropped_failures`` is
    how many runs had failed in the others.
    """

    def __init__(
        self, job_id: str, queue: Queue, spec: JobSpec, submitted_ms: int
    ) -> None:
        self.job_id = job_id
        self.queue = queue
        self.spec = spec
        self.submitted_ms = submitted_ms
        self.completion_objective_ms = completion_objective_ms(queue, spec)
        self.spec_bytes = spec_bytes(spec)
        self.occurrence_bytes = occurrence_bytes(spec)
        self.version = 0
        self.phase = JobPhase.PENDING
        self.ended_ms = 0
        self.occurrences: dict[int, list[StepState]] = {}
        self.opened_count = 0
        self.dropped_failures = 0
        self.finished_occurrences = 0
        if not spec.is_timed():
            self.open(0)

    def open(self, occurrence: int) -> None:
        """Create the tasks of a due occurrence, unless it was opened before."""
        if occurrence < self.opened_count:
            return
        self.occurrences[occurrence] = [
            new_step_state(step.task_count) for step in self.spec.steps
        ]
        self.opened_count = occurrence + 1
        self.version += 1

    def drop_if_finished(self, occurrence: int) -> None:
        """Drop a timed job's occurrence of which all is done and nothing runs.

        A job that repeats for years would otherwise keep every task that it has run.
        """
        if not self.spec.is_timed() or self.has_ended():
            return
        steps = self.occurrences[occurrence]
        if any(step.unfinished or step.running for step in steps):
            return
        del self.occurrences[occurrence]
        self.dropped_failures += sum(step.failures() for step in steps)

    def waiting_bytes(self) -> int:
        """Return about what the job takes in memory, but for tasks that have begun."""
        return self.spec_bytes + self.occurrence_bytes * len(self.occurrences)

    def drop_if_over(self) -> None:
        """Drop payload and tasks of an ended job of which nothing runs any more.

        Ended jobs are kept for callers that ask for their phase, which is all they get.
        """
        occurrences = self.occurrences.values()
        if self.has_ended() and not any(s.running for o in occurrences for s in o):
            self.dropped_failures = self.failures()
            self.occurrences = {}
            self.spec = self.spec._replace(payload="")
            self.spec_bytes = spec_bytes(self.spec)

    def failures(self) -> int:
        """Return how many runs of the job have failed."""
        kept = (step for steps in self.occurrences.values() for step in steps)
        return self.dropped_failures + sum(step.failures() for step in kept)

    def has_ended(self) -> bool:
        """Return whether no run of the job may start again."""
        return self.phase in ENDED_PHASES

    def step_is_ready(self, occurrence: int, step: int) -> bool:
        """Return whether all steps that ``step`` depends on are done."""
        steps = self.occurrences[occurrence]
        return all(steps[n].unfinished == 0 for n in self.spec.steps[step].after)


SHUFFLE_KEY_BYTES = 8


def shuffle_key(target_id: str) -> bytes:
    """Return a key that sorts targets independently of failure domain and rack."""
    return hashlib.blake2b(target_id.encode(), digest_size=SHUFFLE_KEY_BYTES).digest()


class TargetState:
    """One incarnation of a target and the runs that may be on it.

    ``version`` rises with each change of its runs or its registration.
    """

    def __init__(self, registered: RegisterTarget) -> None:
        self.registered = registered
        self.version = 0
        self.shuffle_key = shuffle_key(registered.incarnation.target_id)
        self.runs: dict[RunKey, StepSpec] = {}
        self.used = NO_RESOURCES
        self.serving: dict[tuple[str, int], int] = {}
        self.serving_cores = 0
        self.long_running_count = 0
        self.long_running_cores = 0
        self.long_running_memory_mb = 0
        self.best_effort_cores: dict[str, int] = {}
        self.runs_per_step: dict[tuple[str, int, int], int] = {}
        self.speculative_count = 0

    @property
    def incarnation(self) -> TargetIncarnation:
        """Return the target's incarnation."""
        return self.registered.incarnation

    def add(self, run: RunKey, step: StepSpec) -> None:
        """Reserve the resources of a run."""
        self.runs[run] = step
        self.used = self.used.plus(step.reserved())
        self._count(run, step, 1)

    def remove(self, run: RunKey) -> None:
        """Release the resources of a run."""
        step = self.runs.pop(run, None)
        if step is not None:
            self.used = self.used.minus(step.reserved())
            self._count(run, step, -1)

    def _count(self, run: RunKey, step: StepSpec, sign: int) -> None:
        self.version += 1
        cores = sign * step.resources.cores_milli
        if step.latency_target_ms:
            _add(self.serving, (step.image, step.latency_target_ms), sign)
            self.serving_cores += cores
        if step.best_effort:
            _add(self.best_effort_cores, step.image, cores)
        _add(self.runs_per_step, run.task[:3], sign)
        self.speculative_count += sign * step.speculative
        self.long_running_count += sign * step.long_running
        if step.long_running:
            reserved = step.reserved()
            self.long_running_cores += sign * reserved.cores_milli
            self.long_running_memory_mb += sign * reserved.memory_mb

    def free(self) -> Resources:
        """Return the capacity that no run reserves."""
        return self.registered.capacity.minus(self.used)


def _add(counts: dict[Any, int], key: Any, amount: int) -> None:
    total = counts.get(key, 0) + amount
    if total:
        counts[key] = total
    else:
        counts.pop(key, None)


class Applied(NamedTuple):
    """The result of applying a command; ``detail`` says why nothing changed."""

    changed: bool
    detail: str = ""


class GivenUp(NamedTuple):
    """A task for which its job was given up, and the crashes under its runs."""

    task: TaskKey
    crashes: CrashCount


def _age_of(run: RunKey, loss: TargetLoss) -> RunAge:
    """Return what a loss tells of how long one of its runs had lasted."""
    if run in loss.early_runs:
        return RunAge.EARLY
    return RunAge.LASTING if run in loss.lasting_runs else RunAge.UNKNOWN


def _can_place(
    start: RunStart, task: TaskState, target: TargetState, step: StepSpec
) -> bool:
    detail = f"run={start.run} target={start.incarnation.target_id}"
    alone = not task.runs or step.speculative
    fits = step.reserved().fits_in(target.free())
    return INVARIANT_CHECKS.check(
        Invariant.ONE_PLACE, alone, detail
    ) and INVARIANT_CHECKS.check(Invariant.CAPACITY, fits, detail)


class State:
    """The whole replicated state; equal commands produce equal states.

    ``obsolete_runs`` are the runs to stop because their job has ended or their task is
    done, ``given_up`` the tasks for which a job was given up, see
    :mod:`foxspring_jobs._crash_counts`. Both are for the leader, which clears them.
    """

    def __init__(self) -> None:
        self.table = QueueTable()
        self.jobs: dict[str, JobState] = {}
        self.active: dict[str, JobState] = {}
        self.targets: dict[str, TargetState] = {}
        self.purged_jobs = 0
        self.silent_losses = SilentLosses()
        self.obsolete_runs: list[RunKey] = []
        self.given_up: list[GivenUp] = []

    def apply(self, command: Any, at_ms: int) -> Applied:
        """Apply one command; ``at_ms`` is the appending leader's wall clock."""
        match command:
            case ReplaceTable():
                return self._replace_table(command.table)
            case SubmitJob():
                return self._submit(command, at_ms)
            case CancelJob():
                return self._cancel(command.job_id, at_ms)
            case RegisterTarget():
                return self._register(command, at_ms)
            case Advance():
                return self._advance(command, at_ms)
            case _:
                return Applied(False, "unknown command")

    def task(self, key: TaskKey) -> TaskState | None:
        """Return a task's state, or None if the task is unknown."""
        job = self.jobs.get(key.job_id)
        steps = job.occurrences.get(key.occurrence) if job else None
        if steps is None or not 0 <= key.step < len(steps):
            return None
        tasks = steps[key.step].tasks
        return tasks[key.ordinal] if 0 <= key.ordinal < len(tasks) else None

    def step_spec(self, key: TaskKey) -> StepSpec | None:
        """Return the step that a task would belong to, or None if there is none."""
        job = self.jobs.get(key.job_id)
        if job is None or not 0 <= key.step < len(job.spec.steps):
            return None
        return job.spec.steps[key.step]

    def target(self, incarnation: TargetIncarnation) -> TargetState | None:
        """Return the target if this is its registered incarnation, else None."""
        target = self.targets.get(incarnation.target_id)
        return (
            target if target is not None and target.incarnation == incarnation else None
        )

    def runs_of(self, job: JobState) -> Iterator[tuple[RunKey, TargetIncarnation]]:
        """Yield every run of a job that may be on a target."""
        for occurrence, steps in job.occurrences.items():
            for number, step in enumerate(steps):
                for index, task in enumerate(step.tasks):
                    key = TaskKey(job.job_id, occurrence, number, index)
                    for run, incarnation in task.runs.items():
                        yield RunKey(key, run), incarnation

    def _replace_table(self, table: QueueTable) -> Applied:
        if table.version <= self.table.version:
            return Applied(False, "not newer")
        self.table = table
        return Applied(True)

    def _submit(self, command: SubmitJob, at_ms: int) -> Applied:
        if command.job_id in self.jobs:
            return Applied(False, "known")
        job = JobState(command.job_id, command.queue, command.spec, at_ms)
        self.jobs[command.job_id] = job
        self.active[command.job_id] = job
        return Applied(True)

    def _cancel(self, job_id: str, at_ms: int) -> Applied:
        job = self.jobs.get(job_id)
        if job is None:
            return Applied(False, "unknown")
        if job.has_ended():
            return Applied(False, "ended")
        self._end_job(job, JobPhase.CANCELLED, at_ms)
        return Applied(True)

    def _end_job(self, job: JobState, phase: JobPhase, at_ms: int) -> None:
        job.phase = phase
        job.ended_ms = at_ms
        self.active.pop(job.job_id, None)
        self.obsolete_runs += [run for run, _ in self.runs_of(job)]
        job.drop_if_over()

    def _register(self, command: RegisterTarget, at_ms: int) -> Applied:
        for row in self.silent_losses.explain(command):
            self._discount_silence(row)
            if row.loss.incarnation != command.incarnation:
                # It may have crashed after its runs had lapsed, whatever their age.
                crash = TargetLoss(row.loss.incarnation, True)
                self._count_crashes(crash, row.runs, at_ms)
        known = self.targets.get(command.incarnation.target_id)
        if known is None:
            self.targets[command.incarnation.target_id] = TargetState(command)
            return Applied(True)
        if command.incarnation.incarnation_ms < known.incarnation.incarnation_ms:
            return Applied(False, "older incarnation")
        if command.incarnation.incarnation_ms > known.incarnation.incarnation_ms:
            crashed = not known.registered.draining
            self._lose(TargetLoss(known.incarnation, crashed), at_ms)
            self.targets[command.incarnation.target_id] = TargetState(command)
            return Applied(True)
        if known.registered.draining and not command.draining:
            return Applied(False, "draining")
        known.registered = command
        known.version += 1
        return Applied(True)

    def _end_incarnation(self, target: TargetState, at_ms: int) -> None:
        del self.targets[target.incarnation.target_id]
        for run in list(target.runs):
            self._end_run(RunEnd(run, target.incarnation, EndKind.LAPSED), at_ms)

    def _lose(self, loss: TargetLoss, at_ms: int) -> None:
        target = self.target(loss.incarnation)
        if target is None:
            return
        # Their order depends on whether the state was read from a snapshot.
        runs = tuple(sorted(target.runs))
        self._end_incarnation(target, at_ms)
        if loss.crashed:
            self._count_crashes(loss, runs, at_ms)
        elif runs and not target.registered.draining:
            row = SilentLoss(loss, target.registered.address, runs, at_ms)
            self.silent_losses.rows.append(row)
            self._count_silence(row)

    def _task_with_crashes(self, key: TaskKey) -> TaskState | None:
        """Return a task whose count of crashes is about to change, if it is known."""
        if self.task(key) is None:
            return None
        step = self.jobs[key.job_id].occurrences[key.occurrence][key.step]
        step.has_crashes = True
        return step.own(key.ordinal)

    def _count_silence(self, row: SilentLoss) -> None:
        """Count the runs of a target lost in silence."""
        for run in row.runs:
            task = self._task_with_crashes(run.task)
            if task is not None:
                age = _age_of(run, row.loss)
                task.crashes = after_silence(task.crashes, age, row.at_ms)

    def _discount_silence(self, row: SilentLoss) -> None:
        """Undo :meth:`_count_silence` once the loss is explained or forgotten."""
        for run in row.runs:
            task = self._task_with_crashes(run.task)
            if task is not None:
                age = _age_of(run, row.loss)
                task.crashes = after_explanation(task.crashes, age)

    def _count_crashes(
        self, loss: TargetLoss, runs: Iterable[RunKey], at_ms: int
    ) -> None:
        for run in runs:
            task = self._task_with_crashes(run.task)
            if task is None:
                continue
            age = _age_of(run, loss)
            if age is RunAge.UNKNOWN and at_ms - task.started_ms >= SURELY_LASTING_MS:
                age = RunAge.LASTING
            if age is RunAge.LASTING and loss.early_runs:
                task.crashes = after_lasting(task.crashes)
            else:
                self._count_crash(run.task, age, at_ms)

    def _count_crash(self, key: TaskKey, age: RunAge, at_ms: int) -> None:
        job = self.active.get(key.job_id)
        task = self.task(key)
        if job is None or task is None or task.done:
            return
        task.crashes = after_crash(task.crashes, age, at_ms)
        if is_given_up(task.crashes):
            self.given_up.append(GivenUp(key, task.crashes))
            self._end_job(job, JobPhase.FAILED, at_ms)

    def _advance(self, command: Advance, at_ms: int) -> Applied:
        for end in command.ends:
            self._end_run(end, at_ms)
        for incarnation in command.lost_targets:
            target = self.target(incarnation)
            if target is not None:
                self._end_incarnation(target, at_ms)
        for row in self.silent_losses.forget_old(at_ms):
            self._discount_silence(row)
        for loss in command.losses:
            self._lose(loss, at_ms)
        for job_id, occurrence in command.opened:
            job = self.active.get(job_id)
            if job is not None:
                job.open(occurrence)
        for start in command.starts:
            self._start_run(start, at_ms)
        for job_id in command.purged:
            self._purge_job(job_id)
        return Applied(True)

    def _purge_job(self, job_id: str) -> None:
        job = self.jobs.get(job_id)
        if job is not None and job.has_ended() and not any(self.runs_of(job)):
            del self.jobs[job_id]
            self.purged_jobs += 1

    def _start_run(self, start: RunStart, at_ms: int) -> None:
        key = start.run.task
        job = self.active.get(key.job_id)
        task = self.task(key)
        target = self.target(start.incarnation)
        if job is None or task is None or target is None:
            return
        step = job.spec.steps[key.step]
        if task.done or start.run.number <= task.last_run:
            return
        if not _can_place(start, task, target, step):
            return
        counts = job.occurrences[key.occurrence][key.step]
        task = counts.own(key.ordinal)
        counts.count(task, -1)
        task.last_run = start.run.number
        task.started_ms = at_ms
        task.runs[start.run.number] = start.incarnation
        counts.count(task)
        target.add(start.run, step)
        job.version += 1
        job.phase = JobPhase.ACTIVE

    def _end_run(self, end: RunEnd, at_ms: int) -> None:
        key = end.run.task
        task = self.task(key)
        if task is None or task.runs.get(end.run.number) != end.incarnation:
            return
        job = self.jobs[key.job_id]
        step = job.occurrences[key.occurrence][key.step]
        step.count(task, -1)
        del task.runs[end.run.number]
        step.count(task)
        job.version += 1
        target = self.target(end.incarnation)
        if target is not None:
            target.remove(end.run)
        if end.checkpoint:
            self._keep_checkpoint(end)
        if not job.has_ended():
            if end.kind == EndKind.DONE:
                self._complete(job, end.run, at_ms)
            elif end.kind == EndKind.FAILED:
                self._count_failure(job, end.run, at_ms)
            step.share_if_done(key.ordinal)
            job.drop_if_finished(key.occurrence)
        job.drop_if_over()

    def _keep_checkpoint(self, end: RunEnd) -> None:
        key = end.run.task
        job = self.jobs[key.job_id]
        step = job.occurrences[key.occurrence][key.step]
        gang = job.spec.steps[key.step].gang
        for ordinal in range(len(step.tasks)) if gang else (key.ordinal,):
            step.own(ordinal).checkpoint = end.checkpoint

    def _complete(self, job: JobState, run: RunKey, at_ms: int) -> None:
        spec = job.spec.steps[run.task.step]
        step = job.occurrences[run.task.occurrence][run.task.step]
        if spec.long_running:
            return
        ordinal = run.task.ordinal
        ended = range(len(step.tasks)) if spec.gang else range(ordinal, ordinal + 1)
        newly_done = [index for index in ended if not step.tasks[index].done]
        for index in newly_done:
            task = step.own(index)
            step.count(task, -1)
            task.done = True
            step.count(task)
            key = run.task._replace(ordinal=index)
            self.obsolete_runs += [RunKey(key, number) for number in task.runs]
            step.share_if_done(index)
        steps = job.occurrences[run.task.occurrence]
        if newly_done and all(other.unfinished == 0 for other in steps):
            job.finished_occurrences += 1
        if job.finished_occurrences == job.spec.occurrences():
            self._end_job(job, JobPhase.COMPLETED, at_ms)

    def _count_failure(self, job: JobState, run: RunKey, at_ms: int) -> None:
        spec = job.spec.steps[run.task.step]
        if spec.long_running:
            return
        step = job.occurrences[run.task.occurrence][run.task.step]
        task = step.tasks[run.task.ordinal]
        task.attempts += 1
        step.failed_runs.add(run.number)
        failures = len(step.failed_runs) if spec.gang else task.attempts
        if failures >= job.queue.max_attempts and not task.done:
            self._end_job(job, JobPhase.FAILED, at_ms)
