"""Chooses which due occurrences of timed jobs to open.

Load pattern: callers choose how often a job repeats, how far apart and from when on, so
millions of occurrences may lie ahead of a job, or all be due when it arrives. What a
sweep costs and what it opens depends on neither: the number of due occurrences is
computed, and a job with a backlog gets more of them as it begins those that are open.

Load pattern: the occurrences of jobs with many steps are due much faster than they are
done, and each member has to hold all that are open. A job may always have one of them
open, so that it goes on; what more may be open is bounded by memory, for each job and
for all of them together.
"""

from collections.abc import Iterator
from typing import NamedTuple

from foxspring_jobs._specs import MAX_TASKS_PER_OCCURRENCE, JobSpec
from foxspring_jobs._state import JobState, State

# More would not start sooner: these wait for capacity already.
MAX_NOT_BEGUN = 100
# As many tasks as a job without occurrences may have.
MAX_UNFINISHED_TASKS = MAX_TASKS_PER_OCCURRENCE
# All jobs together. A job that is considered early can't keep the others waiting, since
# it gets more only as its tasks begin or end.
MAX_TASKS_PER_SWEEP = 2_000


class OpenLimits(NamedTuple):
    """How many bytes open occurrences may take, but for the first one of each job.

    ``job_bytes`` bounds all open occurrences of one job, ``free_bytes`` what is opened
    now in all.
    """

    job_bytes: int
    free_bytes: int


def due_occurrences(
    state: State, wall_ms: int, limits: OpenLimits
) -> tuple[tuple[str, int], ...]:
    """Return the occurrences to open now, as ids of jobs and numbers.

    All are due at ``wall_ms``, in Unix time. Those left out for the sake of a bound are
    returned by a later call.
    """
    opened: list[tuple[str, int]] = []
    tasks = 0
    free_bytes = limits.free_bytes
    for job in state.active.values():
        open_count = len(job.occurrences)
        for number in _openable(job, wall_ms):
            if tasks >= MAX_TASKS_PER_SWEEP:
                return tuple(opened)
            if open_count:
                job_bytes = (open_count + 1) * job.occurrence_bytes
                if job_bytes > limits.job_bytes or job.occurrence_bytes > free_bytes:
                    break
            opened.append((job.job_id, number))
            open_count += 1
            tasks += job.spec.tasks_per_occurrence()
            free_bytes -= job.occurrence_bytes
    return tuple(opened)


def due_count(spec: JobSpec, wall_ms: int) -> int:
    """Return how many occurrences of a timed job are due, the first ones."""
    elapsed_ms = wall_ms - spec.first_due_ms
    if elapsed_ms < 0:
        return 0
    if spec.interval_ms == 0:
        return spec.repetitions
    return min(spec.repetitions, elapsed_ms // spec.interval_ms + 1)


def _openable(job: JobState, wall_ms: int) -> Iterator[int]:
    """Yield the numbers of a job's occurrences that may be open as well."""
    if not job.spec.is_timed():
        return
    first, end = job.opened_count, due_count(job.spec, wall_ms)
    if first >= end:
        return
    not_begun, unfinished = _backlog(job)
    tasks = job.spec.tasks_per_occurrence()
    for number in range(first, end):
        if not_begun >= MAX_NOT_BEGUN or unfinished >= MAX_UNFINISHED_TASKS:
            return
        yield number
        not_begun += 1
        unfinished += tasks


def _backlog(job: JobState) -> tuple[int, int]:
    """Return a job's open occurrences that haven't begun, and its unfinished tasks."""
    not_begun = unfinished = 0
    for steps in job.occurrences.values():
        not_begun += all(step.idle == len(step.tasks) for step in steps)
        unfinished += sum(step.unfinished for step in steps)
    return not_begun, unfinished
