"""Targets ranked for the equal tasks of one step.

Load pattern: a wide step comes to hundreds of targets. A start changes one target
only, so all are scored once and then only the chosen one again.
"""

import heapq
from collections.abc import Callable, Iterable

from foxspring_jobs._rooms import Room

Score = tuple[float, ...]
ScoreOf = Callable[[Room], Score]
Accepts = Callable[[Room], bool]


class Ranking:
    """The targets that accept a task of a step, best score first.

    Among equal scores the first in the order of ``rooms`` goes first.
    """

    def __init__(self, rooms: Iterable[Room], accepts: Accepts, score: ScoreOf) -> None:
        self.accepts = accepts
        self.score = score
        self._heap = [
            (score(room), position, room)
            for position, room in enumerate(rooms)
            if accepts(room)
        ]
        heapq.heapify(self._heap)

    def best(self) -> tuple[Room, Score] | None:
        """Return the best target and its score, or none."""
        if not self._heap:
            return None
        score, _, room = self._heap[0]
        return room, score

    def rescore_best(self) -> None:
        """Score the best target again after a task was counted there."""
        _, position, room = self._heap[0]
        if self.accepts(room):
            heapq.heapreplace(self._heap, (self.score(room), position, room))
        else:
            heapq.heappop(self._heap)

    def rooms(self) -> list[Room]:
        """Return all targets that accept a task."""
        return [room for _, _, room in self._heap]
