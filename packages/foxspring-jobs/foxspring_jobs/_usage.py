"""Tells in which services half of the capacity is free.

Load pattern: a service is nearly unused while a job waits for a better target than the
free ones. While half of its service is free, a job without runs gets one task at any
cost.
"""

from collections.abc import Iterable, Sequence

from foxspring_jobs._candidates import PERCENT, Candidate
from foxspring_jobs._room_index import RoomIndex
from foxspring_jobs._state import State, TargetState

BUSY_FREE_PERCENT = 50


class ServiceUsage:
    """The use of each service in one plan.

    ``busy`` are the services of which less than half was free on the usable targets at
    the beginning of the plan.
    """

    def __init__(
        self, state: State, candidates: Sequence[Candidate], room: RoomIndex
    ) -> None:
        self.state = state
        self.candidates = candidates
        self.busy = frozenset(
            service
            for service, capacity in room.capacity.items()
            if _is_half_used(capacity, room.free_cores[service])
        )
        self._half_used: set[str] = set()

    def is_half_free(self, service: str) -> bool:
        """Return whether half of a service is free, of all and of the usable targets.

        Once it is not, it stays so for the rest of the plan.
        """
        if service not in self._half_used:
            known = self.state.targets.values()
            if _is_used(known, service) or _is_planned(self.candidates, service):
                self._half_used.add(service)
        return service not in self._half_used


def _is_used(targets: Iterable[TargetState], service: str) -> bool:
    own = [target for target in targets if target.registered.service == service]
    capacity = sum(target.registered.capacity.cores_milli for target in own)
    used = sum(target.used.cores_milli for target in own)
    return _is_half_used(capacity, capacity - used)


def _is_planned(candidates: Iterable[Candidate], service: str) -> bool:
    """Return whether half of the usable targets is in use with the plan's starts."""
    own = [c for c in candidates if c.target.registered.service == service]
    capacity = sum(c.target.registered.capacity.cores_milli for c in own)
    free = sum(max(0, candidate.free.cores_milli) for candidate in own)
    return _is_half_used(capacity, free)


def _is_half_used(capacity: int, free: int) -> bool:
    return free * PERCENT < capacity * BUSY_FREE_PERCENT
