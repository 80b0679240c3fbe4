"""Builders of test data for the scheduler."""

from foxspring_model import (
    Configuration,
    Priority,
    Resources,
    Service,
    TargetInfo,
    Task,
    TaskKind,
    Team,
)

TARGET_SIZE = Resources(8, 64, 64_000, 250_000, 0)
TASK_SIZE = Resources(1, 0, 8_000, 16_000, 0)


def a_target(
    number: int = 0,
    capacity: Resources = TARGET_SIZE,
    domains: int = 4,
    per_rack: int = 8,
) -> TargetInfo:
    domain = f"d{number % domains}"
    rack = f"{domain}-r{number // domains // per_rack}"
    return TargetInfo(f"t{number}", 1, "127.0.0.1:1", domain, rack, capacity)


def a_task(
    number: int = 0,
    job: str = "job",
    team: str = "team",
    resources: Resources = TASK_SIZE,
    priority: Priority = Priority.NORMAL,
    work_class: str = "default",
) -> Task:
    return Task(
        f"{job}/{number}",
        job,
        TaskKind.BATCH,
        team,
        resources,
        priority,
        work_class,
    )


def a_replica(
    number: int = 0, service: str = "register", resources: Resources = TASK_SIZE
) -> Task:
    return Task(
        f"service/{service}/{number}",
        f"service/{service}",
        TaskKind.SERVICE,
        "core",
        resources,
        Priority.NORMAL,
        "",
    )


def a_configuration(*teams: Team, objective_ms: int = 100) -> Configuration:
    service = Service("register", "core", objective_ms=objective_ms)
    return Configuration((service,), teams)
