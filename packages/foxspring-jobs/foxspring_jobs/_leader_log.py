"""Log lines about a leader's load and the jobs that it accepts."""

import logging
from collections.abc import Sequence

from foxspring_jobs._candidates import Candidate
from foxspring_jobs._leader_context import LeaderContext
from foxspring_jobs._specs import JobSpec

_LOG = logging.getLogger(__name__)

MAX_LOGGED_STEPS = 20


def log_load(context: LeaderContext, candidates: Sequence[Candidate]) -> None:
    """Log the numbers of running and waiting tasks and the free capacity."""
    steps = [
        (spec, step)
        for job in context.draft.active.values()
        for steps in job.occurrences.values()
        for spec, step in zip(job.spec.steps, steps, strict=True)
    ]
    _LOG.info(
        "event=load jobs=%d idle=%d running=%d idle_fills=%d running_fills=%d "
        "paced=%d targets=%d free_cores=%d spare_cores=%d",
        len(context.draft.active),
        sum(step.idle for _, step in steps),
        sum(step.running for _, step in steps),
        sum(step.idle for spec, step in steps if spec.best_effort),
        sum(step.running for spec, step in steps if spec.best_effort),
        sum(len(session.paces) for session in context.sessions.values()),
        len(candidates),
        sum(candidate.free.cores_milli for candidate in candidates) // 1_000,
        sum(candidate.unused_cores() for candidate in candidates) // 1_000,
    )


def log_steps(job_id: str, spec: JobSpec) -> None:
    """Log the declared properties of a job's steps, at most ``MAX_LOGGED_STEPS``."""
    for number, step in enumerate(spec.steps[:MAX_LOGGED_STEPS]):
        _LOG.info(
            "event=step_declared job=%s step=%d tasks=%d cores_milli=%d memory_mb=%d "
            "estimated_ms=%d lasting=%s fills=%s target_ms=%d image=%s per_target=%d",
            job_id,
            number,
            step.task_count,
            step.resources.cores_milli,
            step.resources.memory_mb,
            step.estimated_ms,
            step.long_running,
            step.best_effort,
            step.latency_target_ms,
            step.image or "-",
            step.max_per_target,
        )
