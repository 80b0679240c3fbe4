"""Workloads of two example deployments for the fake site."""

import random
from collections.abc import Callable
from typing import NamedTuple

from foxspring_model import (
    Configuration,
    Priority,
    Resources,
    Service,
    Task,
    TaskKind,
    Team,
    Weights,
)
from foxspring_model.scheduling.tests.builders import a_target, a_task
from foxspring_model.scheduling.tests.fake_site import FakeSite

_STEP_MS = 5_000


class TaskMix(NamedTuple):
    """One kind of batch task with its share of arrivals, size and run times."""

    share: float
    resources: Resources
    priority: Priority
    work_ms: tuple[int, ...]
    work_classes: int


class Deployment(NamedTuple):
    """The size, services and batch work of a site.

    The replicas of the services are spread evenly over the targets. ``demand`` is
    the average core demand of arriving batch work, relative to the cores not held
    by services.
    """

    name: str
    services: tuple[str, ...]
    targets: int
    per_rack: int
    capacity: Resources
    replica: Resources
    weights: Weights
    task_mixes: tuple[TaskMix, ...]
    demand: float


CO_OPERATIVE = Deployment(
    "co-operative",
    ("register", "survey", "loans"),
    34,
    8,
    Resources(8, 64, 64_000, 250_000, 0),
    Resources(1, 8, 16_000, 32_000, 0),
    Weights(60, 20, 20),
    (
        TaskMix(
            0.5, Resources(1, 0, 8_000, 24_000), Priority.NORMAL, (30_000, 90_000), 6
        ),
        TaskMix(0.3, Resources(1, 0, 4_000, 16_000), Priority.NORMAL, (60_000,), 6),
        TaskMix(0.2, Resources(1, 0, 16_000, 48_000), Priority.NORMAL, (120_000,), 3),
    ),
    1.05,
)

AGENCY = Deployment(
    "agency",
    ("certification", "gates", "intake"),
    24,
    6,
    Resources(8, 64, 32_000, 125_000, 2),
    Resources(1, 8, 8_000, 16_000, 0),
    Weights(25, 40, 35),
    (
        TaskMix(
            0.7, Resources(1, 0, 4_000, 8_000), Priority.URGENT, (5_000, 10_000), 2
        ),
        TaskMix(
            0.2,
            Resources(1, 0, 8_000, 24_000, 1),
            Priority.NORMAL,
            (120_000, 240_000),
            4,
        ),
        TaskMix(0.1, Resources(1, 0, 2_000, 8_000), Priority.LONG, (400_000,), 2),
    ),
    1.05,
)


def configuration_of(deployment: Deployment, teams: int) -> Configuration:
    """Return the configuration of the deployment with ``teams`` identical teams."""
    replicas = deployment.targets // len(deployment.services)
    return Configuration(
        tuple(Service(name, "core", replicas) for name in deployment.services),
        tuple(Team(f"team{number}", 10_000) for number in range(teams)),
        deployment.weights,
    )


def replica_of(deployment: Deployment, number: int) -> Task:
    """Return replica ``number``; the services take turns."""
    service = deployment.services[number % len(deployment.services)]
    return Task(
        f"service/{service}/{number // len(deployment.services)}",
        "",
        TaskKind.SERVICE,
        "core",
        deployment.replica,
        Priority.NORMAL,
        "",
    )


def populate(site: FakeSite, deployment: Deployment) -> None:
    """Announce every target and submit a replica for each."""
    for number in range(deployment.targets):
        site.add_target(a_target(number, deployment.capacity, 4, deployment.per_rack))
        site.submit(replica_of(deployment, number), 1 << 40)
    site.run(10_000)


def arrivals_per_second(deployment: Deployment) -> float:
    """Return the arrival rate of tasks that produces ``demand``."""
    left = deployment.capacity.cores_milli - deployment.replica.cores_milli
    work = sum(
        mix.share * mix.resources.cores_milli * sum(mix.work_ms) / len(mix.work_ms)
        for mix in deployment.task_mixes
    )
    return deployment.demand * left * deployment.targets * 1_000 / work


def drive(
    site: FakeSite,
    deployment: Deployment,
    for_ms: int,
    teams: int,
    decide_every_ms: int = 250,
    between: Callable[[int], None] = lambda step: None,
) -> None:
    """Run the site while submitting arrivals at a rate with periodic bursts."""
    rng = random.Random(site.rng.random())
    rate = arrivals_per_second(deployment) * _STEP_MS / 1_000
    due_tasks, number = 0.0, 0
    for step in range(for_ms // _STEP_MS):
        burst_factor = 2.5 if step % 24 in (6, 7) else 0.87
        due_tasks += rate * burst_factor
        while due_tasks >= 1.0:
            due_tasks -= 1.0
            number += 1
            submit_one(site, deployment, rng, number, teams)
        between(step)
        site.run(_STEP_MS, decide_every_ms)


def submit_one(
    site: FakeSite, deployment: Deployment, rng: random.Random, number: int, teams: int
) -> None:
    """Submit one task of a random kind, weighted by share."""
    task_mixes = deployment.task_mixes
    mix = rng.choices(task_mixes, [each.share for each in task_mixes])[0]
    work_class = f"{mix.priority}-{rng.randrange(mix.work_classes)}"
    task = a_task(
        0,
        f"job{number}",
        f"team{rng.randrange(teams)}",
        mix.resources,
        mix.priority,
        work_class,
    )
    site.submit(task, rng.choice(mix.work_ms))
