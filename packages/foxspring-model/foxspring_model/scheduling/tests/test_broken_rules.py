"""Each check fails if the code that it guards is deliberately broken."""

import logging
import unittest
from unittest import mock

from foxspring_model import Eviction, Invariant, InvariantChecks, Priority, TaskState
from foxspring_model.scheduling import (
    _dispatch,
    _fit_tree,
    _queues,
    _target_table,
    _task_table,
)
from foxspring_model.scheduling._records import TaskRecord
from foxspring_model.scheduling.tests import fake_site
from foxspring_model.scheduling.tests.builders import a_target, a_task
from foxspring_model.scheduling.tests.fake_run import Faults
from foxspring_model.scheduling.tests.test_random_site import (
    a_random_site,
    cancel_tasks,
    drain_in_turn,
    lose_targets_in_turn,
    no_disruption,
    run_scenario,
    unfinished,
)

SEED = 3


class BrokenRulesTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.checks = InvariantChecks()
        for module in (_task_table, _dispatch):
            patch = mock.patch.object(module, "INVARIANT_CHECKS", self.checks)
            patch.start()
            self.addCleanup(patch.stop)
        drains = mock.patch(f"{run_scenario.__module__}.DRAINS", 0)
        drains.start()
        self.addCleanup(drains.stop)

    def test_search_that_ignores_size_violates_capacity(self) -> None:
        site = a_random_site(SEED, Faults())
        with mock.patch.object(_fit_tree, "_fits", lambda need, free: free[0] >= 0):
            run_scenario(site, no_disruption, SEED)
        self.assertGreater(self.checks.violated[Invariant.CAPACITY], 0)
        self.assertEqual([], site.problems, "the check also prevents the placement")

    def test_site_detects_overcommitted_target_when_checks_are_disabled(self) -> None:
        site = a_random_site(SEED, Faults())
        without_checks = mock.patch.object(self.checks, "check", lambda *_: True)
        slots_only = mock.patch.object(
            _fit_tree, "_fits", lambda need, free: free[0] >= 0
        )
        with without_checks, slots_only:
            run_scenario(site, no_disruption, SEED)
        self.assertTrue(any("holds" in problem for problem in site.problems))

    def test_lease_that_ends_too_early_is_detected(self) -> None:
        site = a_random_site(SEED, Faults())
        site.run(2_000)
        site.submit(a_task(0, "early", "c"), 100_000)
        site.run(2_000)
        running = site.tasks["early/0"]
        site._set(running._replace(state=TaskState.QUEUED, target_id=""))
        site.run(2_000)
        self.assertTrue(any("while it runs" in problem for problem in site.problems))

    def test_move_within_an_epoch_violates_invariant(self) -> None:
        site = a_random_site(SEED, Faults())
        site.run(2_000)
        replica = site.tasks["service/register/0"]
        other = next(t for t in site.targets if t != replica.target_id)
        site.scheduler.upsert_task(replica._replace(target_id=other), site.now_ms)
        self.assertEqual(1, self.checks.violated[Invariant.ONE_PLACE])

    def test_second_resumption_violates_resume_once(self) -> None:
        site = a_random_site(SEED, Faults())
        site.run(2_000)
        replica = site.tasks["service/register/0"]
        site.scheduler.upsert_task(replica._replace(resumed=1), site.now_ms)
        self.assertEqual(1, self.checks.violated[Invariant.RESUME_ONCE])

    def test_closed_target_in_the_index_violates_invariant(self) -> None:
        site = a_random_site(SEED, Faults())
        refresh = _target_table.TargetTable.refresh

        def refresh_as_open(
            target_table: _target_table.TargetTable, target: _target_table.TargetRecord
        ) -> None:
            closed_reason, target.closed_reason = target.closed_reason, ""
            refresh(target_table, target)
            target.closed_reason = closed_reason

        with mock.patch.object(_target_table.TargetTable, "refresh", refresh_as_open):
            run_scenario(site, drain_in_turn, SEED)
        self.assertGreater(self.checks.violated[Invariant.LEAVING_GETS_NOTHING], 0)

    def test_missing_quota_check_is_detected(self) -> None:
        site = a_random_site(SEED, Faults())
        with mock.patch.object(_dispatch, "exceeded_quota", lambda use, need: ""):
            run_scenario(site, submit_wave_of_team_b, SEED)
        self.assertTrue(any("team b" in problem for problem in site.problems))

    def test_task_missing_from_the_queue_is_detected(self) -> None:
        site = a_random_site(SEED, Faults(lost_command=0.3))
        add = _queues.WaitingTasks.add

        def add_first_run_only(
            waiting: _queues.WaitingTasks, record: object, now_ms: int
        ) -> None:
            if getattr(record, "epoch", 0) < 1:
                add(waiting, record, now_ms)  # type: ignore[arg-type]

        with mock.patch.object(_queues.WaitingTasks, "add", add_first_run_only):
            run_scenario(site, lose_targets_in_turn, SEED)
            site.run(3_600_000, 1_000)
        self.assertNotEqual([], unfinished(site))

    def test_release_that_keeps_resources_is_detected(self) -> None:
        site = a_random_site(SEED, Faults())
        release = _task_table.TaskTable.release

        def release_keeping_held(
            task_table: _task_table.TaskTable, record: TaskRecord
        ) -> None:
            target = site.scheduler.site.target_table.by_id.get(record.target_id)
            size = record.held
            release(task_table, record)
            if target is not None:
                target.held = target.held.plus(size)

        with mock.patch.object(_task_table.TaskTable, "release", release_keeping_held):
            run_scenario(site, cancel_tasks, SEED)
        self.assertTrue(any("held of" in problem for problem in site.problems))

    def test_long_task_evicted_twice_in_a_row_is_detected(self) -> None:
        site = a_random_site(SEED, Faults())
        self.assertEqual([], site.problems)
        site.submit(a_task(0, "long", "c", priority=Priority.LONG), 1 << 30)
        for _ in range(2):
            site.run(3_000)
            task = site.tasks["long/0"]
            site._evict(Eviction(task.task_id, task.epoch, "test"))
        self.assertTrue(any("twice" in problem for problem in site.problems))


def submit_wave_of_team_b(site: fake_site.FakeSite, step: int) -> None:
    """Submit more tasks of team b than its quota allows."""
    if step == 0:
        site.add_target(a_target(99))
        for number in range(100):
            site.submit(a_task(number, "wave", "b"), 100_000)
