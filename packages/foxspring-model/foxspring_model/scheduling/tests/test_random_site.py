"""Randomised runs: with any faults, the invariants hold and every job ends."""

import random
import unittest
from collections.abc import Callable
from unittest import mock

from foxspring_model import (
    ENDED_STATES,
    InvariantChecks,
    Priority,
    TaskKind,
    TaskState,
    Team,
)
from foxspring_model.scheduling import Scheduler, SchedulerSettings
from foxspring_model.scheduling.tests.builders import (
    a_configuration,
    a_replica,
    a_target,
    a_task,
)
from foxspring_model.scheduling.tests.consistency import count_mismatches
from foxspring_model.scheduling.tests.fake_run import Faults
from foxspring_model.scheduling.tests.fake_site import FakeSite

TARGETS = 10
STEPS = 40
JOBS = 8
STEP_MS = 5_000
DRAIN_MS = 60_000
DRAINS = 60
TEAMS = (Team("a", 30), Team("b", 15), Team("c", 1_000, weight=3))

Disruption = Callable[[FakeSite, int], None]


def no_disruption(site: FakeSite, step: int) -> None:
    """Do nothing."""


def lose_targets_in_turn(site: FakeSite, step: int) -> None:
    """Remove a target every fourth step and add it again two steps later."""
    number = step // 4 % TARGETS
    if step % 4 == 0:
        site.lose_target(f"t{number}")
    if step % 4 == 2:
        site.add_target(a_target(number)._replace(incarnation=step))


def lose_failure_domain(site: FakeSite, step: int) -> None:
    """Remove every target of one failure domain for 15 steps."""
    lost = [number for number in range(TARGETS) if number % 4 == 1]
    for number in lost:
        if step == 10:
            site.lose_target(f"t{number}")
        if step == 25:
            site.add_target(a_target(number)._replace(incarnation=2))


def cancel_tasks(site: FakeSite, step: int) -> None:
    """Cancel a third of the batch tasks, whatever their state, every fifth step."""
    if step % 5 == 0:
        for task in list(site.tasks.values()):
            if task.kind is TaskKind.BATCH and site.rng.random() < 0.33:
                site.cancel(task.task_id)


def fail_tasks_on_third_of_targets(site: FakeSite, step: int) -> None:
    """Make 3 of 10 targets fail every task that they start, until the last step."""
    site.bad_targets = {"t1", "t4", "t7"} if step < STEPS - 1 else set()


def fail_one_job_per_step(site: FakeSite, step: int) -> None:
    """Make the first job of each step fail on every target."""
    site.bad_jobs.add(f"j{step * JOBS}")


def misdeclare_sizes(site: FakeSite, step: int) -> None:
    """Make half of the jobs use four times or a quarter of their declared size."""
    for number in range(step * JOBS, step * JOBS + JOBS):
        site.size_error[f"j{number}"] = (1.0, 4.0, 1.0, 0.25)[number % 4]


def submit_noisy_bursts(site: FakeSite, step: int) -> None:
    """Submit a burst of tasks of one work class and team every eighth step."""
    if step % 8 == 0:
        for number in range(60):
            site.submit(a_task(number, f"w{step}", "a", work_class="loud"), 20_000)


def drain_in_turn(site: FakeSite, step: int) -> None:
    """Drain one target at a time."""
    for number in range(TARGETS):
        site.scheduler.upsert_target(a_target(number), number == step % TARGETS)


SCENARIOS: tuple[tuple[str, Faults, Disruption], ...] = (
    ("nothing fails", Faults(), no_disruption),
    ("commands are lost", Faults(lost_command=0.3), no_disruption),
    ("owners refuse", Faults(refused=0.3), no_disruption),
    (
        "reports lost, duplicated or an hour late",
        Faults(lost_report=0.4, duplicate_report=0.4, hour_late_report=0.1),
        no_disruption,
    ),
    ("targets are lost", Faults(lost_command=0.1), lose_targets_in_turn),
    ("a failure domain is lost", Faults(), lose_failure_domain),
    ("cancellations", Faults(lost_command=0.1), cancel_tasks),
    ("30% of targets fail every task", Faults(), fail_tasks_on_third_of_targets),
    ("jobs that always fail", Faults(), fail_one_job_per_step),
    ("sizes wrong by a factor of 4", Faults(), misdeclare_sizes),
    ("bursts of noisy tasks", Faults(), submit_noisy_bursts),
    ("targets are drained", Faults(lost_command=0.1), drain_in_turn),
)


def a_random_site(seed: int, faults: Faults) -> FakeSite:
    scheduler = Scheduler(SchedulerSettings(seed=seed, quarantine_ms=5_000))
    scheduler.set_configuration(a_configuration(*TEAMS))
    site = FakeSite(scheduler, seed, faults)
    site.teams = {team.name: team for team in TEAMS}
    for number in range(TARGETS):
        site.add_target(a_target(number))
    for number in range(6):
        site.submit(a_replica(number), 1 << 40)
    return site


def submit_some(site: FakeSite, rng: random.Random, step: int) -> None:
    for number in range(step * JOBS, step * JOBS + JOBS):
        task = a_task(
            0,
            f"j{number}",
            rng.choice("abc"),
            work_class=f"class{rng.randrange(4)}",
            priority=rng.choice(list(Priority)),
        )
        site.submit(task, rng.choice((2_000, 40_000, 120_000)))


def run_scenario(site: FakeSite, disrupt: Disruption, seed: int) -> None:
    rng = random.Random(seed)
    for step in range(STEPS):
        submit_some(site, rng, step)
        disrupt(site, step)
        site.run(STEP_MS)
        site.problems += count_mismatches(site.scheduler)
    for _ in range(DRAINS):
        if not unfinished(site):
            break
        site.run(DRAIN_MS, 1_000)


def unfinished(site: FakeSite) -> list[str]:
    return [
        task.task_id
        for task in site.tasks.values()
        if task.kind is TaskKind.BATCH and task.state not in ENDED_STATES
    ]


class RandomSiteTest(unittest.TestCase):
    def setUp(self) -> None:
        self.checks = InvariantChecks()
        for module in ("_task_table", "_dispatch"):
            name = f"foxspring_model.scheduling.{module}.INVARIANT_CHECKS"
            patch = mock.patch(name, self.checks)
            patch.start()
            self.addCleanup(patch.stop)

    def test_invariants_hold_and_every_job_ends(self) -> None:
        for name, faults, disrupt in SCENARIOS:
            for seed in (1, 2):
                with self.subTest(name, seed=seed):
                    site = a_random_site(seed, faults)
                    run_scenario(site, disrupt, seed)
                    self.assertEqual([], site.problems[:3])
                    self.assertEqual({}, dict(self.checks.violated))
                    waits = {
                        task_id: site.scheduler.explain(task_id, site.now_ms)
                        for task_id in unfinished(site)[:3]
                    }
                    self.assertEqual({}, waits)
                    self.check_outcomes(site)

    def check_outcomes(self, site: FakeSite) -> None:
        failed = {
            task.job_id
            for task in site.tasks.values()
            if task.state is TaskState.FAILED
        }
        self.assertLessEqual(failed, site.bad_jobs)
        for task in site.tasks.values():
            self.assertLessEqual(task.resumed, task.evictions, task.task_id)


if __name__ == "__main__":
    unittest.main()
