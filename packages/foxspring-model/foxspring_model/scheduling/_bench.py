"""Benchmarks that compare the scheduler with simple policies: ``run_bench``.

The figures for services, batch work and evictions come from a fake site in
simulated time, those for speed and memory from the machine it runs on.
"""

import statistics
from typing import NamedTuple

from foxspring_model.scheduling._baselines import (
    first_fit,
    least_loaded,
    no_interference,
)
from foxspring_model.scheduling._bench_fairness import fairness_rows
from foxspring_model.scheduling._bench_row import Row, percentile, urgent_starts
from foxspring_model.scheduling._bench_speed import (
    memory_row,
    placement_rows,
    waiting_rows,
)
from foxspring_model.scheduling._bench_starts import domain_rows, urgent_rows
from foxspring_model.scheduling._placement import SelectorFactory, interference_aware
from foxspring_model.scheduling._scheduler import Scheduler
from foxspring_model.scheduling._settings import SchedulerSettings
from foxspring_model.scheduling.tests.fake_interference import GroundTruth
from foxspring_model.scheduling.tests.fake_run import Faults
from foxspring_model.scheduling.tests.fake_site import FakeSite
from foxspring_model.scheduling.tests.workloads import (
    AGENCY,
    CO_OPERATIVE,
    Deployment,
    configuration_of,
    drive,
    populate,
)

SEEDS = (1, 2, 3)
SIZES = (34, 500, 2_100)
_SITE_TEAMS = 8
_RUN_MS = 600_000
_WARM_UP_MS = 150_000
_UNREACHABLE_PERCENT = 1_000_000
_TITLES = (
    ("service p99", "of objective"),
    ("intervals with p99 over objective", "%"),
    ("batch work done", "% of offered"),
    ("evictions in 600 s", "tasks"),
    ("urgent start p99", "ms"),
)


class SiteFigures(NamedTuple):
    """The results of one run on a fake site, in the order of ``_TITLES``."""

    p99: float
    late: float
    done: float
    evictions: float
    urgent_ms: float


class Policy(NamedTuple):
    """A target selector, and whether pressure is relieved."""

    name: str
    selector_factory: SelectorFactory
    relieves_pressure: bool


POLICIES = (
    Policy("foxspring", interference_aware, True),
    Policy("no interference figure", no_interference, False),
    Policy("least loaded", least_loaded, False),
    Policy("first fit", first_fit, False),
)


def run_site(deployment: Deployment, policy: Policy, seed: int) -> SiteFigures:
    """Run one deployment with one policy in simulated time."""
    settings = SchedulerSettings(seed=seed)
    if not policy.relieves_pressure:
        settings = settings._replace(pressure_high_percent=_UNREACHABLE_PERCENT)
    scheduler = Scheduler(settings, policy.selector_factory)
    scheduler.set_configuration(configuration_of(deployment, _SITE_TEAMS))
    truth = GroundTruth(seed)
    truth.warm_up_ms = _WARM_UP_MS
    site = FakeSite(scheduler, seed, Faults(), truth)
    site.checks = False
    populate(site, deployment)
    drive(site, deployment, _RUN_MS, _SITE_TEAMS, 500)
    batch = [name for name in site.tasks if not name.startswith("service/")]
    offered = sum(site.work_ms[name] for name in batch)
    return SiteFigures(
        truth.p99(),
        100 * truth.late_intervals / max(1, truth.intervals),
        100 * site.work_done_ms() / offered,
        site.evictions.total(),
        percentile(urgent_starts(site), 0.99),
    )


def deployment_rows(deployment: Deployment) -> list[Row]:
    """Return the scheduler's mean figures with those of every policy."""
    figures = {
        policy.name: [run_site(deployment, policy, seed) for seed in SEEDS]
        for policy in POLICIES
    }
    rows = []
    for index, (title, unit) in enumerate(_TITLES):
        means = {
            name: _spread([run[index] for run in runs])
            for name, runs in figures.items()
        }
        own_mean = statistics.mean(run[index] for run in figures["foxspring"])
        comparison = "; ".join(f"{name} {text}" for name, text in means.items())
        rows.append(Row(f"{deployment.name}: {title}", "", own_mean, unit, comparison))
    return rows


def _spread(values: list[float]) -> str:
    return f"{statistics.mean(values):.2f} ±{statistics.pstdev(values):.2f}"


def run_bench() -> list[Row]:
    """Run all benchmarks; takes a few minutes on one core."""
    rows = []
    for deployment in (CO_OPERATIVE, AGENCY):
        rows += deployment_rows(deployment)
    for targets in SIZES:
        rows += placement_rows(targets)
        rows += waiting_rows(targets)
    rows.append(memory_row(2_100, 33_600))
    rows += urgent_rows()
    rows += domain_rows()
    rows += fairness_rows()
    return rows


if __name__ == "__main__":
    for row in run_bench():
        print(*row, sep=" | ", flush=True)
