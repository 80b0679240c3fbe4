"""The room on every target, and the search for a target with enough of it."""

import random
from collections import Counter
from collections.abc import Hashable
from typing import TypeVar

from foxspring_model._resources import NOTHING, Resources
from foxspring_model._target import TargetInfo
from foxspring_model.scheduling._fit_tree import FitTree
from foxspring_model.scheduling._records import TaskRecord

_Key = TypeVar("_Key", bound=Hashable)


class Room:
    """One target and what its tasks hold.

    ``info`` is ``None`` while the target has not announced itself but tasks are
    recorded there. ``closed`` keeps new work away for the reason it names, and
    so does ``quarantine``. ``claimed`` is the part of ``held`` that claims hold
    for tasks that are not placed yet, and ``kept`` what is left free for requests
    beside replicas. ``class_cores`` counts the cores that batch tasks of
    each work class hold, ``class_tasks`` those tasks.
    """

    __slots__ = (
        "claimed",
        "class_cores",
        "class_tasks",
        "closed",
        "counted",
        "held",
        "info",
        "kept",
        "quarantine",
        "replicas",
        "starting",
        "target_id",
        "tasks",
    )

    def __init__(self, target_id: str) -> None:
        self.target_id = target_id
        self.info: TargetInfo | None = None
        self.closed = ""
        self.quarantine = ""
        self.counted: Resources = NOTHING
        self.held: Resources = NOTHING
        self.claimed: Resources = NOTHING
        self.kept: Resources = NOTHING
        self.tasks: list[TaskRecord] = []
        self.starting = 0
        self.replicas: Counter[str] = Counter()
        self.class_cores: Counter[str] = Counter()
        self.class_tasks: Counter[str] = Counter()

    @property
    def free(self) -> Resources:
        """What is left; negative where corrected sizes exceed the capacity."""
        if self.info is None:
            return NOTHING
        return self.info.capacity.minus(self.held)

    @property
    def is_open(self) -> bool:
        """Whether new work may come here, if it fits."""
        return self.info is not None and not self.closed and not self.quarantine


def _count(counts: Counter[_Key], key: _Key, change: int) -> None:
    counts[key] += change
    if not counts[key]:
        del counts[key]


class Rooms:
    """Every target's room with one search tree a failure domain.

    ``total_free`` is the sum over open targets, ``largest`` the most of each
    resource that one target was seen to have, ``capacities`` counts the
    announced targets by what they hold.
    """

    def __init__(self, rng: random.Random, starting_per_target: int) -> None:
        self.by_id: dict[str, Room] = {}
        self.total_free: Resources = NOTHING
        self.largest: Resources = NOTHING
        self._request_room: dict[str, Resources] = {}
        self.capacities: Counter[Resources] = Counter()
        self._names: list[str] = []
        self._name_at: dict[str, int] = {}
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
        if before is None:
            self._list_name(info.target_id)
        else:
            _count(self.capacities, before.capacity, -1)
        _count(self.capacities, info.capacity, 1)
        room.info = info
        self.largest = Resources(*map(max, self.largest, info.capacity))
        self._count_place(room, 1)
        self._keep_for_requests(room)
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
        _count(self.capacities, room.info.capacity, -1)
        self._unlist_name(target_id)
        room.info = None
        self._count_free(room, NOTHING)
        self.drop_if_unused(room)

    def drop_if_unused(self, room: Room) -> None:
        """Delete a room without a target and without tasks."""
        if room.info is None and not room.tasks:
            self.by_id.pop(room.target_id, None)

    def set_request_room(self, kept: dict[str, Resources]) -> None:
        """Keep room beside each replica for its service's requests."""
        if kept == self._request_room:
            return
        self._request_room = kept
        for room in self.by_id.values():
            if room.replicas:
                self._keep_for_requests(room)
                self.refresh(room)

    def spare(self, room: Room) -> Resources:
        """Return what new work may take: what is free but for requests' room."""
        return room.free.minus(room.kept) if room.replicas else room.free

    def _keep_for_requests(self, room: Room) -> None:
        """Recount the room for requests, half of a target at the most."""
        if room.info is None or not room.replicas:
            room.kept = NOTHING
            return
        kept = NOTHING
        for service, count in room.replicas.items():
            one = self._request_room.get(service, NOTHING)
            kept = kept.plus(Resources(*(count * amount for amount in one)))
        half = (amount // 2 for amount in room.info.capacity)
        room.kept = Resources(*map(min, kept, half))

    def refresh(self, room: Room) -> None:
        """Bring the search tree up to date with ``room``."""
        if room.info is None:
            return
        tree = self._trees.get(room.info.failure_domain)
        if tree is None:
            tree = FitTree()
            self._trees[room.info.failure_domain] = tree
        busy = room.starting >= self._starting_per_target
        free = self.spare(room) if room.is_open else None
        tree.put(room.target_id, None if busy else free)
        self._count_free(room, NOTHING if free is None else free)

    def count_replica(self, room: Room, service: str, change: int) -> None:
        """Count a replica more or less by target, rack and failure domain."""
        _count(room.replicas, service, change)
        self._keep_for_requests(room)
        self._count_spread(room, service, change)

    def domain_replicas(self, service: str, domain: str) -> int:
        """Return the replicas of ``service`` placed in a failure domain."""
        return self._spread.get((service, domain, ""), 0)

    def rack_replicas(self, service: str, domain: str, rack: str) -> int:
        """Return the replicas of ``service`` placed in a rack."""
        return self._spread.get((service, domain, rack), 0)

    def class_tasks_on(self, target_id: str, work_class: str) -> int:
        """Return how many tasks of a work class a target holds."""
        room = self.by_id.get(target_id)
        return room.class_tasks.get(work_class, 0) if room is not None else 0

    @property
    def known(self) -> int:
        """How many targets have announced themselves."""
        return len(self._names)

    def sample(self, most: int) -> list[str]:
        """Return up to ``most`` distinct random targets, open or not."""
        picks = range(min(most, len(self._names)))
        found = {self._names[self._rng.randrange(len(self._names))] for _ in picks}
        return sorted(found)

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

    def _list_name(self, target_id: str) -> None:
        self._name_at[target_id] = len(self._names)
        self._names.append(target_id)

    def _unlist_name(self, target_id: str) -> None:
        place = self._name_at.pop(target_id)
        last = self._names.pop()
        if last != target_id:
            self._names[place] = last
            self._name_at[last] = place

    def _count_place(self, room: Room, sign: int) -> None:
        for service, count in room.replicas.items():
            self._count_spread(room, service, sign * count)

    def _count_spread(self, room: Room, service: str, change: int) -> None:
        if room.info is None:
            return
        domain, rack = room.info.failure_domain, room.info.rack
        _count(self._spread, (service, domain, ""), change)
        _count(self._spread, (service, domain, rack), change)

    def _count_free(self, room: Room, free: Resources) -> None:
        self.total_free = self.total_free.plus(free).minus(room.counted)
        room.counted = free
