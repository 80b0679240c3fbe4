"""Finds waiting steps in scheduling order, due occurrences and expired jobs.

Load pattern: more work arrives than fits. Within a priority, occurrences that can still
meet their completion objective go first, those with the least remaining work before
others, so that most jobs are on time. Ordered by least slack, all would wait for the
oldest one and be late together. Late occurrences, and after them hopelessly late ones,
wait for these and are ordered by slack.

Load pattern: targets are lost while short jobs fill all capacity. Interrupted
long-running tasks start again before any task is started for the first time. They have
no objective that they could still meet, so under a steady load of jobs that can be on
time they would never run again.
"""

from collections.abc import Iterator
from enum import IntEnum
from typing import NamedTuple

from foxspring_jobs._candidates import StepKey
from foxspring_jobs._specs import StepSpec
from foxspring_jobs._state import JobState, State, StepState, TaskState

LATE_FACTOR = 3
MILLICORE_MS_PER_CORE_SECOND = 1_000_000


class Precedence(IntEnum):
    """What goes first, whatever its priority.

    A restart continues admitted work, which keeps its capacity while it runs even if
    work of a higher priority waits; it should not lose that by an interruption.
    """

    RESTART = 0
    START = 1


class WaitingStep(NamedTuple):
    """A step with tasks to start; instances sort in scheduling order.

    With ``Precedence.RESTART`` only its interrupted tasks are meant, otherwise only the
    others. ``lateness`` is 0 if the occurrence can be on time, 1 if it will be late and
    2 if it will be later than ``LATE_FACTOR`` times its objective. ``order_key`` is the
    remaining work in core-seconds for lateness 0, otherwise the slack in milliseconds.
    """

    precedence: Precedence
    priority: int
    lateness: int
    order_key: int
    job_id: str
    occurrence: int
    step: int

    def step_key(self) -> StepKey:
        """Return the key of the step, within its occurrence."""
        return self.job_id, self.occurrence, self.step

    def includes(self, task: TaskState, step: StepSpec) -> bool:
        """Return whether a task of the step is meant."""
        restart = self.precedence is Precedence.RESTART
        return is_interrupted(task, step) == restart


def is_interrupted(task: TaskState, step: StepSpec) -> bool:
    """Return whether a long-running task was started before and has no run now."""
    return step.long_running and task.last_run > 0 and not task.runs


def remaining_critical_path_ms(job: JobState, occurrence: int) -> int:
    """Return the estimated duration of the longest chain of unfinished steps."""
    steps = job.occurrences[occurrence]
    lengths: list[int] = []
    for spec, step in zip(job.spec.steps, steps, strict=True):
        before = max((lengths[n] for n in spec.after), default=0)
        lengths.append(before + (spec.estimated_ms if step.unfinished else 0))
    return max(lengths)


def remaining_work(job: JobState, occurrence: int) -> int:
    """Return the estimated core-seconds of the unfinished tasks of an occurrence."""
    steps = zip(job.spec.steps, job.occurrences[occurrence], strict=True)
    work = sum(
        state.unfinished * spec.estimated_ms * spec.resources.cores_milli
        for spec, state in steps
    )
    return work // MILLICORE_MS_PER_CORE_SECOND


def release_time_ms(job: JobState, occurrence: int) -> int:
    """Return the wall time from which an occurrence's objective is measured."""
    if job.spec.is_timed():
        return job.spec.first_due_ms + occurrence * job.spec.interval_ms
    return job.submitted_ms


def waiting_steps(state: State, wall_ms: int) -> list[WaitingStep]:
    """Return the steps that may start tasks, in scheduling order."""
    found: list[WaitingStep] = []
    for job in state.active.values():
        for occurrence, steps in job.occurrences.items():
            if any(step.idle for step in steps):
                found += _waiting_steps_of(job, occurrence, wall_ms)
    return sorted(found)


def _waiting_steps_of(
    job: JobState, occurrence: int, wall_ms: int
) -> Iterator[WaitingStep]:
    objective_ms = job.completion_objective_ms
    age_ms = wall_ms - release_time_ms(job, occurrence)
    remaining_ms = remaining_critical_path_ms(job, occurrence)
    slack_ms = objective_ms - age_ms - remaining_ms
    late_slack_ms = LATE_FACTOR * objective_ms - age_ms - remaining_ms
    lateness = 0 if slack_ms >= 0 else (1 if late_slack_ms >= 0 else 2)
    if job.spec.is_long_running():
        # Short jobs go first because they release their resources soon.
        lateness = 1
    order_key = slack_ms if lateness else remaining_work(job, occurrence)
    for number, step in enumerate(job.occurrences[occurrence]):
        if not step.idle or not job.step_is_ready(occurrence, number):
            continue
        for precedence in _precedences(step, job.spec.steps[number]):
            yield WaitingStep(
                precedence,
                job.queue.priority,
                lateness,
                order_key,
                job.job_id,
                occurrence,
                number,
            )


def _precedences(step: StepState, spec: StepSpec) -> list[Precedence]:
    """Return the precedences of the idle tasks of a step, which has some."""
    if not spec.long_running:
        return [Precedence.START]
    interrupted = sum(is_interrupted(task, spec) for task in step.tasks)
    found = [Precedence.RESTART] if interrupted else []
    return [*found, Precedence.START] if step.idle > interrupted else found


def due_occurrences(state: State, wall_ms: int) -> tuple[tuple[str, int], ...]:
    """Return the occurrences of timed jobs that are due but not opened yet."""
    due = []
    for job in state.active.values():
        if not job.spec.is_timed():
            continue
        for number in range(job.spec.repetitions):
            if number not in job.occurrences and wall_ms >= release_time_ms(
                job, number
            ):
                due.append((job.job_id, number))
    return tuple(due)


def expired_jobs(state: State, limit_ms: int) -> tuple[str, ...]:
    """Return the jobs that ended before ``limit_ms`` and have no run left."""
    return tuple(
        job.job_id
        for job in state.jobs.values()
        if job.has_ended() and job.ended_ms < limit_ms and not any(state.runs_of(job))
    )
