"""What waits: steps in the order to serve them, times that are due, old jobs.

Load pattern: more comes than fits. Within its priority what can still meet its aim
goes first, and of that what has least work left, so that most jobs are in time; by
least slack all would wait for the oldest and be late together. What can only be late,
or not even that, waits for it, by slack.
"""

from collections.abc import Iterator
from typing import NamedTuple

from foxspring_jobs._candidates import StepKey
from foxspring_jobs._state import JobState, State

LATE_FACTOR = 3
MILLICORE_MS_PER_CORE_SECOND = 1_000_000


class WaitingStep(NamedTuple):
    """A step with tasks to start; sorts as it should be served.

    ``lateness`` is 0 for what can be in time, 1 for late, 2 for later than counts.
    ``order_key`` is the work left in core-seconds for the first, else the slack in
    milliseconds.
    """

    priority: int
    lateness: int
    order_key: int
    job_id: str
    occurrence: int
    step: int

    def step_key(self) -> StepKey:
        """Return which step of which occurrence waits."""
        return self.job_id, self.occurrence, self.step


def remaining_critical_path_ms(job: JobState, occurrence: int) -> int:
    """Return the estimated longest chain of steps that are not done."""
    steps = job.occurrences[occurrence]
    lengths: list[int] = []
    for spec, step in zip(job.spec.steps, steps, strict=True):
        before = max((lengths[n] for n in spec.after), default=0)
        lengths.append(before + (spec.estimated_ms if step.undone else 0))
    return max(lengths)


def remaining_work(job: JobState, occurrence: int) -> int:
    """Return the estimated core-seconds of an occurrence's tasks that are not done."""
    steps = zip(job.spec.steps, job.occurrences[occurrence], strict=True)
    work = sum(
        state.undone * spec.estimated_ms * spec.resources.cores_milli
        for spec, state in steps
    )
    return work // MILLICORE_MS_PER_CORE_SECOND


def release_time_ms(job: JobState, occurrence: int) -> int:
    """Return the wall time that an occurrence's aim is counted from."""
    if job.spec.is_timed():
        return job.spec.first_due_ms + occurrence * job.spec.interval_ms
    return job.submitted_ms


def waiting_steps(state: State, wall_ms: int) -> list[WaitingStep]:
    """Return the steps that may start tasks, in the order to serve them."""
    found: list[WaitingStep] = []
    for job in state.active.values():
        for occurrence, steps in job.occurrences.items():
            if any(step.idle for step in steps):
                found += _waiting_of(job, occurrence, wall_ms)
    return sorted(found)


def _waiting_of(job: JobState, occurrence: int, wall_ms: int) -> Iterator[WaitingStep]:
    objective_ms = job.completion_objective_ms
    age_ms = wall_ms - release_time_ms(job, occurrence)
    remaining_ms = remaining_critical_path_ms(job, occurrence)
    slack_ms = objective_ms - age_ms - remaining_ms
    late_slack_ms = LATE_FACTOR * objective_ms - age_ms - remaining_ms
    lateness = 0 if slack_ms >= 0 else (1 if late_slack_ms >= 0 else 2)
    if job.spec.is_long_running():
        # Short work goes first: it gives its room back soon.
        lateness = 1
    order_key = slack_ms if lateness else remaining_work(job, occurrence)
    for number, step in enumerate(job.occurrences[occurrence]):
        if step.idle and job.step_is_ready(occurrence, number):
            yield WaitingStep(
                job.queue.priority,
                lateness,
                order_key,
                job.job_id,
                occurrence,
                number,
            )


def due_occurrences(state: State, wall_ms: int) -> tuple[tuple[str, int], ...]:
    """Return the occurrences of timed jobs that have fallen due unopened."""
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
    """Return the jobs that ended before ``limit_ms`` and have nothing running."""
    return tuple(
        job.job_id
        for job in state.jobs.values()
        if job.has_ended() and job.ended_ms < limit_ms and not any(state.runs_of(job))
    )
