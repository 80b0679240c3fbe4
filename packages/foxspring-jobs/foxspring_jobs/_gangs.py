"""Chooses the targets that the tasks of a gang may start on together."""

from collections.abc import Iterator

from foxspring_jobs._candidates import Candidate
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


def _free_cores(candidates: list[Candidate]) -> int:
    return sum(free_cores_of(candidate) for candidate in candidates)


def free_cores_of(candidate: Candidate) -> int:
    """Return the free millicores of a candidate."""
    return candidate.free.cores_milli
