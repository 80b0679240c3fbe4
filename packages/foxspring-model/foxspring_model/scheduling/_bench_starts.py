"""Benchmarks of urgent starts on a full site and the loss of a failure domain."""

import time
from typing import NamedTuple

from foxspring_model._job import Priority, TaskState
from foxspring_model._resources import Resources
from foxspring_model.scheduling._bench_row import Row, percentile, urgent_starts
from foxspring_model.scheduling._bench_speed import (
    DECIDE_MS,
    LARGE_TARGET,
    PEAK_STARTS_PER_S,
    TEAMS,
    large_scheduler,
)
from foxspring_model.scheduling._scheduler import Scheduler
from foxspring_model.scheduling._settings import SchedulerSettings
from foxspring_model.scheduling.tests.builders import a_target, a_task
from foxspring_model.scheduling.tests.fake_run import Faults
from foxspring_model.scheduling.tests.fake_site import LEASE_END_MS, FakeSite

_SLOT_SIZE = Resources(1, 0, 8_000, 24_000, 0)
_ENDLESS_MS = 1 << 30
_URGENT_MS = 5_000
_TARGETS = 2_100
_DOMAIN_TARGETS = 700
_STEP_MS = 1_000
_URGENT_SECONDS = 50
_BURST_STEPS = 100
_MAX_SECONDS = 120


def filled_site(scheduler: Scheduler, targets: int, per_target: int) -> FakeSite:
    """Return a site with an average of ``per_target`` running tasks per target."""
    site = FakeSite(scheduler, 1, Faults())
    site.checks = False
    for number in range(targets):
        site.add_target(a_target(number, LARGE_TARGET, 7, 40))
    for number in range(per_target * targets):
        team = f"team{number // 10 % TEAMS}"
        site.submit(
            a_task(number % 10, f"job{number // 10}", team, _SLOT_SIZE), _ENDLESS_MS
        )
    for _ in range(_MAX_SECONDS):
        if not waiting(site):
            break
        site.run(_STEP_MS, DECIDE_MS)
    return site


def waiting(site: FakeSite) -> int:
    """Return the number of queued tasks."""
    return sum(1 for t in site.tasks.values() if t.state is TaskState.QUEUED)


class UrgentFigures(NamedTuple):
    """Starts of urgent tasks: times in milliseconds, shares in percent."""

    p50_ms: float
    p99_ms: float
    started: float
    evictions: float
    core: float


def urgent_figures(reserve_decay_ms: int) -> UrgentFigures:
    """Submit urgent tasks at the peak rate in every other ten seconds.

    Every slot of the site is in use at the start.
    """
    settings = SchedulerSettings(reserve_decay_ms=reserve_decay_ms)
    site = filled_site(large_scheduler(0, settings), _TARGETS, LARGE_TARGET.slots)
    number = 0
    start_s = time.process_time()
    for step in range(_URGENT_SECONDS * 10):
        busy = step // _BURST_STEPS % 2 == 0
        for _ in range(PEAK_STARTS_PER_S // 10 if busy else 0):
            number += 1
            team = f"team{number % TEAMS}"
            task = a_task(0, f"u{number}", team, _SLOT_SIZE, Priority.URGENT)
            site.submit(task, _URGENT_MS)
        site.run(_STEP_MS // 10, DECIDE_MS)
    spent_s = time.process_time() - start_s
    starts = urgent_starts(site)
    return UrgentFigures(
        percentile(starts, 0.5),
        percentile(starts, 0.99),
        100 * len(starts) / number,
        site.evictions.total() / number,
        100 * spent_s / _URGENT_SECONDS,
    )


def urgent_rows() -> list[Row]:
    """Compare urgent starts with and without the reserve."""
    with_reserve = urgent_figures(SchedulerSettings().reserve_decay_ms)
    without_reserve = urgent_figures(1)
    name = "160 urgent starts/s in bursts on 2,100 full targets"
    baselines = [f"without a reserve {figure:.4g}" for figure in without_reserve]
    core = f"{name}: core, the fake site included"
    return [
        Row(f"{name}: p50 to start", "", with_reserve.p50_ms, "ms", baselines[0]),
        Row(
            f"{name}: p99 to start", "<= 1600", with_reserve.p99_ms, "ms", baselines[1]
        ),
        Row(f"{name}: started by the end", "", with_reserve.started, "%", baselines[2]),
        Row(f"{name}: evictions a start", "", with_reserve.evictions, "", baselines[3]),
        Row(core, "", with_reserve.core, "%", baselines[4]),
    ]


def domain_rows() -> list[Row]:
    """Measure how long it takes to place the tasks of a lost failure domain again."""
    site = filled_site(large_scheduler(0), _DOMAIN_TARGETS, LARGE_TARGET.slots - 2)
    lost = [name for name, info in site.targets.items() if info.failure_domain == "d1"]
    held = sum(len(site.runs[name]) for name in lost)
    for name in lost:
        site.lose_target(name)
    begun_ms = site.now_ms
    site.run(LEASE_END_MS, DECIDE_MS)
    busiest = 0
    while waiting(site) and site.now_ms - begun_ms < _MAX_SECONDS * 1_000:
        site.run(DECIDE_MS, DECIDE_MS)
        records = site.scheduler.site.target_table.by_id.values()
        busiest = max(busiest, *(target.starting for target in records))
    name = f"a failure domain of {len(lost)} targets and {held} tasks lost"
    after_ms = site.now_ms - begun_ms - LEASE_END_MS
    return [
        Row(f"{name}: placed again after the leases", "", after_ms, "ms"),
        Row(f"{name}: most starting at once on a target", "<= 4", busiest, "tasks"),
        Row(f"{name}: still waiting", "0", waiting(site), "tasks"),
    ]
