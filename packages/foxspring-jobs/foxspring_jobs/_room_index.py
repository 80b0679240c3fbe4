"""Finds the targets that may have room for a task without looking at all of them.

Load pattern: hundreds of targets are nearly full, and steps of many sizes wait. What is
free on a target only shrinks during a plan, so the amounts at its beginning are upper
bounds, and one sorted list serves the whole plan.
"""

from bisect import bisect_right
from collections.abc import Sequence

from foxspring_jobs._candidates import Candidate


class RoomIndex:
    """The candidates of one plan by their free cores at its beginning."""

    def __init__(self, candidates: Sequence[Candidate]) -> None:
        self.candidates = candidates
        positions = range(len(candidates))
        self.positions = sorted(positions, key=lambda p: -_free_cores(candidates[p]))
        self.negative_cores = [-_free_cores(candidates[p]) for p in self.positions]

    def with_cores(self, cores_milli: int) -> Sequence[Candidate]:
        """Return the candidates that had so many free cores, in their given order."""
        count = bisect_right(self.negative_cores, -cores_milli)
        if count == len(self.candidates):
            return self.candidates
        return [self.candidates[p] for p in sorted(self.positions[:count])]


def _free_cores(candidate: Candidate) -> int:
    return candidate.free.cores_milli
