"""The room on every target, and the search for a target with enough of it."""

import random
from collections import Counter
from collections.abc import Hashable
from typing import TypeVar

from foxspring_model._resources import NOTHING, Resources
from foxspring_model._target import TargetInfo
from foxspring_model.scheduling._fit_tree import FitTree

_Key = TypeVar("_Key", bound=Hashable)


class Room:
    """One target and what its tasks hold.

    ``info`` is ``None`` while the target has not announced itself but tasks are
    recorded there. ``closed`` keeps new work away for the reason it names.
    """

    __slots__ = (
        "closed",
        "held",
        "info",
        "replicas",
        "starting",
        "target_id",
        "tasks",
        "work_classes",
    )

    def __init__(self, target_id: str) -> None:
        self.target_id = target_id
        self.info: TargetInfo | None = None
        self.closed = ""
        self.held: Resources = NOTHING
        self.tasks: set[str] = set()
        self.starting = 0
        self.replicas: Counter[str] = Counter()
        self.work_classes: Counter[str] = Counter()

    @property
    def free(self) -> Resources:
        """What is left; negative where corrected sizes exceed the capacity."""
        if self.info is None:
            return NOTHING
        return Resources(
            *(a - b for a, b in zip(self.info.capacity, self.held, strict=True))
        )


def _count(counts: Counter[_Key], key: _Key, change: int) -> None:
    counts[key] += change
    if not counts[key]:
        del counts[key]


class Rooms:
    """Every target's room with one search tree a failure domain."""

    def __init__(self, rng: random.Random, starting_per_target: int) -> None:
        self.by_id: dict[str, Room] = {}
        self._trees: dict[str, FitTree] = {}
        self._spread: Counter[tuple[str, str, str]] = Counter()
        self._rng = rng
        self._starting_per_target = starting_per_target

    def room(self, target_id: str) -> Room:
        """Return the room of ``target_id``, made if it is not known yet."""
        room = self.by_id.get(target_id)
        if room is None:
            room = Room(target_id)
            self.by_id[target_id] = room
        return room

    def announce(self, info: TargetInfo, closed: str) -> Room:
        """Record what a target said of itself; ``closed`` as in ``Room``."""
        room = self.room(info.target_id)
        before = room.info
        if before is not None and before.failure_domain != info.failure_domain:
            self._trees[before.failure_domain].remove(info.target_id)
        self._count_place(room, -1)
        room.info = info
        self._count_place(room, 1)
        room.closed = closed
        self.refresh(room)
        return room

    def remove(self, target_id: str) -> None:
        """Forget a target; what its tasks hold is kept until they leave it."""
        room = self.by_id.get(target_id)
        if room is None or room.info is None:
            return
        self._trees[room.info.failure_domain].remove(target_id)
        self._count_place(room, -1)
        room.info = None
        self.drop_if_unused(room)

    def drop_if_unused(self, room: Room) -> None:
        """Delete a room without a target and without tasks."""
        if room.info is None and not room.tasks:
            self.by_id.pop(room.target_id, None)

    def refresh(self, room: Room) -> None:
        """Bring the search tree up to date with ``room``."""
        if room.info is None:
            return
        tree = self._trees.get(room.info.failure_domain)
        if tree is None:
            tree = FitTree()
            self._trees[room.info.failure_domain] = tree
        busy = room.starting >= self._starting_per_target
        tree.put(room.target_id, None if room.closed or busy else room.free)

    def count_replica(self, room: Room, service: str, change: int) -> None:
        """Count a replica more or less by target, rack and failure domain."""
        _count(room.replicas, service, change)
        self._count_spread(room, service, change)

    def domain_replicas(self, service: str, domain: str) -> int:
        """Return the replicas of ``service`` placed in a failure domain."""
        return self._spread.get((service, domain, ""), 0)

    def rack_replicas(self, service: str, domain: str, rack: str) -> int:
        """Return the replicas of ``service`` placed in a rack."""
        return self._spread.get((service, domain, rack), 0)

    def domains(self) -> list[str]:
        """Return the failure domains in a random order."""
        names = list(self._trees)
        self._rng.shuffle(names)
        return names

    def may_fit(self, need: Resources) -> bool:
        """Tell quickly whether any target could have room for ``need``."""
        return any(tree.may_fit(need) for tree in self._trees.values())

    def find(self, domain: str, need: Resources, most: int, visits: int) -> list[str]:
        """Return up to ``most`` targets of ``domain`` with room for ``need``."""
        tree = self._trees[domain]
        if not tree.may_fit(need):
            return []
        return tree.find(need, self._rng.random(), most, visits)

    def _count_place(self, room: Room, sign: int) -> None:
        for service, count in room.replicas.items():
            self._count_spread(room, service, sign * count)

    def _count_spread(self, room: Room, service: str, change: int) -> None:
        if room.info is None:
            return
        domain, rack = room.info.failure_domain, room.info.rack
        _count(self._spread, (service, domain, ""), change)
        _count(self._spread, (service, domain, rack), change)
