"""Simple placement policies to compare the scheduler with in benchmarks."""

from collections.abc import Callable

from foxspring_model._resources import Resources
from foxspring_model.scheduling._placement import (
    TargetSelector,
    load_cost,
    selector_by_cost,
)
from foxspring_model.scheduling._records import TaskRecord
from foxspring_model.scheduling._site import Site
from foxspring_model.scheduling._target_table import TargetRecord

_Key = Callable[[TargetRecord], tuple[float, str]]


def first_fit(site: Site) -> TargetSelector:
    """Return a selector of the first target, by id, that fits."""
    return _scan(site, lambda target: (0.0, target.target_id))


def least_loaded(site: Site) -> TargetSelector:
    """Return a selector of the target with the lowest share of cores held."""

    def choose(record: TaskRecord, need: Resources) -> str:
        def load(target: TargetRecord) -> tuple[float, str]:
            return load_cost(record.group, target), target.target_id

        return _scan(site, load)(record, need)

    return choose


def no_interference(site: Site) -> TargetSelector:
    """Return the scheduler's selector with the load as the only cost."""
    return selector_by_cost(site, load_cost)


def _scan(site: Site, key: _Key) -> TargetSelector:
    def choose(record: TaskRecord, need: Resources) -> str:
        fitting = [
            target
            for target in site.target_table.by_id.values()
            if target.is_open
            and target.starting < site.settings.starting_per_target
            and need.fits_in(site.target_table.available(target))
        ]
        if not fitting:
            return ""
        if record.group.service:
            return min(
                fitting, key=_fewest_replicas_first(record.group.service)
            ).target_id
        return min(fitting, key=key).target_id

    return choose


def _fewest_replicas_first(service: str) -> Callable[[TargetRecord], tuple[int, int]]:
    def key(target: TargetRecord) -> tuple[int, int]:
        return target.replicas.get(service, 0), target.replicas.total()

    return key
