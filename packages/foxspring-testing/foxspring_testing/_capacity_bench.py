"""Measures how a daemon's resource use grows with targets and running tasks.

Real daemons serve stand-in targets at several sizes. Each slope goes into
docs/CAPACITY.md, extrapolated to the planned size.
"""

import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

import msgspec
from foxspring_config import print_configuration, service, team
from foxspring_model import Configuration, JobSpec, Resources

from foxspring_testing._process_usage import Usage, leader_of, measure_usage, slope
from foxspring_testing._site import Site
from foxspring_testing._site_settings import SiteSize
from foxspring_testing._wait import wait_until

TARGETS_MEASURED = (2, 6, 12)
TASKS_MEASURED = (0, 150, 300, 600)
TASK_TARGETS = 4
SETTLE_S = 4.0
MEASURE_S = 8.0
WAIT_S = 120.0
TEAM = "studies"
MEMORY_BOUND_KB = 32 * 1_024
CORE_BOUND_PERCENT = 1.1
LINK_BOUND_KB_S = 3.0
_LONG_WORK_MS = 3_600_000


class CapacityRow(NamedTuple):
    """One value and its bound; ``baseline`` is what the value is compared with."""

    name: str
    bound: str
    value: str
    unit: str
    baseline: str = ""


class Point(NamedTuple):
    """Usage of each role at one size; followers and entries are averaged."""

    size: int
    leader: Usage
    follower: Usage
    entry: Usage


def run_bench() -> list[CapacityRow]:
    """Measure over targets and over tasks; return the points and slopes."""
    by_targets = [_at_targets(count) for count in TARGETS_MEASURED]
    by_tasks = _at_tasks()
    return [
        *_rows("targets", by_targets),
        *_rows("tasks", by_tasks),
    ]


def _at_targets(count: int) -> Point:
    size = SiteSize(controls=3, entries=2, targets=count)
    with tempfile.TemporaryDirectory(prefix="foxspring-bench-") as folder:
        site = Site(Path(folder), size)
        with site:
            _configure(site, count)
            time.sleep(SETTLE_S)
            return _point(site, count)


def _at_tasks() -> list[Point]:
    size = SiteSize(controls=3, entries=2, targets=TASK_TARGETS)
    points = []
    with tempfile.TemporaryDirectory(prefix="foxspring-bench-") as folder:
        site = Site(Path(folder), size)
        with site:
            _configure(site, TASK_TARGETS)
            running = 0
            for count in TASKS_MEASURED:
                _add_tasks(site, count - running, count)
                running = count
                time.sleep(SETTLE_S)
                points.append(_point(site, count))
    return points


def _configure(site: Site, targets: int) -> None:
    configuration = Configuration(
        services=(service("register", TEAM, replicas=targets, memory_mb=1),),
        teams=(team(TEAM, max_tasks=10_000),),
    )
    operator = site.operator()
    answer = operator.apply(print_configuration(configuration), base=0)
    if answer.status != 200:
        raise ValueError(f"the configuration was rejected: {answer.body}")
    wait_until(
        lambda: operator.get("/v1/services")["services"][0]["running"] == targets,
        f"{targets} replicas",
        WAIT_S,
    )


def _add_tasks(site: Site, added: int, expected: int) -> None:
    if not added:
        return
    payload = {"work_ms": _LONG_WORK_MS, "checkpoint_every_ms": _LONG_WORK_MS}
    spec = JobSpec(
        "study",
        TEAM,
        added,
        Resources(memory_mb=1, cores_milli=1),
        payload=msgspec.json.encode(payload).decode(),
    )
    operator = site.operator()
    operator.submit(spec)
    wait_until(
        lambda: (
            operator.get("/v1/status")["tasks"].get("running", 0)
            >= expected + TASK_TARGETS
        ),
        f"{expected} running tasks",
        WAIT_S,
    )


def _point(site: Site, size: int) -> Point:
    leader = leader_of(site)
    entries = site.names("entry")
    used = measure_usage(site, [*site.names("control"), *entries], MEASURE_S)
    followers = [used[name] for name in site.names("control") if name != leader]
    return Point(
        size, used[leader], _mean(followers), _mean([used[name] for name in entries])
    )


def _mean(usages: Sequence[Usage]) -> Usage:
    columns = zip(*usages, strict=True)
    return Usage(*(sum(column) / len(usages) for column in columns))


def _rows(size_name: str, points: Sequence[Point]) -> list[CapacityRow]:
    bounds = {
        "memory_kb": (str(MEMORY_BOUND_KB), "kB"),
        "core_percent": (str(CORE_BOUND_PERCENT), "% of a core"),
        "link_kb_s": (str(LINK_BOUND_KB_S), "kB/s"),
    }
    rows = []
    for role in ("leader", "follower", "entry"):
        for field, (bound, unit) in bounds.items():
            figures = [
                (float(point.size), float(getattr(getattr(point, role), field)))
                for point in points
            ]
            points_text = ", ".join(
                f"{size:.0f}: {figure:.2f}" for size, figure in figures
            )
            name = f"{role} {field} over {size_name}"
            rows.append(CapacityRow(name, bound, points_text, unit))
            slope_text = f"{slope(figures):.4f}"
            rows.append(CapacityRow(f"{name}, slope", "", slope_text, f"{unit} each"))
    return rows
