"""Simple policies that the scheduler's own is measured against."""

from collections.abc import Callable

from foxspring_model._resources import Resources
from foxspring_model.scheduling._placing import Choice, choice_by, load_cost
from foxspring_model.scheduling._records import TaskRecord
from foxspring_model.scheduling._rooms import Room
from foxspring_model.scheduling._site import Site

_Key = Callable[[Room], tuple[float, str]]


def first_fit(site: Site) -> Choice:
    """Return the choice of the first target, by name, that has room."""
    return _scan(site, lambda room: (0.0, room.target_id))


def least_loaded(site: Site) -> Choice:
    """Return the choice of the target with the least share of cores held."""

    def choose(record: TaskRecord, need: Resources) -> str:
        def load(room: Room) -> tuple[float, str]:
            return load_cost(record.group, room), room.target_id

        return _scan(site, load)(record, need)

    return choose


def no_interference(site: Site) -> Choice:
    """Return the scheduler's choice without any figure of interference."""
    return choice_by(site, load_cost)


def _scan(site: Site, key: _Key) -> Choice:
    def choose(record: TaskRecord, need: Resources) -> str:
        fitting = [
            room
            for room in site.rooms.by_id.values()
            if room.is_open
            and room.starting < site.settings.starting_per_target
            and need.fits_in(site.rooms.spare(room))
        ]
        if not fitting:
            return ""
        if record.group.service:
            return min(fitting, key=_replicas_first(record.group.service)).target_id
        return min(fitting, key=key).target_id

    return choose


def _replicas_first(service: str) -> Callable[[Room], tuple[int, int]]:
    def key(room: Room) -> tuple[int, int]:
        return room.replicas.get(service, 0), room.replicas.total()

    return key
