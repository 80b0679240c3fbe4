"""Decides how much of each service new long-running tasks may hold.

New long-running tasks leave 7% of a service for short tasks and as much as its largest
failure domain has, at most a fifth, so that the tasks of a lost domain can run again
beside short ones.

Load pattern: long-running tasks ask for more than a service has, short ones keep
arriving, and a failure domain is lost. The interrupted long-running tasks run again
wherever there is room and keep it for as long as they last. After the loss, new
long-running tasks wait until all that they should leave is free again.
"""

from collections import Counter
from collections.abc import Collection, Iterable
from typing import NamedTuple

from foxspring_model import Resources

from foxspring_jobs._candidates import PERCENT, SHORT_TASK_RESERVE_PERCENT
from foxspring_jobs._state import TargetState

# More would stay idle on sites with few failure domains.
MAX_HEADROOM_PERCENT = 20
# In a smaller service, a single long-running job may need as much as a failure domain
# has, and would wait for ever.
MIN_TARGETS_FOR_HEADROOM = 30
# With fewer targets, a reserve of whole ones would be too large a part of a service.
MIN_TARGETS = 13


def cores_of(target: TargetState) -> int:
    """Return the capacity of a target in millicores."""
    return target.registered.capacity.cores_milli


def staying_targets(targets: Iterable[TargetState], service: str) -> list[TargetState]:
    """Return the targets of a service that are not draining."""
    return [
        target
        for target in targets
        if target.registered.service == service and not target.registered.draining
    ]


def is_divisible(targets: Collection[TargetState]) -> bool:
    """Return whether a service has enough targets for a reserve of whole ones."""
    return len(targets) >= MIN_TARGETS


def cores_to_leave(
    targets: Iterable[TargetState], short_tasks_expected: bool = True
) -> int:
    """Return the millicores of a service that new long-running tasks leave free.

    ``targets`` are those of the service that stay. The result is the reserve for short
    tasks, if they are expected, and the capacity of the largest failure domain, as far
    as that is at most ``MAX_HEADROOM_PERCENT``, unless the service is small.
    """
    targets = list(targets)
    domains: Counter[str] = Counter()
    for target in targets:
        domains[target.registered.failure_domain] += cores_of(target)
    total = domains.total()
    largest = max(domains.values(), default=0)
    headroom = min(largest, total * MAX_HEADROOM_PERCENT // PERCENT)
    if len(targets) < MIN_TARGETS_FOR_HEADROOM:
        headroom = 0
    reserve = total * SHORT_TASK_RESERVE_PERCENT // PERCENT
    return headroom + (reserve if short_tasks_expected else 0)


class Room(NamedTuple):
    """An amount of what long-running tasks take; it may be negative."""

    cores_milli: int
    memory_mb: int


NO_ROOM = Room(0, 0)


def room_of(reserved: Resources, tasks: int = 1) -> Room:
    """Return what tasks of a size take together."""
    return Room(tasks * reserved.cores_milli, tasks * reserved.memory_mb)


class LongRunningRoom:
    """What new long-running tasks may still take in one plan.

    ``targets`` are all that are registered, also those that may start nothing now: what
    runs on a silent or draining target may soon need room elsewhere, and a new leader
    hears from its targets one by one. A service of few targets has no limit.

    Steps are admitted in the order of the plan: after the first one that exceeds what
    is left of its service, all later ones wait, so that small tasks do not overtake
    large ones for ever. One that is larger than every target holds up no other.
    """

    def __init__(
        self, targets: Iterable[TargetState], short_tasks_expected: bool
    ) -> None:
        self.targets = targets
        self.short_tasks_expected = short_tasks_expected
        self.allowed: dict[str, Room | None] = {}
        self.taken: dict[str, Room] = {}
        self.closed: set[str] = set()

    def admit(self, service: str, reserved: Resources) -> bool:
        """Return whether one more new task of that size may start.

        If one that fits on a target may not, no later one of its service may.
        """
        if service in self.closed:
            return False
        if self.has_room(service, room_of(reserved)):
            return True
        if self._fits_on_a_target(service, reserved):
            self.closed.add(service)
        return False

    def has_room(self, service: str, asked: Room) -> bool:
        """Return whether so much may start; tasks behind it do not wait for it."""
        allowed = self._allowed(service)
        if allowed is None:
            return True
        taken = self.taken.get(service, NO_ROOM)
        return all(
            not more or more <= most - used
            for more, most, used in zip(asked, allowed, taken, strict=True)
        )

    def take(self, service: str, room: Room, sign: int = 1) -> None:
        """Count a start of the plan, or undo it with ``sign`` -1."""
        taken = self.taken.get(service, NO_ROOM)
        self.taken[service] = Room(
            taken.cores_milli + sign * room.cores_milli,
            taken.memory_mb + sign * room.memory_mb,
        )

    def _fits_on_a_target(self, service: str, reserved: Resources) -> bool:
        targets = staying_targets(self.targets, service)
        return any(reserved.fits_in(t.registered.capacity) for t in targets)

    def _allowed(self, service: str) -> Room | None:
        """Return what was left at the beginning of the plan, or None for no limit."""
        if service not in self.allowed:
            self.allowed[service] = _allowed_room(
                self.targets, service, self.short_tasks_expected
            )
        return self.allowed[service]


def _allowed_room(
    targets: Iterable[TargetState], service: str, short_tasks_expected: bool
) -> Room | None:
    own = [target for target in targets if target.registered.service == service]
    staying = staying_targets(own, service)
    if not is_divisible(staying):
        return None
    cores = sum(map(cores_of, staying))
    memory_mb = sum(target.registered.capacity.memory_mb for target in staying)
    kept = cores_to_leave(staying, short_tasks_expected)
    # The same share of both is kept.
    kept_memory_mb = memory_mb * kept // cores if cores else 0
    return Room(
        cores - kept - sum(target.long_running_cores for target in own),
        memory_mb - kept_memory_mb - sum(t.long_running_memory_mb for t in own),
    )
