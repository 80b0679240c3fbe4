"""The free capacity of every target, and the search for targets that fit."""

import random
from collections import Counter
from collections.abc import Hashable
from typing import TypeVar

from foxspring_model._resources import NO_RESOURCES, Resources
from foxspring_model._target import TargetInfo
from foxspring_model.scheduling._fit_tree import FitTree
from foxspring_model.scheduling._headroom import DomainCapacities
from foxspring_model.scheduling._records import TaskRecord

_Key = TypeVar("_Key", bound=Hashable)


class TargetRecord:
    """One target and the resources that its tasks hold.

    ``info`` is ``None`` if tasks are recorded on the target but it has not
    announced itself. The target accepts no new tasks while ``closed_reason`` or
    ``quarantine_reason`` is set. ``held`` is the sum over ``tasks``, and ``claimed``
    the part of it that claims hold for tasks that are not placed yet.
    ``request_headroom`` is kept free for requests to the replicas.
    ``class_cores`` counts the thousandths of a core that batch tasks of each work
    class hold, ``class_tasks`` those tasks, and ``starting`` the tasks that are
    being started. ``counted_free`` is the target's part of the total free capacity.
    """

    __slots__ = (
        "claimed",
        "class_cores",
        "class_tasks",
        "closed_reason",
        "counted_free",
        "held",
        "info",
        "quarantine_reason",
        "replicas",
        "request_headroom",
        "starting",
        "target_id",
        "tasks",
    )

    def __init__(self, target_id: str) -> None:
        self.target_id = target_id
        self.info: TargetInfo | None = None
        self.closed_reason = ""
        self.quarantine_reason = ""
        self.counted_free: Resources = NO_RESOURCES
        self.held: Resources = NO_RESOURCES
        self.claimed: Resources = NO_RESOURCES
        self.request_headroom: Resources = NO_RESOURCES
        self.tasks: list[TaskRecord] = []
        self.starting = 0
        self.replicas: Counter[str] = Counter()
        self.class_cores: Counter[str] = Counter()
        self.class_tasks: Counter[str] = Counter()

    @property
    def free(self) -> Resources:
        """Unheld capacity; negative if corrected sizes or claims exceed it."""
        if self.info is None:
            return NO_RESOURCES
        return self.info.capacity.minus(self.held)

    @property
    def is_open(self) -> bool:
        """Whether the target accepts new tasks that fit."""
        return (
            self.info is not None
            and not self.closed_reason
            and not self.quarantine_reason
        )


def _add_count(counts: Counter[_Key], key: _Key, change: int) -> None:
    counts[key] += change
    if not counts[key]:
        del counts[key]


