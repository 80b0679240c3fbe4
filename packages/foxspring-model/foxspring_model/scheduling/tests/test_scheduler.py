"""Placement of tasks that fit, within quotas and with fair sharing."""

import unittest

from foxspring_model import JobSpec, Resources, TaskState, Team
from foxspring_model.scheduling import Scheduler, SchedulerSettings
from foxspring_model.scheduling.tests.builders import (
    TASK_SIZE,
    a_configuration,
    a_replica,
    a_target,
    a_task,
)


def a_site(targets: int, *teams: Team) -> Scheduler:
    scheduler = Scheduler(SchedulerSettings())
    scheduler.set_configuration(a_configuration(*teams))
    for number in range(targets):
        scheduler.upsert_target(a_target(number), False)
    return scheduler


class PlacementTest(unittest.TestCase):
    def test_placement_has_the_next_epoch_and_is_made_once(self) -> None:
        scheduler = a_site(2)
        scheduler.upsert_task(a_task()._replace(epoch=3), 0)
        placements = scheduler.decide(1).placements
        self.assertEqual([("job/0", 4)], [p[:2] for p in placements])
        self.assertEqual((), scheduler.decide(2).placements)

    def test_uncommitted_placement_is_made_again(self) -> None:
        scheduler = a_site(1)
        scheduler.upsert_task(a_task(), 0)
        scheduler.decide(0)
        later = scheduler.settings.command_timeout_ms + 1
        self.assertEqual(1, len(scheduler.decide(later).placements))

    def test_target_is_never_overcommitted(self) -> None:
        scheduler = a_site(1)
        for number in range(20):
            scheduler.upsert_task(a_task(number), 0)
        for _ in range(20):
            for placement in scheduler.decide(1).placements:
                number = int(placement.task_id.rpartition("/")[2])
                running = a_task(number)._replace(
                    state=TaskState.RUNNING, epoch=1, target_id=placement.target_id
                )
                scheduler.upsert_task(running, 1)
        self.assertEqual((), scheduler.decide(2).placements)
        self.assertIn("free", " ".join(scheduler.explain("job/19", 2)))

    def test_refused_task_is_placed_again_after_the_log_queued_it(self) -> None:
        scheduler = a_site(2)
        scheduler.upsert_task(a_task(), 0)
        target_id = scheduler.decide(0).placements[0].target_id
        scheduler.upsert_task(a_task()._replace(epoch=1), 10)
        scheduler.task_refused("job/0", target_id, 10)
        self.assertEqual((), scheduler.decide(20).placements)
        later = 10 + scheduler.settings.refusal_delay_ms
        self.assertEqual(1, len(scheduler.decide(later).placements))

    def test_replicas_spread_over_failure_domains(self) -> None:
        scheduler = a_site(8)
        for number in range(4):
            scheduler.upsert_task(a_replica(number), 0)
        placements = scheduler.decide(1).placements
        domains = {int(p.target_id[1:]) % 4 for p in placements}
        self.assertEqual({0, 1, 2, 3}, domains)

    def test_closed_targets_get_no_tasks(self) -> None:
        for draining, leaving in ((True, False), (False, True)):
            with self.subTest(draining=draining, leaving=leaving):
                scheduler = a_site(0)
                info = a_target()._replace(leaving=leaving)
                scheduler.upsert_target(info, draining)
                scheduler.upsert_task(a_task(), 0)
                self.assertEqual((), scheduler.decide(1).placements)


class QuotaTest(unittest.TestCase):
    def test_quota_holds_and_is_explained(self) -> None:
        cases = (
            (Team("team", max_tasks=2), "max_tasks"),
            (Team("team", max_resources=TASK_SIZE.plus(TASK_SIZE)), "max_resources"),
        )
        for team, expected in cases:
            with self.subTest(expected):
                scheduler = a_site(4, team)
                for number in range(5):
                    scheduler.upsert_task(a_task(number), 0)
                self.assertEqual(2, len(scheduler.decide(1).placements))
                self.assertIn(expected, " ".join(scheduler.explain("job/4", 1)))

    def test_burst_of_one_team_does_not_delay_others(self) -> None:
        scheduler = a_site(4)
        for number in range(1_000):
            scheduler.upsert_task(a_task(number, "wave", "loud"), 0)
        scheduler.upsert_task(a_task(0, "small", "quiet"), 0)
        placed = [p.task_id for p in scheduler.decide(1).placements]
        self.assertIn("small/0", placed[:2])


class NeverFitsTest(unittest.TestCase):
    def test_reason_is_given_only_when_no_target_is_large_enough(self) -> None:
        scheduler = a_site(2)
        small = JobSpec("job", "team", resources=TASK_SIZE)
        large = JobSpec("job", "team", resources=Resources(memory_mb=1_000_000))
        self.assertEqual("", scheduler.never_fits(small))
        self.assertIn("memory_mb", scheduler.never_fits(large))
