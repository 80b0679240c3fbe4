"""Chooses the targets that the tasks of a gang may start on together.

Load pattern: gangs of thousands of tasks wait that fit nowhere, each plan looks at all
of them, and the leader does nothing else meanwhile. Whether a gang fits is told by what
each target has room for, before any of its tasks is placed.
"""

from collections.abc import Iterable, Iterator

from foxspring_jobs._candidates import Candidate, StepKey
from foxspring_jobs._specs import StepSpec


def gang_groups(
    step: StepSpec, candidates: list[Candidate]
) -> Iterator[list[Candidate]]:
    """Yield the candidates that a gang may start on together, best ones first."""
    if step.one_rack:
        racks: dict[str, list[Candidate]] = {}
        for candidate in candidates:
            racks.setdefault(candidate.target.registered.rack, []).append(candidate)
        preferred = racks.pop(step.data_rack, None)
        if preferred is not None:
            yield preferred
        yield from sorted(racks.values(), key=_free_cores, reverse=True)
    yield candidates


def gang_fits(
    step_key: StepKey,
    step: StepSpec,
    service: str,
    count: int,
    candidates: Iterable[Candidate],
) -> bool:
    """Return whether so many tasks of a step fit on candidates together."""
    reserved = step.reserved()
    left = count
    for candidate in candidates:
        if candidate.accepts(step_key, step, reserved, service):
            left -= _places(candidate, step_key, step)
            if left <= 0:
                return True
    return False


def _places(candidate: Candidate, step_key: StepKey, step: StepSpec) -> int:
    """Return how many tasks of a step a candidate that accepts one would accept."""
    places = candidate.fitting_tasks(step_key, step, step.reserved())
    if not candidate.max_starts:
        return places
    return min(places, candidate.max_starts - candidate.started)


def _free_cores(candidates: list[Candidate]) -> int:
    return sum(free_cores_of(candidate) for candidate in candidates)


def free_cores_of(candidate: Candidate) -> int:
    """Return the free millicores of a candidate."""
    return candidate.free.cores_milli
