"""Benchmarks of the processor time and memory of placement at several site sizes."""

import gc
import time
import tracemalloc

from foxspring_model._commands import Placement
from foxspring_model._configuration import Configuration, Team
from foxspring_model._job import Task, TaskState
from foxspring_model._resources import Resources
from foxspring_model.scheduling._bench_row import Row, percentile
from foxspring_model.scheduling._pressure import PressureState
from foxspring_model.scheduling._scheduler import Scheduler
from foxspring_model.scheduling._settings import SchedulerSettings
from foxspring_model.scheduling.tests.builders import a_replica, a_target, a_task

TEAMS = 82
PEAK_STARTS_PER_S = 160
DECIDE_MS = 100
DEFAULT_SETTINGS = SchedulerSettings()
LARGE_TARGET = Resources(8, 64, 64_000, 250_000, 1)

_DOMAINS = 7
_PER_RACK = 40
_SMALL = Resources(0, 0, 4_000, 8_000, 0)
_TASKS_PER_TARGET = 15
_UNLIMITED = 1_000_000
_MAX_CALLS = 4_000
_WAITING_JOBS = 2_000
_IDLE_CALLS = 100


def large_scheduler(
    targets: int, settings: SchedulerSettings = DEFAULT_SETTINGS
) -> Scheduler:
    """Return a scheduler with 82 teams and ``targets`` empty targets."""
    scheduler = Scheduler(settings)
    teams = tuple(Team(f"team{number}", _UNLIMITED) for number in range(TEAMS))
    scheduler.set_configuration(Configuration((), teams))
    for number in range(targets):
        scheduler.upsert_target(
            a_target(number, LARGE_TARGET, _DOMAINS, _PER_RACK), False
        )
    return scheduler


def numbered_task(number: int) -> Task:
    """Return task ``number`` of a site: every fourth a replica, ten tasks a job."""
    job = number // 10
    if number % 4 == 0:
        return a_replica(number // 4 % 10, f"s{number // 40}", _SMALL)
    team, work_class = f"team{job % TEAMS}", f"c{job % 20}"
    return a_task(number % 10, f"job{job}", team, _SMALL, work_class=work_class)


def placement_rows(targets: int) -> list[Row]:
    """Measure the speed of placement on ``targets`` targets, 16 starts a call."""
    settings = SchedulerSettings(
        placements_per_call=PEAK_STARTS_PER_S * DECIDE_MS // 1_000
    )
    scheduler = large_scheduler(targets, settings)
    for number in range(_TASKS_PER_TARGET * targets):
        scheduler.upsert_task(numbered_task(number), 0)
    spent_s, placed = 0.0, 0
    each_ms: list[float] = []
    call_ms: list[float] = []
    for call in range(1, _MAX_CALLS):
        start_s = time.process_time()
        placements = scheduler.decide(call * DECIDE_MS).placements
        decision_s = time.process_time()
        if not placements:
            break
        for placement in placements:
            commit(scheduler, placement, call * DECIDE_MS)
        spent_s += time.process_time() - start_s
        placed += len(placements)
        call_ms.append(1_000 * (decision_s - start_s))
        each_ms.append(call_ms[-1] / len(placements))
    share = 100 * PEAK_STARTS_PER_S * spent_s / placed
    name = f"placing on {targets} targets"
    return [
        Row(f"{name}: placed in a second of a core", ">= 320", placed / spent_s, "1/s"),
        Row(f"{name}: core at 160 starts/s", "<= 50", share, "%"),
        Row(f"{name}: p99 a placement", "<= 5", percentile(each_ms, 0.99), "ms"),
        Row(f"{name}: p99 a call of 16", "", percentile(call_ms, 0.99), "ms"),
    ]


def waiting_rows(targets: int) -> list[Row]:
    """Measure calls that place nothing while 2,000 jobs wait."""
    rows = []
    for name, avoided in (("fits nowhere", False), ("is avoided everywhere", True)):
        scheduler = large_scheduler(targets)
        size = _SMALL if avoided else LARGE_TARGET.plus(_SMALL)
        _place_replicas(scheduler, targets)
        for target_id in scheduler.site.target_table.by_id:
            scheduler.site.load_of(target_id).state = PressureState(high=1)
        for number in range(_WAITING_JOBS):
            team = f"team{number % TEAMS}"
            scheduler.upsert_task(a_task(0, f"job{number}", team, size), 0)
        call_ms = []
        for call in range(1_000, 1_000 + _IDLE_CALLS):
            start_s = time.process_time()
            scheduler.decide(call * DECIDE_MS)
            call_ms.append(1_000 * (time.process_time() - start_s))
        title = f"{_WAITING_JOBS} jobs wait on {targets} targets, each {name}"
        rows.append(Row(f"{title}: p99 a call", "", percentile(call_ms, 0.99), "ms"))
    return rows


def _place_replicas(scheduler: Scheduler, targets: int) -> None:
    for number in range(targets):
        scheduler.upsert_task(a_replica(number, "register", _SMALL), 0)
    for call in range(1, _MAX_CALLS):
        placements = scheduler.decide(call).placements
        if not placements:
            return
        for placement in placements:
            commit(scheduler, placement, call)


def commit(scheduler: Scheduler, placement: Placement, now_ms: int) -> None:
    """Apply a committed placement to the scheduler and set the task to running."""
    record = scheduler.site.task_table.records[placement.task_id]
    shape = record.group.shape
    task = Task(
        record.task_id,
        shape.job_id,
        shape.kind,
        shape.team,
        shape.resources,
        shape.priority,
        shape.work_class,
        TaskState.STARTING,
        placement.epoch,
        placement.target_id,
    )
    scheduler.upsert_task(task, now_ms)
    scheduler.upsert_task(task._replace(state=TaskState.RUNNING), now_ms)


def memory_row(targets: int, tasks: int) -> Row:
    """Measure the scheduler's memory per task, including that of the targets."""
    gc.collect()
    tracemalloc.start()
    scheduler = large_scheduler(targets)
    for number in range(tasks):
        scheduler.upsert_task(numbered_task(number), 0)
    for call in range(1, _MAX_CALLS):
        placements = scheduler.decide(call * DECIDE_MS).placements
        if not placements:
            break
        for placement in placements:
            commit(scheduler, placement, call * DECIDE_MS)
    gc.collect()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return Row(f"memory of {tasks} tasks on {targets} targets", "", used / tasks, "B")
