"""Benchmarks of a whole site: recovery times, changes in force and memory."""

import statistics
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from foxspring_testing._clients import CallerRequest, OperatorClient
from foxspring_testing._operator_traffic import SERVICE, soak_configuration
from foxspring_testing._operator_views import owned_targets, service_targets
from foxspring_testing._revision_watch import RevisionWatch
from foxspring_testing._site import Site
from foxspring_testing._site_settings import SiteSize
from foxspring_testing._wait import wait_until

_REPEATS = 3
_SIZE = SiteSize(controls=3, entries=3, targets=4)
_KB_PER_MB = 1_000
_WAIT_S = 40.0


class SiteRow(NamedTuple):
    """One value with its bound, and the range of its samples in ``baseline``.

    Times are medians over the repeats, memory values are maxima.
    """

    name: str
    bound: str
    value: float
    unit: str
    baseline: str


def run_bench() -> list[SiteRow]:
    """Start a site on loopback, measure it and stop it."""
    with tempfile.TemporaryDirectory() as folder, Site(Path(folder), _SIZE) as site:
        operator = site.operator()
        site.wait_targets_owned()
        operator.apply(soak_configuration(), base=0)
        wait_until(lambda: bool(service_targets(operator, SERVICE)), "a replica")
        return [
            _row("change in force at every entry", "4", site, _time_in_force),
            _row("leader killed to next change", "2", site, _time_leader_loss),
            _row("owner killed to targets owned", "", site, _time_owner_loss),
            _row("owner killed to answer elsewhere", "", site, _time_next_answer),
            *_memory(site),
        ]


def _row(
    name: str, bound: str, site: Site, measure: Callable[[Site], float]
) -> SiteRow:
    times = [measure(site) for _ in range(_REPEATS)]
    spread = f"{min(times):.2f} to {max(times):.2f} of {_REPEATS}"
    return SiteRow(name, bound, statistics.median(times), "s", spread)


def _time_in_force(site: Site) -> float:
    operator, watch = site.operator(), RevisionWatch(site)
    revision = 0

    def in_force() -> bool:
        revisions = watch.poll()
        ready = len(revisions) == _SIZE.entries
        return ready and min(revisions.values()) >= revision

    wait_until(in_force, "entries that are ready", _WAIT_S)
    answer = _apply(operator)
    revision = int(answer["revision"])
    return wait_until(in_force, f"revision {revision} everywhere", _WAIT_S)


def _time_leader_loss(site: Site) -> float:
    operator = site.operator()
    leader = str(operator.get("/v1/status")["leader"])
    site.kill(leader)
    try:
        return wait_until(
            lambda: operator.drain("target-1", False).status == 200,
            "a committed change",
            _WAIT_S,
        )
    finally:
        site.start(leader)
        site.wait_ready()


def _time_owner_loss(site: Site) -> float:
    operator = site.operator()
    owner = next(iter(owned_targets(operator).values()))
    site.kill(owner)

    def moved() -> bool:
        owners = owned_targets(operator)
        return len(owners) == _SIZE.targets and owner not in owners.values()

    try:
        return wait_until(moved, f"targets of {owner} owned", _WAIT_S)
    finally:
        site.start(owner)
        site.wait_ready()


def _time_next_answer(site: Site) -> float:
    caller, operator = site.caller(), site.operator()
    target = service_targets(operator, SERVICE)[0]
    owner = owned_targets(operator)[target]
    other = next(name for name in site.names("entry") if name != owner)
    address = site.daemons[other].http
    site.kill(owner)
    sent = iter(range(1_000_000))

    def answered() -> bool:
        request = CallerRequest(SERVICE, f"bench-{next(sent)}", deadline_ms=1_000)
        return caller.call(address, request).verdict == "ran"

    try:
        return wait_until(answered, "an answer elsewhere", _WAIT_S)
    finally:
        site.start(owner)
        site.wait_ready()


def _apply(operator: OperatorClient) -> Any:
    base = int(operator.get("/v1/configuration")["revision"])
    return operator.apply(soak_configuration(base % 100), base).body


def _memory(site: Site) -> list[SiteRow]:
    rows = []
    for role in ("control", "entry"):
        sizes = [
            site.processes[name].resident_kb() / _KB_PER_MB for name in site.names(role)
        ]
        spread = f"{min(sizes):.1f} to {max(sizes):.1f} of {len(sizes)}"
        rows.append(SiteRow(f"resident memory, {role}", "32", max(sizes), "MB", spread))
    return rows
