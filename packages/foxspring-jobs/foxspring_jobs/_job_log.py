"""Log lines and counters that say why a job was late.

Load pattern: more work arrives than fits, and jobs of some sizes are late although the
site as a whole serves enough. For each job, the time for which startable tasks waited
is kept by reason, and logged once when the job ends.
"""

import logging
from collections import Counter
from collections.abc import Iterable, Sequence
from enum import StrEnum

from foxspring_model import Resources

from foxspring_jobs._candidates import Candidate, StepKey, step_key_of
from foxspring_jobs._commands import RunStart
from foxspring_jobs._interference import MILLICORES_PER_CORE
from foxspring_jobs._leader_context import LeaderContext
from foxspring_jobs._metrics import JOBS_ENDED
from foxspring_jobs._specs import StepSpec
from foxspring_jobs._startable import startable_count
from foxspring_jobs._state import JobPhase, JobState
from foxspring_jobs._waiting import LATE_FACTOR, WaitingStep

_LOG = logging.getLogger(__name__)

SAMPLE_INTERVAL_MS = 200
LARGE_FACTOR = 2
UNKNOWN_MS = -1


class WaitReason(StrEnum):
    """Why a task that could start did not.

    ``CORES`` and ``MEMORY``: no target had enough of it free when the plan began.
    ``BEHIND``: steps that the plan considered earlier took the capacity. ``OTHER``:
    conditions besides capacity, such as advice, interference, or other tasks of the
    step that are tried first.
    """

    CORES = "cores"
    MEMORY = "memory"
    BEHIND = "behind"
    OTHER = "other"


class Outcome(StrEnum):
    """How a job ended, by its completion objective.

    ``COMPLETED`` is for timed jobs, whose occurrences have objectives of their own.
    """

    COMPLETED = "completed"
    IN_TIME = "in_time"
    LATE = "late"
    TOO_LATE = "too_late"
    FAILED = "failed"
    CANCELLED = "cancelled"


class JobLog:
    """What one leadership knows of the waits of active jobs."""

    def __init__(self, context: LeaderContext) -> None:
        self.context = context
        self.sampled_ms = context.clock.monotonic_ms()
        self.first_start_ms: dict[str, int] = {}
        self.waits_ms: dict[str, Counter[WaitReason]] = {}
        self.queue_work: dict[str, tuple[int, int]] = {}
        self.free: list[Resources] | None = None

    def before_plan(self, candidates: Iterable[Candidate]) -> None:
        """Note what is free, if a sample is due."""
        self.free = None
        now_ms = self.context.clock.monotonic_ms()
        if now_ms >= self.sampled_ms + SAMPLE_INTERVAL_MS:
            free = [candidate.free for candidate in candidates]
            self.free = sorted(free, key=lambda r: r.cores_milli, reverse=True)

    def after_plan(
        self, waiting: Sequence[WaitingStep], starts: Iterable[RunStart]
    ) -> None:
        """Note which steps still wait, if a sample is due."""
        if self.free is None:
            return
        now_ms = self.context.clock.monotonic_ms()
        elapsed_ms = min(now_ms - self.sampled_ms, 2 * SAMPLE_INTERVAL_MS)
        self.sampled_ms = now_ms
        started = Counter(step_key_of(start.run.task) for start in starts)
        reasons: dict[Resources, WaitReason] = {}
        counted: set[StepKey] = set()
        for step in waiting:
            key = step.step_key()
            job = self.context.draft.active[step.job_id]
            state = job.occurrences[step.occurrence][step.step]
            if key in counted or started[key] >= state.idle:
                continue
            counted.add(key)
            spec = job.spec.steps[step.step]
            reason = WaitReason.OTHER
            if started[key] < startable_count(state, spec):
                reason = self._reason(spec, reasons)
            waits = self.waits_ms.setdefault(step.job_id, Counter())
            age_ms = self.context.clock.wall_ms() - job.submitted_ms
            waits[reason] += min(elapsed_ms, max(0, age_ms))

    def _reason(self, step: StepSpec, known: dict[Resources, WaitReason]) -> WaitReason:
        if step.best_effort:
            return WaitReason.OTHER
        if step.resources not in known:
            known[step.resources] = wait_reason(step.resources, self.free or [])
        return known[step.resources]

    def note_submitted(self, job: JobState) -> None:
        """Count a job towards the mean work of its queue."""
        count, work = self.queue_work.get(job.queue.name, (0, 0))
        total = (count + 1, work + job.spec.total_work())
        self.queue_work[job.queue.name] = total

    def note_starts(self, starts: Iterable[RunStart]) -> None:
        """Note the first start of each job."""
        now_ms = self.context.clock.wall_ms()
        for start in starts:
            self.first_start_ms.setdefault(start.run.task.job_id, now_ms)

    def job_ended(self, job: JobState) -> None:
        """Log and count the end of a job, and forget it."""
        first_start_ms = self.first_start_ms.pop(job.job_id, None)
        waits_ms = self.waits_ms.pop(job.job_id, Counter())
        outcome = outcome_of(job)
        size = self._size_of(job)
        self.context.metrics.count(JOBS_ENDED, size, outcome)
        steps = job.spec.steps
        waited_ms = UNKNOWN_MS
        if first_start_ms is not None:
            waited_ms = first_start_ms - job.submitted_ms
        _LOG.info(
            "event=job_ended job=%s queue=%s outcome=%s size=%s core_ms=%d steps=%d "
            "tasks=%d cores_milli=%d memory_mb=%d age_ms=%d objective_ms=%d "
            "first_start_ms=%d cores_wait_ms=%d memory_wait_ms=%d behind_wait_ms=%d "
            "other_wait_ms=%d failed_runs=%d",
            job.job_id,
            job.queue.name,
            outcome,
            size,
            job.spec.total_work() // MILLICORES_PER_CORE,
            len(steps),
            max(step.task_count for step in steps),
            max(step.resources.cores_milli for step in steps),
            max(step.resources.memory_mb for step in steps),
            job.ended_ms - job.submitted_ms,
            job.completion_objective_ms,
            waited_ms,
            *(waits_ms[reason] for reason in WaitReason),
            job.failures(),
        )

    def _size_of(self, job: JobState) -> str:
        count, work = self.queue_work.get(job.queue.name, (0, 0))
        large = job.spec.total_work() * count > LARGE_FACTOR * work
        return "large" if large else "other"


def wait_reason(needed: Resources, free: Sequence[Resources]) -> WaitReason:
    """Return why a task of a size waits; ``free`` is sorted by cores, most first."""
    reason = WaitReason.CORES
    for available in free:
        if available.cores_milli < needed.cores_milli:
            break
        if needed.fits_in(available):
            return WaitReason.BEHIND
        reason = WaitReason.MEMORY
    return reason


def outcome_of(job: JobState) -> Outcome:
    """Return how an ended job compares with its completion objective."""
    if job.phase is JobPhase.FAILED:
        return Outcome.FAILED
    if job.phase is JobPhase.CANCELLED:
        return Outcome.CANCELLED
    if job.spec.is_timed():
        return Outcome.COMPLETED
    age_ms = job.ended_ms - job.submitted_ms
    if age_ms <= job.completion_objective_ms:
        return Outcome.IN_TIME
    late = age_ms <= LATE_FACTOR * job.completion_objective_ms
    return Outcome.LATE if late else Outcome.TOO_LATE
