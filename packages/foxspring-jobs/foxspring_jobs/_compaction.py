"""Packs long-running tasks so that the capacity left for short tasks is usable.

Load pattern: long-running tasks take most of a site and stay; short tasks that ask for
a large part of a target keep arriving. If each target keeps a small reserve, the free
capacity is spread in parts that none of these short tasks fits in. Long-running tasks
therefore fill the targets that they are on, and while short tasks keep arriving, a
reserve of whole targets stays free of them; :mod:`foxspring_jobs._headroom` gives its
size. In a service of few targets, each target keeps a reserve instead.
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from foxspring_jobs._candidates import PERCENT, Candidate, Effects
from foxspring_jobs._commands import TargetIncarnation
from foxspring_jobs._headroom import (
    cores_of,
    cores_to_leave,
    is_divisible,
    staying_targets,
)
from foxspring_jobs._specs import StepSpec

FREE_TARGETS_PERCENT = 15
# The most that one target of a reserve may be of its service.
MAX_TARGET_PERCENT = 8


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


def whole_reserve(
    candidates: Sequence[Candidate], service: str
) -> frozenset[TargetIncarnation]:
    """Return the targets of a service that new long-running tasks leave alone.

    They are those with the fewest long-running tasks, so that a reserve which restarts
    had to use becomes free again as tasks end. Targets that are too large a part of the
    service are left out. The result is empty where the service has few targets.
    """
    targets = staying_targets((c.target for c in candidates), service)
    if not is_divisible(targets):
        return frozenset()
    needed = cores_to_leave(targets)
    largest = sum(map(cores_of, targets)) * MAX_TARGET_PERCENT // PERCENT
    suitable = {t.incarnation for t in targets if cores_of(t) <= largest}
    ranked = sorted(
        (c for c in candidates if c.target.incarnation in suitable),
        key=lambda c: (c.long_running_count, c.target.shuffle_key),
    )
    reserve = []
    for candidate in ranked:
        if needed <= 0:
            break
        reserve.append(candidate.target.incarnation)
        needed -= cores_of(candidate.target)
    return frozenset(reserve)


def free_targets_are_scarce(candidates: Iterable[Candidate], service: str) -> bool:
    """Return whether few of a service's cores are on targets for short tasks only."""
    total = free = 0
    for candidate in candidates:
        if candidate.target.registered.service == service:
            total += cores_of(candidate.target)
            if not candidate.long_running_count:
                free += cores_of(candidate.target)
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
