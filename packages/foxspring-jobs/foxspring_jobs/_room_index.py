"""Finds the targets that may have room for a task without looking at all of them.

Load pattern: hundreds of targets are nearly full, and steps of many sizes wait. What is
free on a target only shrinks during a plan, so the amounts at its beginning are upper
bounds, and one sorted list serves the whole plan. From plan to plan few amounts change.
"""

from bisect import bisect_left, bisect_right, insort
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from foxspring_jobs._candidates import Candidate


class Room(NamedTuple):
    """The cores of a candidate; the first in sorted order has the most free ones."""

    negative_free: int
    position: int
    capacity: int
    service: str


class RoomIndex:
    """The candidates of one plan by their free cores at its beginning.

    ``free_cores`` and ``capacity`` are the millicores of each service at that time.
    """

    def __init__(self, candidates: Sequence[Candidate]) -> None:
        self.candidates = candidates
        self._rooms = [_room_of(p, c) for p, c in enumerate(candidates)]
        self._sorted = sorted(self._rooms)
        self.free_cores: Counter[str] = Counter()
        self.capacity: Counter[str] = Counter()
        for room in self._rooms:
            self._count(room)

    def begin_plan(
        self, candidates: Sequence[Candidate], changed: Iterable[int]
    ) -> None:
        """Take over the candidates of the next plan, of which some have changed."""
        self.candidates = candidates
        for position in changed:
            old, new = self._rooms[position], _room_of(position, candidates[position])
            self._rooms[position] = new
            if new != old:
                self._count(old, -1)
                self._count(new)
                del self._sorted[bisect_left(self._sorted, old)]
                insort(self._sorted, new)

    def _count(self, room: Room, sign: int = 1) -> None:
        self.free_cores[room.service] += sign * max(0, -room.negative_free)
        self.capacity[room.service] += sign * room.capacity

    def with_cores(self, cores_milli: int) -> Sequence[Candidate]:
        """Return the candidates that had so many free cores, in their given order."""
        count = bisect_right(self._sorted, (-cores_milli, len(self.candidates)))
        if count == len(self.candidates):
            return self.candidates
        positions = sorted(room.position for room in self._sorted[:count])
        return [self.candidates[position] for position in positions]


def _room_of(position: int, candidate: Candidate) -> Room:
    registered = candidate.target.registered
    capacity = registered.capacity.cores_milli
    return Room(-candidate.free.cores_milli, position, capacity, registered.service)
