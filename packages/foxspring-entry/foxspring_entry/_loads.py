"""Reported load of target owners, and load balancing between them."""

import random
from collections.abc import Sequence
from typing import NamedTuple

from foxspring_model import EntryLoad

MIN_LOCAL_FREE_PER_TARGET = 1


class ServiceLoad(NamedTuple):
    """Load of one service as last reported by an owner.

    ``outstanding_delta`` is the number of requests sent to the owner since then
    minus the number of answers received; it may be negative.
    """

    free: int
    queued: int
    latency_us: int
    received_ms: int
    outstanding_delta: int = 0

    @property
    def pressure(self) -> int:
        """Return queued and outstanding requests minus free capacity."""
        return self.queued + self.outstanding_delta - self.free


class OwnerLoads:
    """Latest load report of each owner, adjusted by the requests sent since."""

    def __init__(self, max_age_ms: int) -> None:
        self.max_age_ms = max_age_ms
        self._service_loads: dict[str, dict[str, ServiceLoad]] = {}
        self._versions: dict[str, tuple[int, int]] = {}

    def store(self, load: EntryLoad, now_ms: int) -> bool:
        """Store an owner's load report; return false if a newer one is known."""
        version = (load.incarnation, load.sequence)
        if version <= self._versions.get(load.entry_id, (-1, -1)):
            return False
        self._versions[load.entry_id] = version
        self._service_loads[load.entry_id] = {
            service: ServiceLoad(free, queued, latency_us, now_ms)
            for service, free, queued, latency_us in load.services
        }
        return True

    def record_send(self, entry_id: str, service: str) -> None:
        """Count a request sent to an owner since its last report."""
        service_loads = self._service_loads.get(entry_id, {})
        service_load = service_loads.get(service)
        if service_load is not None:
            service_loads[service] = service_load._replace(
                outstanding_delta=service_load.outstanding_delta + 1
            )

    def record_answer(self, entry_id: str, service: str) -> None:
        """Count an answer received from an owner since its last report."""
        service_loads = self._service_loads.get(entry_id, {})
        service_load = service_loads.get(service)
        if service_load is not None:
            service_loads[service] = service_load._replace(
                outstanding_delta=service_load.outstanding_delta - 1
            )

    def service_load(
        self, entry_id: str, service: str, now_ms: int
    ) -> ServiceLoad | None:
        """Return an owner's load, or ``None`` if unknown or too old."""
        service_load = self._service_loads.get(entry_id, {}).get(service)
        if service_load is None or now_ms - service_load.received_ms > self.max_age_ms:
            return None
        return service_load

    def remove(self, entry_id: str) -> None:
        """Remove the load of an entry that has departed."""
        self._service_loads.pop(entry_id, None)
        self._versions.pop(entry_id, None)


class Candidate(NamedTuple):
    """An owner that may receive a request; ``weight`` is its number of targets.

    ``is_local`` marks this entry itself, whose load is always current.
    """

    entry_id: str
    weight: int
    service_load: ServiceLoad | None
    same_failure_domain: bool
    is_local: bool = False


def choose_owner(candidates: Sequence[Candidate], rng: random.Random) -> Candidate:
    """Choose this entry if it has free capacity, else the better of two owners.

    Free capacity means at least ``MIN_LOCAL_FREE_PER_TARGET`` free requests for
    each target that this entry owns.

    The two are drawn at random by weight, so that many entries with the same
    load reports do not all choose the same owner (herding). If both have equal
    load, an owner in this entry's failure domain is preferred.
    """
    for candidate in candidates:
        if candidate.is_local and _has_free_capacity(candidate):
            return candidate
    if len(candidates) == 1:
        return candidates[0]
    first = _draw(candidates, rng)
    second = _draw([c for c in candidates if c is not first], rng)
    return min((first, second), key=_cost)


def _has_free_capacity(candidate: Candidate) -> bool:
    headroom = -candidate.service_load.pressure if candidate.service_load else 0
    return headroom >= max(1, candidate.weight * MIN_LOCAL_FREE_PER_TARGET)


def _draw(candidates: Sequence[Candidate], rng: random.Random) -> Candidate:
    weights = [max(1, candidate.weight) for candidate in candidates]
    return rng.choices(candidates, weights=weights)[0]


def _cost(candidate: Candidate) -> tuple[int, int]:
    pressure = candidate.service_load.pressure if candidate.service_load else 0
    return pressure, 0 if candidate.same_failure_domain else 1
