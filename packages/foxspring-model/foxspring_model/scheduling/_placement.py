"""Selection of a target for one task."""

import math
from collections.abc import Callable

from foxspring_model._resources import Resources
from foxspring_model.scheduling._records import Lane, TaskGroup, TaskRecord
from foxspring_model.scheduling._settings import SchedulerSettings
from foxspring_model.scheduling._site import Site
from foxspring_model.scheduling._target_table import TargetRecord, TargetTable

AVOIDED = math.inf
TargetCost = Callable[[TaskGroup, TargetRecord], float]
TargetSelector = Callable[[TaskRecord, Resources], str]
SelectorFactory = Callable[[Site], TargetSelector]

_URGENT_AVOIDED_COST = 100.0
_RACK_COST = 10.0
_FAILURE_COST = 5.0
_EXCESS_PRESSURE_WEIGHT = 4.0
_PRESSURE_THRESHOLD = 0.5
_PERCENT = 100


def load_cost(group: TaskGroup, target: TargetRecord) -> float:
    """Return the fraction of the target's cores held once a task is placed there."""
    if target.info is None or not target.info.capacity.cores_milli:
        return 0.0
    held = target.held.cores_milli + group.shape.resources.cores_milli
    return held / target.info.capacity.cores_milli


def interference_cost(site: Site) -> TargetCost:
    """Return a cost function that combines load, failures and interference.

    A target with replicas is avoided for batch work while its pressure is high or
    is predicted to become high. It is also avoided while it already runs as many
    tasks of a work class as :class:`TrialLimits` allows and the effect of this
    class on one of its services is not known yet. Urgent tasks are placed on such
    a target only if there is no other.
    """

    def cost(group: TaskGroup, target: TargetRecord) -> float:
        load = load_cost(group, target)
        failure_cost = _FAILURE_COST * site.failures.consecutive_failures(
            target.target_id
        )
        if group.service:
            return load + failure_cost + _replica_cost(site, group.service, target)
        if not target.replicas:
            return load + failure_cost
        added = _added_interference_cost(site, group, target)
        if added == AVOIDED and group.lane is Lane.URGENT:
            added = _URGENT_AVOIDED_COST
        return load + failure_cost + added

    return cost


def pressure_cost(pressure: float) -> float:
    """Return the cost of a pressure, quadratic above ``_PRESSURE_THRESHOLD``."""
    over = max(0.0, pressure - _PRESSURE_THRESHOLD)
    return pressure + _EXCESS_PRESSURE_WEIGHT * over * over


def _replica_cost(site: Site, service: str, target: TargetRecord) -> float:
    shares = site.shares_on(target)
    level = site.load_of(target.target_id).levels.get(service, 0)
    return pressure_cost(site.model.predict(service, level, shares))


def _added_interference_cost(
    site: Site, group: TaskGroup, target: TargetRecord
) -> float:
    load = site.load_of(target.target_id)
    name = group.shape.work_class
    if load.state.steps or load.state.high:
        return AVOIDED
    if target.info is None or not target.info.capacity.cores_milli:
        return 0.0
    shares = site.shares_on(target)
    share = group.shape.resources.cores_milli / target.info.capacity.cores_milli
    weight = site.configuration.weights.tail_latency / _PERCENT
    total = 0.0
    for service in target.replicas:
        tried = target.class_tasks.get(name, 0) >= load.trials.limit(name)
        if tried and not site.model.known(service, name):
            return AVOIDED
        level = load.levels.get(service, 0)
        before = site.model.predict(service, level, shares)
        after = before + share * site.model.coefficient(service, name, level)
        if after > site.limits.high and after - before > 0.01:
            return AVOIDED
        total += pressure_cost(after) - pressure_cost(before)
    return 2.0 * weight * total


def spread_cost(
    group: TaskGroup, target: TargetRecord, target_table: TargetTable
) -> float:
    """Return a cost that grows with the replicas of the service in the rack.

    A target runs at most one replica of a service: requests are routed to
    targets, so a second replica there would add no capacity and would be lost
    together with the first.
    """
    if target.info is None or not group.service:
        return 0.0
    if target.replicas.get(group.service, 0):
        return AVOIDED
    rack = target_table.rack_replicas(
        group.service, target.info.failure_domain, target.info.rack
    )
    return _RACK_COST * rack


def domain_order(group: TaskGroup, target_table: TargetTable) -> list[str]:
    """Return the failure domains, for a service those with fewest replicas first."""
    names = target_table.domains()
    if group.service:
        names.sort(key=lambda name: target_table.domain_replicas(group.service, name))
    return names


def choose_target(
    record: TaskRecord,
    need: Resources,
    target_table: TargetTable,
    cost: TargetCost,
    settings: SchedulerSettings,
) -> str:
    """Return the cheapest of a few random targets that fit, or ``""``.

    Targets on which the task has failed before are used only as a last resort.
    """
    group = record.group
    best, lowest = "", (True, AVOIDED)
    compared = 0
    for domain in domain_order(group, target_table):
        limit = settings.candidates - compared
        found = target_table.find(domain, need, limit, settings.nodes_per_search)
        compared += len(found)
        for target_id in found:
            target = target_table.by_id[target_id]
            total_cost = cost(group, target) + spread_cost(group, target, target_table)
            rank = (target_id in record.failed_targets, total_cost)
            if total_cost < AVOIDED and (not best or rank < lowest):
                best, lowest = target_id, rank
        if compared >= settings.candidates or (best and group.service):
            break
    return best


def selector_by_cost(site: Site, cost: TargetCost) -> TargetSelector:
    """Return a selector of the target with the lowest ``cost``."""

    def choose(record: TaskRecord, need: Resources) -> str:
        return choose_target(record, need, site.target_table, cost, site.settings)

    return choose


def interference_aware(site: Site) -> TargetSelector:
    """Return the default selector, which uses load, failures and interference."""
    return selector_by_cost(site, interference_cost(site))
