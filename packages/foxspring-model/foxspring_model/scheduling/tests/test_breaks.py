"""Each check is seen to fail once the rule that it guards is broken."""

import logging
import unittest
from unittest import mock

from foxspring_model import Eviction, Invariant, InvariantChecks, Priority, TaskState
from foxspring_model.scheduling import _book, _dispatch, _fit_tree, _queues, _rooms
from foxspring_model.scheduling._records import TaskRecord
from foxspring_model.scheduling.tests import fake_site
from foxspring_model.scheduling.tests.builders import a_target, a_task
from foxspring_model.scheduling.tests.fake_run import Faults
from foxspring_model.scheduling.tests.test_random_site import (
    a_random_site,
    cancellations,
    leave_in_turn,
    no_trouble,
    run_scenario,
    targets_die,
    unfinished,
)

SEED = 3


class BreaksTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.checks = InvariantChecks()
        for module in (_book, _dispatch):
            patch = mock.patch.object(module, "CHECKS", self.checks)
            patch.start()
            self.addCleanup(patch.stop)
        drains = mock.patch(f"{run_scenario.__module__}.DRAINS", 0)
        drains.start()
        self.addCleanup(drains.stop)

    def test_search_that_ignores_size_breaks_capacity(self) -> None:
        site = a_random_site(SEED, Faults())
        with mock.patch.object(_fit_tree, "_fits", lambda need, free: free[0] >= 0):
            run_scenario(site, no_trouble, SEED)
        self.assertGreater(self.checks.violated[Invariant.CAPACITY], 0)
        self.assertEqual([], site.problems, "the check also prevents the placement")

    def test_site_sees_overfull_target_when_checks_are_ignored(self) -> None:
        site = a_random_site(SEED, Faults())
        blind = mock.patch.object(self.checks, "check", lambda *_: True)
        loose = mock.patch.object(_fit_tree, "_fits", lambda need, free: free[0] >= 0)
        with blind, loose:
            run_scenario(site, no_trouble, SEED)
        self.assertTrue(any("holds" in problem for problem in site.problems))

    def test_lease_that_ends_too_early_breaks_one_place(self) -> None:
        site = a_random_site(SEED, Faults())
        site.run(2_000)
        site.submit(a_task(0, "early", "c"), 100_000)
        site.run(2_000)
        running = site.tasks["early/0"]
        site._set(running._replace(state=TaskState.QUEUED, target_id=""))
        site.run(2_000)
        self.assertTrue(any("while it runs" in problem for problem in site.problems))

    def test_move_within_an_epoch_breaks_one_place(self) -> None:
        site = a_random_site(SEED, Faults())
        site.run(2_000)
        replica = site.tasks["service/register/0"]
        other = next(t for t in site.targets if t != replica.target_id)
        site.scheduler.upsert_task(replica._replace(target_id=other), site.now_ms)
        self.assertEqual(1, self.checks.violated[Invariant.ONE_PLACE])

    def test_second_resumption_breaks_resume_once(self) -> None:
        site = a_random_site(SEED, Faults())
        site.run(2_000)
        replica = site.tasks["service/register/0"]
        site.scheduler.upsert_task(replica._replace(resumed=1), site.now_ms)
        self.assertEqual(1, self.checks.violated[Invariant.RESUME_ONCE])

    def test_closed_target_in_the_index_breaks_leaving(self) -> None:
        site = a_random_site(SEED, Faults())
        refresh = _rooms.Rooms.refresh

        def careless(rooms: _rooms.Rooms, room: _rooms.Room) -> None:
            closed, room.closed = room.closed, ""
            refresh(rooms, room)
            room.closed = closed

        with mock.patch.object(_rooms.Rooms, "refresh", careless):
            run_scenario(site, leave_in_turn, SEED)
        self.assertGreater(self.checks.violated[Invariant.LEAVING_GETS_NOTHING], 0)

    def test_quota_that_refuses_nothing_is_seen(self) -> None:
        site = a_random_site(SEED, Faults())
        with mock.patch.object(_dispatch, "refusal", lambda use, need: ""):
            run_scenario(site, wave_of_b, SEED)
        self.assertTrue(any("team b" in problem for problem in site.problems))

    def test_task_that_drops_out_of_the_queue_is_seen(self) -> None:
        site = a_random_site(SEED, Faults(lost_command=0.3))
        add = _queues.WaitingTasks.add

        def forgetful(
            waiting: _queues.WaitingTasks, record: object, now_ms: int
        ) -> None:
            if getattr(record, "epoch", 0) < 1:
                add(waiting, record, now_ms)  # type: ignore[arg-type]

        with mock.patch.object(_queues.WaitingTasks, "add", forgetful):
            run_scenario(site, targets_die, SEED)
            site.run(3_600_000, 1_000)
        self.assertNotEqual([], unfinished(site))

    def test_release_that_keeps_room_is_miscounted(self) -> None:
        site = a_random_site(SEED, Faults())
        release = _book.TaskBook.release

        def leaky(book: _book.TaskBook, record: TaskRecord) -> None:
            room = site.scheduler.site.rooms.by_id.get(record.target_id)
            size = record.held
            release(book, record)
            if room is not None:
                room.held = room.held.plus(size)

        with mock.patch.object(_book.TaskBook, "release", leaky):
            run_scenario(site, cancellations, SEED)
        self.assertTrue(any("held of" in problem for problem in site.problems))

    def test_long_work_evicted_twice_is_seen(self) -> None:
        site = a_random_site(SEED, Faults())
        self.assertEqual([], site.problems)
        site.submit(a_task(0, "long", "c", priority=Priority.LONG), 1 << 30)
        for _ in range(2):
            site.run(3_000)
            task = site.tasks["long/0"]
            site._evict(Eviction(task.task_id, task.epoch, "test"))
        self.assertTrue(any("twice" in problem for problem in site.problems))


def wave_of_b(site: fake_site.FakeSite, step: int) -> None:
    """Submit more of team b than its quota allows."""
    if step == 0:
        site.add_target(a_target(99))
        for number in range(100):
            site.submit(a_task(number, "wave", "b"), 100_000)
