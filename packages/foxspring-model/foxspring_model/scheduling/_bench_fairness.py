"""Benchmark of the waiting times of small teams during a burst of one team."""

from foxspring_model._resources import Resources
from foxspring_model.scheduling._bench_row import Row, percentile
from foxspring_model.scheduling._scheduler import Scheduler
from foxspring_model.scheduling._settings import SchedulerSettings
from foxspring_model.scheduling.tests.builders import a_target, a_task
from foxspring_model.scheduling.tests.fake_run import Faults
from foxspring_model.scheduling.tests.fake_site import FakeSite

_SLOT_SIZE = Resources(1, 0, 8_000, 24_000, 0)
_TARGETS = 34
_WAVE = 2_000
_SMALL_TEAMS = 7
_STEPS = 30
_STEP_MS = 5_000
_WORK_MS = 20_000


def waits_ms(by_team: bool) -> list[float]:
    """Return the waiting times of the small teams' tasks during the burst.

    Without ``by_team`` all tasks belong to one job of one team: a single queue.
    """
    scheduler = Scheduler(SchedulerSettings())
    site = FakeSite(scheduler, 1, Faults())
    site.checks = False
    for number in range(_TARGETS):
        site.add_target(a_target(number))
    for number in range(_WAVE):
        site.submit(a_task(number, "wave", "loud", _SLOT_SIZE), _WORK_MS)
    names = []
    for step in range(_STEPS):
        for team in range(_SMALL_TEAMS):
            number = _WAVE + step * _SMALL_TEAMS + team
            task = a_task(number, "wave", "loud", _SLOT_SIZE)
            if by_team:
                task = a_task(0, f"small{number}", f"team{team}", _SLOT_SIZE)
            names.append(task.task_id)
            site.submit(task, _WORK_MS)
        site.run(_STEP_MS)
    return [
        site.started_at.get(name, site.now_ms) - site.submitted_at[name]
        for name in names
    ]


def fairness_rows() -> list[Row]:
    """Compare fair sharing between teams with a single queue."""
    own, single = waits_ms(True), waits_ms(False)
    name = f"small teams beside a wave of {_WAVE} tasks"
    return [
        Row(
            f"{name}: p{int(100 * share)} wait",
            "",
            percentile(own, share),
            "ms",
            f"a single queue {percentile(single, share):.0f}, at least",
        )
        for share in (0.5, 0.99)
    ]
