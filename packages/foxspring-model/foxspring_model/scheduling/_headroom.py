"""Decides how many new replicas may be placed beside what is kept for losses.

Replicas are neither evicted nor limited by a quota. If they held nearly all of a
site, those of a lost failure domain would take what urgent tasks need, and keep it. New
replicas therefore leave the capacity of the largest failure domain and that for urgent
work; batch tasks may use both, since they can be evicted. A replica that has been
placed once is not held back again.
"""

from collections import deque
from typing import NamedTuple

from foxspring_model._resources import NO_RESOURCES, Resources
from foxspring_model.scheduling._records import TaskGroup, TaskRecord

PERCENT = 100
# Kept for urgent work that is yet to arrive, and the most that is kept for it.
MIN_URGENT_PERCENT = 7
MAX_URGENT_PERCENT = 20
# Beyond this, services would lose more than a loss costs urgent work.
MAX_DOMAIN_PERCENT = 20
# With fewer targets, a failure domain is too large a part of the site.
MIN_TARGETS = 13


class DomainCapacities:
    """The capacity of the targets that stay, in total and by failure domain."""

    def __init__(self) -> None:
        self.total: Resources = NO_RESOURCES
        self.by_domain: dict[str, Resources] = {}
        self.targets: dict[str, tuple[str, Resources]] = {}

    def put(self, target_id: str, domain: str, capacity: Resources) -> None:
        """Record a target that stays, or its new capacity."""
        self.remove(target_id)
        self.targets[target_id] = (domain, capacity)
        self._add(domain, capacity)

    def remove(self, target_id: str) -> None:
        """Remove a target; unknown ones are ignored."""
        known = self.targets.pop(target_id, None)
        if known is not None:
            domain, capacity = known
            self._add(domain, NO_RESOURCES.minus(capacity))

    def largest(self) -> Resources:
        """Return the most of each resource that a failure domain has."""
        return Resources(
            *map(max, NO_RESOURCES, NO_RESOURCES, *self.by_domain.values())
        )

    def _add(self, domain: str, change: Resources) -> None:
        self.total = self.total.plus(change)
        known = self.by_domain.get(domain, NO_RESOURCES)
        self.by_domain[domain] = known.plus(change)


class Kept(NamedTuple):
    """What new replicas leave to others, and the most that services then hold."""

    kept: Resources
    allowed: Resources


def kept_from(capacities: DomainCapacities, urgent_peak: Resources) -> Kept | None:
    """Return what new replicas leave, or ``None`` on a site of few targets."""
    if len(capacities.targets) < MIN_TARGETS:
        return None
    kept = Resources(
        *(
            min(domain, total * MAX_DOMAIN_PERCENT // PERCENT)
            + min(
                max(peak, total * MIN_URGENT_PERCENT // PERCENT),
                total * MAX_URGENT_PERCENT // PERCENT,
            )
            for total, domain, peak in zip(
                capacities.total, capacities.largest(), urgent_peak, strict=True
            )
        )
    )
    return Kept(kept, capacities.total.minus(kept))


class ReplicaAdmission:
    """Counts what services hold, and admits new replicas in order of arrival.

    ``counted`` has every replica that was placed or admitted, also while it waits for
    its restart, and ``services`` their number by service. The first replica of a
    service is always admitted. ``waiting`` may have records that no longer wait;
    ``waiting_ids`` has only those that do.
    """

    def __init__(self) -> None:
        self.total: Resources = NO_RESOURCES
        self.counted: dict[str, Resources] = {}
        self.services: dict[str, int] = {}
        self.waiting: deque[TaskRecord] = deque()
        self.waiting_ids: set[str] = set()

    def count(self, record: TaskRecord, size: Resources) -> None:
        """Count a replica with its size from now on."""
        before = self.counted.get(record.task_id)
        if before is None:
            service = record.group.service
            self.services[service] = self.services.get(service, 0) + 1
        self.counted[record.task_id] = size
        self.waiting_ids.discard(record.task_id)
        self.total = self.total.plus(size).minus(before or NO_RESOURCES)

    def remove(self, record: TaskRecord) -> None:
        """Forget a replica that has ended."""
        self.waiting_ids.discard(record.task_id)
        size = self.counted.pop(record.task_id, None)
        if size is None:
            return
        self.total = self.total.minus(size)
        self.services[record.group.service] -= 1

    def is_counted(self, record: TaskRecord) -> bool:
        """Return whether a replica was placed or admitted."""
        return record.task_id in self.counted

    def is_first(self, group: TaskGroup) -> bool:
        """Return whether the service of a group has no counted replica."""
        return not self.services.get(group.service)

    def holds_back(self, record: TaskRecord) -> bool:
        """Return whether a task is a replica that waits for its admission."""
        return record.task_id in self.waiting_ids

    def enqueue(self, record: TaskRecord) -> None:
        """Let a new replica wait for its admission."""
        if record.task_id not in self.waiting_ids:
            self.waiting_ids.add(record.task_id)
            self.waiting.append(record)

    def pass_over(self, record: TaskRecord) -> None:
        """Let a replica go on without counting it."""
        self.waiting_ids.discard(record.task_id)

    def refusal(self, group: TaskGroup, size: Resources, kept: Kept | None) -> str:
        """Return why one more replica of a group must wait, or ``""``."""
        if kept is None or self.is_first(group):
            return ""
        limits = zip(size._fields, size, self.total, *kept, strict=True)
        for name, amount, used, kept_amount, allowed in limits:
            if amount and used + amount > allowed:
                return (
                    f"{kept_amount} {name} are kept from new replicas for the loss of a"
                    f" failure domain and for urgent work; services hold {used} of"
                    f" at most {allowed} and the replica needs {amount}; add targets"
                )
        return ""
