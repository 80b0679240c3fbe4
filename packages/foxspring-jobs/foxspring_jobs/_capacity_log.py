"""Log lines that say which kind of work holds a service's capacity, and what waits.

Load pattern: long-running tasks could fill a service, and targets are lost. The lines
tell whether short tasks then wait because restarts hold what was kept free for them.
"""

import logging
from collections import Counter
from collections.abc import Iterable, Sequence
from enum import StrEnum
from typing import NamedTuple

from foxspring_jobs._candidates import Candidate
from foxspring_jobs._compaction import whole_reserve
from foxspring_jobs._interference import MILLICORES_PER_CORE
from foxspring_jobs._specs import StepSpec
from foxspring_jobs._state import JobState, State
from foxspring_jobs._task_states import StepState
from foxspring_jobs._waiting import is_interrupted

_LOG = logging.getLogger(__name__)

MAX_LOGGED_SERVICES = 8


class Work(StrEnum):
    """A kind of work; ``RESTART`` is for interrupted long-running tasks."""

    LONG_RUNNING = "long_running"
    RESTART = "restart"
    SHORT = "short"
    BEST_EFFORT = "best_effort"


class ServiceCapacity(NamedTuple):
    """The usable targets of a service; all but ``targets`` is in millicores.

    ``held`` is by kind of work; best-effort tasks hold cores that others may reserve.
    ``unshared_free`` is what is free on targets without long-running tasks. ``reserve``
    is of the targets that new ones leave alone, ``reserve_free`` what is free there.
    """

    targets: int
    cores: int
    held: Counter[Work]
    free: int
    unshared_free: int
    reserve: int
    reserve_free: int


class Waiting(NamedTuple):
    """Tasks of a service that could start, and their millicores, by kind of work."""

    tasks: Counter[Work]
    cores: Counter[Work]


def log_capacity(state: State, candidates: Sequence[Candidate]) -> None:
    """Log the capacity of each service that has targets."""
    targets = Counter(t.registered.service for t in state.targets.values())
    for service, known in targets.most_common(MAX_LOGGED_SERVICES):
        usable = [c for c in candidates if c.target.registered.service == service]
        capacity = capacity_of(usable, service)
        waiting = waiting_for(state, service)
        _LOG.info(
            "event=capacity service=%s targets=%d unusable_targets=%d cores=%d "
            "long_running_cores=%d short_cores=%d best_effort_cores=%d free_cores=%d "
            "unshared_free_cores=%d reserve_cores=%d reserve_free_cores=%d "
            "new_long_running_waiting=%d restarts_waiting=%d short_waiting=%d "
            "best_effort_waiting=%d new_long_running_waiting_cores=%d "
            "restarts_waiting_cores=%d short_waiting_cores=%d",
            service,
            capacity.targets,
            known - capacity.targets,
            capacity.cores // MILLICORES_PER_CORE,
            capacity.held[Work.LONG_RUNNING] // MILLICORES_PER_CORE,
            capacity.held[Work.SHORT] // MILLICORES_PER_CORE,
            capacity.held[Work.BEST_EFFORT] // MILLICORES_PER_CORE,
            capacity.free // MILLICORES_PER_CORE,
            capacity.unshared_free // MILLICORES_PER_CORE,
            capacity.reserve // MILLICORES_PER_CORE,
            capacity.reserve_free // MILLICORES_PER_CORE,
            waiting.tasks[Work.LONG_RUNNING],
            waiting.tasks[Work.RESTART],
            waiting.tasks[Work.SHORT],
            waiting.tasks[Work.BEST_EFFORT],
            waiting.cores[Work.LONG_RUNNING] // MILLICORES_PER_CORE,
            waiting.cores[Work.RESTART] // MILLICORES_PER_CORE,
            waiting.cores[Work.SHORT] // MILLICORES_PER_CORE,
        )


def capacity_of(usable: Sequence[Candidate], service: str) -> ServiceCapacity:
    """Return what the usable targets of a service hold and have free."""
    held: Counter[Work] = Counter()
    for candidate in usable:
        for step in candidate.target.runs.values():
            held[work_of(step)] += step.resources.cores_milli
    reserve = whole_reserve(usable, service)
    reserved = [c for c in usable if c.target.incarnation in reserve]
    whole = [c for c in usable if not c.long_running_count]
    return ServiceCapacity(
        len(usable),
        sum(c.target.registered.capacity.cores_milli for c in usable),
        held,
        _free_cores(usable),
        _free_cores(whole),
        sum(c.target.registered.capacity.cores_milli for c in reserved),
        _free_cores(reserved),
    )


def waiting_for(state: State, service: str) -> Waiting:
    """Return the tasks of a service that could start now if there were room."""
    waiting = Waiting(Counter(), Counter())
    for job in state.active.values():
        if job.queue.service == service:
            for occurrence in job.occurrences:
                _add_waiting(waiting, job, occurrence)
    return waiting


def work_of(step: StepSpec) -> Work:
    """Return the kind of work of a step's tasks."""
    if step.long_running:
        return Work.LONG_RUNNING
    return Work.BEST_EFFORT if step.best_effort else Work.SHORT


def _add_waiting(waiting: Waiting, job: JobState, occurrence: int) -> None:
    for number, step in enumerate(job.occurrences[occurrence]):
        if not step.idle or not job.step_is_ready(occurrence, number):
            continue
        spec = job.spec.steps[number]
        restarts = _interrupted(step, spec)
        for work, tasks in (
            (Work.RESTART, restarts),
            (work_of(spec), step.idle - restarts),
        ):
            waiting.tasks[work] += tasks
            waiting.cores[work] += tasks * spec.resources.cores_milli


def _interrupted(step: StepState, spec: StepSpec) -> int:
    if not spec.long_running:
        return 0
    return sum(is_interrupted(task, spec) for task in step.tasks)


def _free_cores(candidates: Iterable[Candidate]) -> int:
    return sum(candidate.free.cores_milli for candidate in candidates)