class TargetTable:
    """Every target record, with one search tree for each failure domain.

    ``total_free`` is the capacity for new tasks summed over open targets.
    ``largest`` is the maximum of each resource that any target has announced, and
    ``capacities`` counts the announced targets by capacity, and ``staying`` has the
    capacity of those that are neither leaving nor draining.
    """

    def __init__(self, rng: random.Random, starting_per_target: int) -> None:
        self.by_id: dict[str, TargetRecord] = {}
        self.total_free: Resources = NO_RESOURCES
        self.largest: Resources = NO_RESOURCES
        self._request_headroom: dict[str, Resources] = {}
        self.capacities: Counter[Resources] = Counter()
        self.staying = DomainCapacities()
        self._target_ids: list[str] = []
        self._index_of: dict[str, int] = {}
        self._trees: dict[str, FitTree] = {}
        self._replica_counts: Counter[tuple[str, str, str]] = Counter()
        self._rng = rng
        self._starting_per_target = starting_per_target

    def get_or_create(self, target_id: str) -> TargetRecord:
        """Return the record of ``target_id``, creating it if it does not exist."""
        target = self.by_id.get(target_id)
        if target is None:
            target = TargetRecord(target_id)
            self.by_id[target_id] = target
        return target

    def announce(self, info: TargetInfo, closed_reason: str) -> TargetRecord:
        """Record a target's announcement.

        ``closed_reason`` is as in :class:`TargetRecord`.
        """
        target = self.get_or_create(info.target_id)
        before = target.info
        if before is not None and before.failure_domain != info.failure_domain:
            self._trees[before.failure_domain].remove(info.target_id)
        self._add_replica_counts(target, -1)
        if before is None:
            self._add_id(info.target_id)
        else:
            _add_count(self.capacities, before.capacity, -1)
        _add_count(self.capacities, info.capacity, 1)
        target.info = info
        self.largest = Resources(*map(max, self.largest, info.capacity))
        self._add_replica_counts(target, 1)
        self._update_request_headroom(target)
        target.closed_reason = closed_reason
        if closed_reason:
            self.staying.remove(info.target_id)
        else:
            self.staying.put(info.target_id, info.failure_domain, info.capacity)
        self.refresh(target)
        return target

    def remove(self, target_id: str) -> None:
        """Remove a target; its record remains while tasks hold resources there."""
        target = self.by_id.get(target_id)
        if target is None or target.info is None:
            return
        self._trees[target.info.failure_domain].remove(target_id)
        self._add_replica_counts(target, -1)
        _add_count(self.capacities, target.info.capacity, -1)
        self._remove_id(target_id)
        self.staying.remove(target_id)
        target.info = None
        self._count_free(target, NO_RESOURCES)
        self.drop_if_unused(target)

    def drop_if_unused(self, target: TargetRecord) -> None:
        """Delete the record of a target that is removed and has no tasks."""
        if target.info is None and not target.tasks:
            self.by_id.pop(target.target_id, None)

    def set_request_headroom(self, headroom: dict[str, Resources]) -> None:
        """Set the headroom for requests to each replica, by service."""
        if headroom == self._request_headroom:
            return
        self._request_headroom = headroom
        for target in self.by_id.values():
            if target.replicas:
                self._update_request_headroom(target)
                self.refresh(target)

    def available(self, target: TargetRecord) -> Resources:
        """Return the capacity for new tasks: free capacity less request headroom."""
        return (
            target.free.minus(target.request_headroom)
            if target.replicas
            else target.free
        )

    def _update_request_headroom(self, target: TargetRecord) -> None:
        """Recompute the request headroom, at most half of the target's capacity."""
        if target.info is None or not target.replicas:
            target.request_headroom = NO_RESOURCES
            return
        headroom = NO_RESOURCES
        for service, count in target.replicas.items():
            one = self._request_headroom.get(service, NO_RESOURCES)
            headroom = headroom.plus(Resources(*(count * amount for amount in one)))
        half = (amount // 2 for amount in target.info.capacity)
        target.request_headroom = Resources(*map(min, headroom, half))

    def refresh(self, target: TargetRecord) -> None:
        """Update the search tree and the total free capacity from ``target``."""
        if target.info is None:
            return
        tree = self._trees.get(target.info.failure_domain)
        if tree is None:
            tree = FitTree()
            self._trees[target.info.failure_domain] = tree
        busy = target.starting >= self._starting_per_target
        free = self.available(target) if target.is_open else None
        tree.put(target.target_id, None if busy else free)
        self._count_free(target, NO_RESOURCES if free is None else free)

    def count_replica(self, target: TargetRecord, service: str, change: int) -> None:
        """Add ``change`` to the replica counts of target, rack and failure domain."""
        _add_count(target.replicas, service, change)
        self._update_request_headroom(target)
        self._add_replica_count(target, service, change)

    def domain_replicas(self, service: str, domain: str) -> int:
        """Return the number of replicas of ``service`` in a failure domain."""
        return self._replica_counts.get((service, domain, ""), 0)

    def rack_replicas(self, service: str, domain: str, rack: str) -> int:
        """Return the number of replicas of ``service`` in a rack."""
        return self._replica_counts.get((service, domain, rack), 0)

    def class_tasks_on(self, target_id: str, work_class: str) -> int:
        """Return the number of batch tasks of a work class on a target."""
        target = self.by_id.get(target_id)
        return target.class_tasks.get(work_class, 0) if target is not None else 0

    @property
    def announced_count(self) -> int:
        """Number of announced targets."""
        return len(self._target_ids)

    def sample(self, limit: int) -> list[str]:
        """Return up to ``limit`` distinct random target ids, open or not."""
        picks = range(min(limit, len(self._target_ids)))
        found = {
            self._target_ids[self._rng.randrange(len(self._target_ids))] for _ in picks
        }
        return sorted(found)

    def domains(self) -> list[str]:
        """Return the failure domains in a random order."""
        names = list(self._trees)
        self._rng.shuffle(names)
        return names

    def may_fit(self, need: Resources) -> bool:
        """Return quickly whether any target might fit ``need``."""
        return any(tree.may_fit(need) for tree in self._trees.values())

    def find(
        self, domain: str, need: Resources, limit: int, max_nodes: int
    ) -> list[str]:
        """Return up to ``limit`` targets of ``domain`` that fit ``need``."""
        tree = self._trees[domain]
        if not tree.may_fit(need):
            return []
        return tree.find(need, self._rng.random(), limit, max_nodes)

    def _add_id(self, target_id: str) -> None:
        self._index_of[target_id] = len(self._target_ids)
        self._target_ids.append(target_id)

    def _remove_id(self, target_id: str) -> None:
        index = self._index_of.pop(target_id)
        last = self._target_ids.pop()
        if last != target_id:
            self._target_ids[index] = last
            self._index_of[last] = index

    def _add_replica_counts(self, target: TargetRecord, sign: int) -> None:
        for service, count in target.replicas.items():
            self._add_replica_count(target, service, sign * count)

    def _add_replica_count(
        self, target: TargetRecord, service: str, change: int
    ) -> None:
        if target.info is None:
            return
        domain, rack = target.info.failure_domain, target.info.rack
        _add_count(self._replica_counts, (service, domain, ""), change)
        _add_count(self._replica_counts, (service, domain, rack), change)

    def _count_free(self, target: TargetRecord, free: Resources) -> None:
        self.total_free = self.total_free.plus(free).minus(target.counted_free)
        target.counted_free = free
