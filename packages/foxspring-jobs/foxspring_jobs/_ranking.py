"""Ranks targets for the identical tasks of one step.

Load pattern: a wide step is placed on hundreds of targets. Each start changes only one
target, so all targets are scored once and afterwards only the chosen one is scored
again.
"""

import heapq
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from foxspring_jobs._candidates import Candidate

Score = tuple[Any, ...]
ScoreOf = Callable[[Candidate], Score]
Accepts = Callable[[Candidate], bool]


class RankingOfTargets(Protocol):
    """The targets for the identical tasks of one step, best first."""

    def best(self) -> tuple[Candidate, Score] | None:
        """Return the best target and its score, or None if the tasks must wait."""

    def rescore_best(self) -> None:
        """Score the best target again after a task was reserved on it."""

    def candidates(self) -> list[Candidate]:
        """Return all targets that accept a task."""


class Ranking:
    """The targets that accept a task of a step, lowest score first.

    Targets with equal scores keep the order of ``candidates``.
    """

    def __init__(
        self, candidates: Iterable[Candidate], accepts: Accepts, score: ScoreOf
    ) -> None:
        self.accepts = accepts
        self.score = score
        self._heap = [
            (score(candidate), position, candidate)
            for position, candidate in enumerate(candidates)
            if accepts(candidate)
        ]
        heapq.heapify(self._heap)

    def best(self) -> tuple[Candidate, Score] | None:
        """Return the best target and its score, or None if no target accepts a task."""
        if not self._heap:
            return None
        score, _, candidate = self._heap[0]
        return candidate, score

    def rescore_best(self) -> None:
        """Score the best target again after a task was reserved on it."""
        _, position, candidate = self._heap[0]
        if self.accepts(candidate):
            heapq.heapreplace(self._heap, (self.score(candidate), position, candidate))
        else:
            heapq.heappop(self._heap)

    def candidates(self) -> list[Candidate]:
        """Return all targets that accept a task."""
        return [candidate for _, _, candidate in self._heap]
