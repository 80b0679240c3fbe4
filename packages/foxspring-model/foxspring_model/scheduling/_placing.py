"""The choice of a target for one task."""

import math
from collections.abc import Callable

from foxspring_model._resources import Resources
from foxspring_model.scheduling._records import Lane, TaskGroup, TaskRecord
from foxspring_model.scheduling._rooms import Room, Rooms
from foxspring_model.scheduling._settings import SchedulerSettings
from foxspring_model.scheduling._site import Site

AVOIDED = math.inf
TargetCost = Callable[[TaskGroup, Room], float]
Choice = Callable[[TaskRecord, Resources], str]
ChoiceOf = Callable[[Site], Choice]

_HERE_COST = 100.0
_RACK_COST = 10.0
_FAILURE_COST = 5.0
_PRESSURE_COST = 4.0
_COMFORTABLE_PRESSURE = 0.5
_PERCENT = 100


def load_cost(group: TaskGroup, room: Room) -> float:
    """Return the share of the target's cores that would be held."""
    if room.info is None or not room.info.capacity.cores_milli:
        return 0.0
    held = room.held.cores_milli + group.shape.resources.cores_milli
    return held / room.info.capacity.cores_milli


def pairing_cost(site: Site) -> TargetCost:
    """Return the cost that weighs learnt interference beside the load.

    A batch target is avoided while its pressure is high or would become high,
    or while a pair that is not known yet is tried there by as many tasks as may.
    """

    def cost(group: TaskGroup, room: Room) -> float:
        load = load_cost(group, room)
        suspicion = _FAILURE_COST * site.failures.suspicion(room.target_id)
        if group.service:
            return load + suspicion + _replica_cost(site, group.service, room)
        if not room.replicas:
            return load + suspicion
        added = _added_cost(site, group, room)
        if added == AVOIDED and group.lane is Lane.URGENT:
            added = _HERE_COST
        return load + suspicion + added

    return cost


def discomfort(pressure: float) -> float:
    """Return how much a pressure counts; little while it is comfortable."""
    over = max(0.0, pressure - _COMFORTABLE_PRESSURE)
    return pressure + _PRESSURE_COST * over * over


def _replica_cost(site: Site, service: str, room: Room) -> float:
    shares = site.shares_on(room)
    level = site.load_of(room.target_id).levels.get(service, 0)
    return discomfort(site.model.predict(service, level, shares))


def _added_cost(site: Site, group: TaskGroup, room: Room) -> float:
    load = site.load_of(room.target_id)
    name = group.shape.work_class
    if load.state.steps or load.state.high:
        return AVOIDED
    if room.info is None or not room.info.capacity.cores_milli:
        return 0.0
    shares = site.shares_on(room)
    share = group.shape.resources.cores_milli / room.info.capacity.cores_milli
    weight = site.configuration.weights.tail_latency / _PERCENT
    total = 0.0
    for service in room.replicas:
        tried = room.class_tasks.get(name, 0) >= load.trials.limit(name)
        if tried and not site.model.known(service, name):
            return AVOIDED
        level = load.levels.get(service, 0)
        before = site.model.predict(service, level, shares)
        after = before + share * site.model.coefficient(service, name, level)
        if after > site.limits.high and after - before > 0.01:
            return AVOIDED
        total += discomfort(after) - discomfort(before)
    return 2.0 * weight * total


def spread_cost(group: TaskGroup, room: Room, rooms: Rooms) -> float:
    """Return how crowded the rack is with the service.

    A target has one replica of a service at most: requests go to targets, so a
    second one there would add no room and be lost together with the first.
    """
    if room.info is None or not group.service:
        return 0.0
    if room.replicas.get(group.service, 0):
        return AVOIDED
    rack = rooms.rack_replicas(group.service, room.info.failure_domain, room.info.rack)
    return _RACK_COST * rack


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
    best, least = "", (True, AVOIDED)
    seen = 0
    for domain in domain_order(group, rooms):
        wanted = settings.candidates - seen
        found = rooms.find(domain, need, wanted, settings.nodes_per_search)
        seen += len(found)
        for target_id in found:
            room = rooms.by_id[target_id]
            price = cost(group, room) + spread_cost(group, room, rooms)
            rank = (target_id in record.failed_targets, price)
            if price < AVOIDED and (not best or rank < least):
                best, least = target_id, rank
        if seen >= settings.candidates or (best and group.service):
            break
    return best


def choice_by(site: Site, cost: TargetCost) -> Choice:
    """Return the choice of the target that is cheapest by ``cost``."""

    def choose(record: TaskRecord, need: Resources) -> str:
        return choose_target(record, need, site.rooms, cost, site.settings)

    return choose


def paired_choice(site: Site) -> Choice:
    """Return the choice that weighs load and learnt interference."""
    return choice_by(site, pairing_cost(site))
