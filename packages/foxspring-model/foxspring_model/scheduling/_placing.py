"""The choice of a target for one task."""

from collections.abc import Callable

from foxspring_model._resources import Resources
from foxspring_model.scheduling._records import TaskGroup, TaskRecord
from foxspring_model.scheduling._rooms import Room, Rooms
from foxspring_model.scheduling._settings import SchedulerSettings

TargetCost = Callable[[TaskGroup, Room], float]


def spread_cost(group: TaskGroup, room: Room, rooms: Rooms) -> float:
    """Return how crowded a target's rack is with replicas of the service."""
    if room.info is None:
        return 0.0
    here = room.replicas.get(group.service, 0)
    rack = rooms.rack_replicas(group.service, room.info.failure_domain, room.info.rack)
    return 100.0 * here + 10.0 * rack


def load_cost(group: TaskGroup, room: Room) -> float:
    """Return the share of the target's processors that would be held."""
    if room.info is None:
        return 0.0
    capacity = room.info.capacity.cores_milli
    if not capacity:
        return 0.0
    held = room.held.cores_milli + group.shape.resources.cores_milli
    return held / capacity


def domain_order(group: TaskGroup, rooms: Rooms) -> list[str]:
    """Return failure domains; for a service those with fewest replicas first."""
    names = rooms.domains()
    if group.service:
        names.sort(key=lambda name: rooms.domain_replicas(group.service, name))
    return names


def choose_target(
    record: TaskRecord,
    need: Resources,
    rooms: Rooms,
    cost: TargetCost,
    settings: SchedulerSettings,
) -> str:
    """Return the cheapest of a few random targets with room, or ``""``.

    Targets on which the task failed before are the last choice.
    """
    group = record.group
    enough = settings.candidates
    found: list[str] = []
    for domain in domain_order(group, rooms):
        found += rooms.find(domain, need, enough, settings.nodes_per_search)
        if len(found) >= enough or (found and group.service):
            break
    if not found:
        return ""

    def total(target_id: str) -> tuple[bool, float]:
        room = rooms.by_id[target_id]
        extra = spread_cost(group, room, rooms) if group.service else 0.0
        return target_id in record.failed_targets, cost(group, room) + extra

    return min(found, key=total)
