"""Applies a leader's memory budget: refuses jobs, holds starts, and says why."""

import logging

from foxspring_jobs._leader_context import LeaderContext
from foxspring_jobs._memory_budget import MemoryBudget, Refusal, StartLimits
from foxspring_jobs._metrics import (
    JOB_MEMORY,
    JOB_MEMORY_LIMIT,
    JOBS_REFUSED,
    STARTED_TASKS,
    STARTED_TASKS_LIMIT,
)
from foxspring_jobs._operations import Answer, Outcome
from foxspring_jobs._specs import JobSpec, Queue

_LOG = logging.getLogger(__name__)


class JobMemory:
    """What one leadership knows of the memory that jobs take."""

    def __init__(self, context: LeaderContext) -> None:
        self.context = context
        self.budget = MemoryBudget(context.settings.memory_mb)
        self.measure()

    def measure(self) -> None:
        """Measure what the draft takes now."""
        self.budget.measure(self.context.draft)
        metrics = self.context.metrics
        metrics.set(JOB_MEMORY, self.budget.used_bytes)
        metrics.set(JOB_MEMORY_LIMIT, self.budget.limit_bytes)
        metrics.set(STARTED_TASKS, self.budget.started)
        metrics.set(STARTED_TASKS_LIMIT, self.budget.max_started)

    def admit(self, job_id: str, queue: Queue, spec: JobSpec) -> Answer | None:
        """Count a job that is about to be proposed, or return why it is refused.

        A job that was accepted before needs no more memory.
        """
        if job_id in self.context.draft.jobs:
            return None
        refusal = self.budget.refusal(spec)
        if refusal is None:
            self.budget.note_accepted(spec)
            return None
        return self._refuse(job_id, queue, refusal)

    def _refuse(self, job_id: str, queue: Queue, refusal: Refusal) -> Answer:
        _LOG.warning(
            "event=job_refused job=%s queue=%s lasting=%s used_bytes=%d limit_bytes=%d "
            "reason=%r",
            job_id,
            queue.name,
            refusal.lasting,
            self.budget.used_bytes,
            self.budget.limit_bytes,
            refusal.reason,
        )
        self.context.metrics.count(JOBS_REFUSED, str(refusal.lasting).lower())
        outcome = Outcome.INVALID if refusal.lasting else Outcome.UNAVAILABLE
        return Answer(outcome, refusal.reason)

    def start_limits(self) -> StartLimits:
        """Return how many runs may start now."""
        unconfirmed = self._unconfirmed_starts()
        limits = self.budget.start_limits(unconfirmed)
        if not limits.starts:
            _LOG.warning(
                "event=starts_held unconfirmed=%d running=%d started=%d max_started=%d",
                unconfirmed,
                self.budget.running,
                self.budget.started,
                self.budget.max_started,
            )
        return limits

    def _unconfirmed_starts(self) -> int:
        """Return how many runs responsive targets have not shown or confirmed yet."""
        count = 0
        for session in self.context.sessions.values():
            target = self.context.draft.target(session.incarnation)
            if target is not None and session.taken_over and not session.failed_polls:
                count += max(0, len(target.runs) - len(session.progress))
        return count
