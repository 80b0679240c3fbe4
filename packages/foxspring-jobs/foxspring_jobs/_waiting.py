"""Finds waiting steps in scheduling order, and expired jobs.

Load pattern: more work arrives than fits. Within a priority, occurrences that can still
meet their completion objective go first. Among them, those of whose work the largest
share is running or done go first, so that a wide job which has begun is not held up by
each smaller one that arrives; then those with the least remaining work, so that most
jobs are on time. Ordered by least slack, all would wait for the oldest one and be late
together. Late occurrences, and after them hopelessly late ones, wait for these and are
ordered by slack.

Load pattern: wide jobs become late while most of their work is placed, since slack
comes from estimates and leaves out failed runs and waiting for cores. Under a steady
load there is always a new job that can be on time, so the last tasks of such a job
would wait until it is hopeless, and its work would be lost. Until then it counts as in
time.

Load pattern: targets are lost while short jobs fill all capacity. Interrupted
long-running tasks start again after the jobs that can be on time and before other
long-running tasks. Under a steady load there is always a job that can be on time, so
once their interruption is overdue they go before everything. Tasks that have ended
early again and again follow them, since they have lost no work.
"""

import math
from collections.abc import Iterator, Set
from enum import IntEnum
from typing import NamedTuple

from foxspring_jobs._candidates import PERCENT, StepKey
from foxspring_jobs._specs import StepSpec
from foxspring_jobs._state import JobState, State
from foxspring_jobs._task_states import StepState, TaskState

LATE_FACTOR = 3
# A late occurrence with at most this share of its work idle counts as in time.
FINISHED_FIRST_IDLE_PERCENT = 50
MILLICORE_MS_PER_CORE_SECOND = 1_000_000


class Precedence(IntEnum):
    """What goes first, whatever its priority.

    A restart continues admitted work, which keeps its capacity while it runs even if
    work of a higher priority waits; it should not lose that by an interruption.
    """

    OVERDUE_RESTART = 0
    OVERDUE_RETRY = 1
    NORMAL = 2


class Rank(IntEnum):
    """What goes first within a priority.

    ``LATE`` occurrences will miss their objective and have most of their work to place;
    ``HOPELESS`` ones will need more than ``LATE_FACTOR`` times as long. Long-running
    tasks count as ``LATE`` before their first run, since short jobs release their
    resources sooner.
    """

    IN_TIME = 0
    RESTART = 1
    LATE = 2
    HOPELESS = 3


class OverdueSteps(NamedTuple):
    """The steps with interrupted tasks that are overdue.

    Those in ``retries`` have such tasks that have ended early again and again.
    """

    restarts: Set[StepKey] = frozenset()
    retries: Set[StepKey] = frozenset()


NOTHING_OVERDUE = OverdueSteps()


class WaitingStep(NamedTuple):
    """A step with tasks to start; instances sort in scheduling order.

    With ``Rank.RESTART`` only its interrupted tasks are meant, otherwise only the
    others. For ``Rank.IN_TIME``, ``idle_percent`` is the share of the occurrence's work
    that is neither running nor done, and ``order_key`` the remaining work in
    core-seconds. For other ranks ``order_key`` is the wall time when the slack ends.
    """

    precedence: Precedence
    priority: int
    rank: Rank
    idle_percent: int
    order_key: int
    job_id: str
    occurrence: int
    step: int

    def step_key(self) -> StepKey:
        """Return the key of the step, within its occurrence."""
        return self.job_id, self.occurrence, self.step

    def includes(self, task: TaskState, step: StepSpec) -> bool:
        """Return whether a task of the step is meant."""
        return is_interrupted(task, step) == (self.rank is Rank.RESTART)


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


def idle_percent(job: JobState, occurrence: int) -> int:
    """Return the share of an occurrence's estimated work that is not placed yet."""
    total = idle = 0
    for spec, step in zip(job.spec.steps, job.occurrences[occurrence], strict=True):
        task_work = spec.estimated_ms * spec.resources.cores_milli
        total += spec.task_count * task_work
        idle += step.idle * task_work
    return idle * PERCENT // total if total else PERCENT


def release_time_ms(job: JobState, occurrence: int) -> int:
    """Return the wall time from which an occurrence's objective is measured."""
    if job.spec.is_timed():
        return job.spec.first_due_ms + occurrence * job.spec.interval_ms
    return job.submitted_ms


class JobSteps(NamedTuple):
    """The waiting steps of a job, without regard to overdue restarts.

    They hold for this version of the job between two wall times.
    """

    job: JobState
    version: int
    from_ms: float
    until_ms: float
    steps: list[WaitingStep]

    def holds_for(self, job: JobState, wall_ms: int) -> bool:
        """Return whether these are the waiting steps of a job at a wall time."""
        same = self.job is job and self.version == job.version
        return same and self.from_ms <= wall_ms <= self.until_ms


