"""Load figures of the owners and the choice between them."""

import random
from collections.abc import Sequence
from typing import NamedTuple

from foxspring_model import EntryLoad

OWN_ROOM_A_TARGET = 1


class Figure(NamedTuple):
    """What an owner last told of one service.

    ``sends`` is how many more of our requests are there than at that time; it
    is negative when more were answered than sent since.
    """

    free: int
    queued: int
    latency_us: int
    received_ms: int
    sends: int = 0

    @property
    def pressure(self) -> int:
        """Return how far the owner is from having free room; lower is better."""
        return self.queued + self.sends - self.free


class LoadBook:
    """The newest figures of each owner, with the requests sent since."""

    def __init__(self, max_age_ms: int) -> None:
        self.max_age_ms = max_age_ms
        self._figures: dict[str, dict[str, Figure]] = {}
        self._order: dict[str, tuple[int, int]] = {}

    def store(self, load: EntryLoad, now_ms: int) -> bool:
        """Take an owner's figures unless newer ones are held."""
        order = (load.incarnation, load.sequence)
        if order <= self._order.get(load.entry_id, (-1, -1)):
            return False
        self._order[load.entry_id] = order
        self._figures[load.entry_id] = {
            service: Figure(free, queued, latency_us, now_ms)
            for service, free, queued, latency_us in load.services
        }
        return True

    def note_send(self, entry_id: str, service: str) -> None:
        """Count a request sent to an owner since its figures."""
        figures = self._figures.get(entry_id, {})
        figure = figures.get(service)
        if figure is not None:
            figures[service] = figure._replace(sends=figure.sends + 1)

    def note_answer(self, entry_id: str, service: str) -> None:
        """Count an answer of an owner since its figures."""
        figures = self._figures.get(entry_id, {})
        figure = figures.get(service)
        if figure is not None:
            figures[service] = figure._replace(sends=figure.sends - 1)

    def figure(self, entry_id: str, service: str, now_ms: int) -> Figure | None:
        """Return an owner's figures if they are young enough to use."""
        figure = self._figures.get(entry_id, {}).get(service)
        if figure is None or now_ms - figure.received_ms > self.max_age_ms:
            return None
        return figure

    def forget(self, entry_id: str) -> None:
        """Drop the figures of an entry that is gone."""
        self._figures.pop(entry_id, None)
        self._order.pop(entry_id, None)


class Candidate(NamedTuple):
    """An owner that may take a request; ``weight`` is its number of targets.

    The figures of ``own``, this entry itself, are not aged.
    """

    entry_id: str
    weight: int
    figure: Figure | None
    near: bool
    own: bool = False


def choose_owner(candidates: Sequence[Candidate], rng: random.Random) -> Candidate:
    """Return this entry while it has room, else the better of two owners.

    The two are drawn at random by weight, which keeps many entries with the
    same figures from all choosing the same owner. Between equals the one in
    our failure domain is taken.
    """
    for candidate in candidates:
        if candidate.own and _has_ample_room(candidate):
            return candidate
    if len(candidates) == 1:
        return candidates[0]
    first = _draw(candidates, rng)
    second = _draw([c for c in candidates if c is not first], rng)
    return min((first, second), key=_cost)


def _has_ample_room(candidate: Candidate) -> bool:
    room = -candidate.figure.pressure if candidate.figure else 0
    return room >= max(1, candidate.weight * OWN_ROOM_A_TARGET)


def _draw(candidates: Sequence[Candidate], rng: random.Random) -> Candidate:
    weights = [max(1, candidate.weight) for candidate in candidates]
    return rng.choices(candidates, weights=weights)[0]


def _cost(candidate: Candidate) -> tuple[int, int]:
    pressure = candidate.figure.pressure if candidate.figure else 0
    return pressure, 0 if candidate.near else 1
