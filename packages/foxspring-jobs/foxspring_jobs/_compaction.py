"""Packs long-running tasks so that the capacity left for short tasks is usable.

Load pattern: long-running tasks take most of a site and stay; short tasks that ask for
a large part of a target keep arriving. If each target keeps a small reserve, the free
capacity is spread in parts that none of these short tasks fits in. While the demand of
the long-running tasks allows it, they therefore fill the targets that they are on, and
some targets stay free of them. Beyond that, each target keeps a reserve.
"""

from collections.abc import Iterable
from typing import NamedTuple

from foxspring_jobs._candidates import (
    PERCENT,
    SHORT_TASK_RESERVE_PERCENT,
    Candidate,
    Effects,
)
from foxspring_jobs._specs import StepSpec
from foxspring_jobs._state import JobState, State

# What remains unused on targets that are filled with tasks of different sizes.
PACKING_LOSS_PERCENT = 5
FREE_TARGETS_PERCENT = 15


class CompactionScore(NamedTuple):
    """How well a target suits a long-running task; the lowest is the best.

    ``remainder`` and ``free`` are in millicores.
    """

    is_spared: bool
    images: int
    added_sensitivity: float
    remainder: int
    free: int
    shuffle_key: bytes


def compact_services(state: State, candidates: Iterable[Candidate]) -> frozenset[str]:
    """Return the services whose long-running tasks leave whole targets free."""
    available_percent = PERCENT - SHORT_TASK_RESERVE_PERCENT - PACKING_LOSS_PERCENT
    capacity: dict[str, int] = {}
    for candidate in candidates:
        registered = candidate.target.registered
        cores = registered.capacity.cores_milli
        capacity[registered.service] = capacity.get(registered.service, 0) + cores
    demand = _long_running_demand(state)
    return frozenset(
        service
        for service, cores in capacity.items()
        if demand.get(service, 0) * PERCENT <= cores * available_percent
    )


def _long_running_demand(state: State) -> dict[str, int]:
    """Return, by service, the millicores of all long-running tasks of active jobs."""
    demand: dict[str, int] = {}
    for job in state.active.values():
        if job.spec.is_long_running():
            service = job.queue.service
            demand[service] = demand.get(service, 0) + _demand_of(job)
    return demand


def _demand_of(job: JobState) -> int:
    return sum(
        state.unfinished * spec.reserved().cores_milli
        for steps in job.occurrences.values()
        for spec, state in zip(job.spec.steps, steps, strict=True)
        if spec.long_running
    )


def free_targets_are_scarce(candidates: Iterable[Candidate], service: str) -> bool:
    """Return whether few of a service's cores are on targets for short tasks only."""
    total = free = 0
    for candidate in candidates:
        registered = candidate.target.registered
        if registered.service == service:
            total += registered.capacity.cores_milli
            if not candidate.long_running_count:
                free += registered.capacity.cores_milli
    return free * PERCENT <= total * FREE_TARGETS_PERCENT


def compaction_score(
    candidate: Candidate, step: StepSpec, effects: Effects, spare_free_targets: bool
) -> CompactionScore:
    """Score a target for a long-running task; the lowest score is the best.

    With ``spare_free_targets``, targets without long-running tasks go last. The targets
    with the fewest images go first, then those that tasks of this size can fill without
    a remainder. Equal ones are taken in an order that does not depend on failure domain
    and rack, so that the free targets are spread over both.
    """
    free = candidate.free.cores_milli
    cores = step.resources.cores_milli
    remainder = free % cores if cores else 0
    images, added_sensitivity = candidate.effect_of_adding(effects, step.image)
    return CompactionScore(
        spare_free_targets and not candidate.long_running_count,
        images,
        added_sensitivity,
        remainder,
        free,
        candidate.target.shuffle_key,
    )