class WaitingOrder:
    """The waiting steps in scheduling order, kept from plan to plan.

    Load pattern: tens of plans a second consider hundreds of waiting jobs, of which few
    have changed since the plan before.
    """

    def __init__(self) -> None:
        self._kept: dict[str, JobSteps] = {}
        self._ordered: list[WaitingStep] = []

    def steps(
        self, state: State, wall_ms: int, overdue: OverdueSteps = NOTHING_OVERDUE
    ) -> list[WaitingStep]:
        """Return the steps that may start tasks, in scheduling order."""
        self._update(state, wall_ms)
        if not any(overdue):
            return list(self._ordered)
        return sorted(_with_precedence(step, overdue) for step in self._ordered)

    def _update(self, state: State, wall_ms: int) -> None:
        kept, self._kept = self._kept, {}
        changed: list[JobSteps] = []
        for job_id, job in state.active.items():
            known = kept.pop(job_id, None)
            if known is None or not known.holds_for(job, wall_ms):
                known = _steps_of(job, wall_ms)
                changed.append(known)
            self._kept[job_id] = known
        # What is left in ``kept`` are jobs that have ended.
        obsolete = {*kept, *(known.job.job_id for known in changed)}
        if obsolete:
            ordered = [step for step in self._ordered if step.job_id not in obsolete]
            for known in changed:
                ordered += known.steps
            self._ordered = sorted(ordered)


def waiting_steps(
    state: State, wall_ms: int, overdue: OverdueSteps = NOTHING_OVERDUE
) -> list[WaitingStep]:
    """Return what a new :class:`WaitingOrder` returns."""
    return WaitingOrder().steps(state, wall_ms, overdue)


def _with_precedence(step: WaitingStep, overdue: OverdueSteps) -> WaitingStep:
    if step.rank is not Rank.RESTART:
        return step
    if step.step_key() in overdue.restarts:
        return step._replace(precedence=Precedence.OVERDUE_RESTART)
    if step.step_key() in overdue.retries:
        return step._replace(precedence=Precedence.OVERDUE_RETRY)
    return step


def _steps_of(job: JobState, wall_ms: int) -> JobSteps:
    from_ms, until_ms = -math.inf, math.inf
    found: list[WaitingStep] = []
    for occurrence, steps in job.occurrences.items():
        if any(step.idle for step in steps):
            ranked = _rank_of(job, occurrence, wall_ms)
            from_ms = max(from_ms, ranked.from_ms)
            until_ms = min(until_ms, ranked.until_ms)
            found += _waiting_steps_of(job, occurrence, ranked)
    return JobSteps(job, job.version, from_ms, until_ms, found)


class _Ranked(NamedTuple):
    """The rank of an occurrence's tasks that are not interrupted.

    It holds between two wall times. ``slack_end_ms`` is the wall time at which the
    occurrence has to go on if it is to meet its objective. ``idle_percent`` and
    ``order_key`` are those of its steps with this rank.
    """

    rank: Rank
    idle_percent: int
    order_key: int
    slack_end_ms: int
    from_ms: float
    until_ms: float


def _rank_of(job: JobState, occurrence: int, wall_ms: int) -> _Ranked:
    objective_ms = job.completion_objective_ms
    remaining_ms = remaining_critical_path_ms(job, occurrence)
    end_ms = release_time_ms(job, occurrence) + objective_ms - remaining_ms
    late_end_ms = end_ms + (LATE_FACTOR - 1) * objective_ms
    if job.spec.is_long_running():
        return _Ranked(Rank.LATE, 0, end_ms, end_ms, -math.inf, math.inf)
    if wall_ms > late_end_ms:
        return _Ranked(Rank.HOPELESS, 0, end_ms, end_ms, late_end_ms + 1, math.inf)
    idle = idle_percent(job, occurrence)
    in_time = wall_ms <= end_ms
    from_ms, until_ms = (-math.inf, end_ms) if in_time else (end_ms + 1, late_end_ms)
    if in_time or idle <= FINISHED_FIRST_IDLE_PERCENT:
        work = remaining_work(job, occurrence)
        return _Ranked(Rank.IN_TIME, idle, work, end_ms, from_ms, until_ms)
    return _Ranked(Rank.LATE, 0, end_ms, end_ms, from_ms, until_ms)


def _waiting_steps_of(
    job: JobState, occurrence: int, ranked: _Ranked
) -> Iterator[WaitingStep]:
    for number, step in enumerate(job.occurrences[occurrence]):
        if not step.idle or not job.step_is_ready(occurrence, number):
            continue
        for rank in _ranks_of(step, job.spec.steps[number], ranked.rank):
            as_ranked = rank is ranked.rank
            yield WaitingStep(
                Precedence.NORMAL,
                job.queue.priority,
                rank,
                ranked.idle_percent if as_ranked else 0,
                ranked.order_key if as_ranked else ranked.slack_end_ms,
                job.job_id,
                occurrence,
                number,
            )


def _ranks_of(step: StepState, spec: StepSpec, job_rank: Rank) -> list[Rank]:
    """Return the ranks of the idle tasks of a step, which has some."""
    if not spec.long_running:
        return [job_rank]
    interrupted = sum(is_interrupted(task, spec) for task in step.tasks)
    found = [Rank.RESTART] if interrupted else []
    return [*found, job_rank] if step.idle > interrupted else found


def expired_jobs(state: State, limit_ms: int) -> tuple[str, ...]:
    """Return the jobs that ended before ``limit_ms`` and have no run left."""
    return tuple(
        job.job_id
        for job in state.jobs.values()
        if job.has_ended() and job.ended_ms < limit_ms and not any(state.runs_of(job))
    )
