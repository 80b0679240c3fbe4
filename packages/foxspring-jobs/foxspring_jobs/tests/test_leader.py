import unittest

from foxspring_jobs._operations import Outcome, TargetReport
from foxspring_jobs._state import JobPhase
from foxspring_jobs.tests.builders import (
    JOB,
    OTHER_JOB,
    registered,
    run_key,
    spec,
    step,
)
from foxspring_jobs.tests.fake_site import FakeSite


class LeaderCase(unittest.TestCase):
    def site(self, *names: str) -> FakeSite:
        site = FakeSite(*(registered(name) for name in names or ("t1", "t2")))
        self.addCleanup(lambda: self.assertEqual(site.broken, []))
        site.run(1_500)
        return site


class CalmTest(LeaderCase):
    def test_job_of_two_steps_is_completed(self) -> None:
        site = self.site()
        site.submit(spec(step(3), step(2, after=(0,))))
        site.run(100)
        self.assertEqual(site.answers[-1].outcome, Outcome.OK)
        site.run(1_500)
        self.assertIs(site.phase(), JobPhase.COMPLETED)

    def test_first_start_comes_within_two_commits(self) -> None:
        site = self.site()
        site.submit(spec())
        site.run(60)
        self.assertEqual(site.starts_of(run_key()), 1)

    def test_cancelled_lasting_job_stops_and_releases_its_room(self) -> None:
        site = self.site()
        site.submit(spec(step(2, lasting=True)))
        for target in site.targets.values():
            target.work_ms = 60_000
        site.run(500)
        site.cancel()
        site.run(2_500)
        self.assertTrue(all(not t.running for t in site.targets.values()))
        self.assertTrue(
            all(not t.runs for t in site.leader.context.draft.targets.values())
        )

    def test_cancelling_an_unknown_job_is_gone(self) -> None:
        site = self.site()
        site.cancel(OTHER_JOB)
        self.assertEqual(site.answers[-1].outcome, Outcome.GONE)

    def test_draining_target_gets_nothing_and_loses_what_can_move(self) -> None:
        site = self.site("t1")
        target = site.targets["t1.example:80"]
        target.work_ms = 60_000
        site.submit(spec(step(1, lasting=True)))
        site.run(500)
        target.registered = target.registered._replace(draining=True)
        site.run(1_500)
        self.assertEqual(target.running, {})
        site.run(2_000)
        self.assertEqual(len(target.started), 1)


class LeaderChangeTest(LeaderCase):
    def test_each_moment_of_a_change_runs_every_task_once(self) -> None:
        for moment_ms in range(0, 640, 10):
            with self.subTest(moment_ms=moment_ms):
                site = FakeSite(registered("t1"), registered("t2"))
                site.run(1_500)
                site.submit(spec(step(4), step(2, after=(0,))))
                site.run(moment_ms)
                site.change_leader(pause_ms=300)
                if JOB not in site.committed.jobs:
                    site.submit(spec(step(4), step(2, after=(0,))))
                site.run(3_500)
                self.assertEqual(site.broken, [])
                self.assertIs(site.phase(), JobPhase.COMPLETED)

    def test_fills_that_an_earlier_leader_paced_work_again(self) -> None:
        site = self.site("t1")
        target = site.targets["t1.example:80"]
        target.work_ms = 60_000
        serving = step(1, lasting=True, image="web", latency_target_ms=50)
        site.submit(spec(serving), OTHER_JOB)
        site.submit(spec(step(1, fills=True, image="f")))
        site.run(300)
        fill = run_key()
        target.paces[fill] = 0
        site.change_leader(pause_ms=200)
        site.run(300)
        self.assertEqual(target.paces[fill], 100)

    def test_order_held_back_over_a_change_does_not_run_twice(self) -> None:
        for delay_ms in (100, 700, 2_000, 5_000):
            with self.subTest(delay_ms=delay_ms):
                site = FakeSite(registered("t1"), registered("t2"))
                site.run(1_500)
                site.ports.order_delay_ms = delay_ms
                site.submit(spec(step(4)))
                site.run(50)
                site.change_leader(pause_ms=200)
                site.run(8_000)
                self.assertEqual(site.broken, [])
                self.assertIs(site.phase(), JobPhase.COMPLETED)


class TargetFaultTest(LeaderCase):
    def test_lost_target_is_replaced_only_after_its_lease(self) -> None:
        site = self.site()
        site.submit(spec(step(1)))
        site.run(100)
        lost = next(t for t in site.targets.values() if t.running)
        lost.alive = False
        site.run(3_000)
        self.assertEqual(site.starts_of(run_key(number=2)), 0)
        site.run(4_000)
        self.assertIs(site.phase(), JobPhase.COMPLETED)

    def test_target_that_is_cut_off_and_runs_on(self) -> None:
        site = self.site()
        for target in site.targets.values():
            target.work_ms = 20_000
        site.submit(spec(step(2)))
        site.run(200)
        cut = next(t for t in site.targets.values() if t.running)
        cut.receives = False
        site.run(9_000)
        cut.receives = True
        site.run(6_000)
        runs = sum(len(t.running) for t in site.targets.values())
        self.assertEqual(runs, 2)

    def test_answers_lost_on_the_way_start_nothing_twice(self) -> None:
        site = self.site()
        site.targets["t1.example:80"].replies = False
        site.submit(spec(step(4)))
        site.run(1_000)
        site.targets["t1.example:80"].replies = True
        site.run(6_000)
        self.assertIs(site.phase(), JobPhase.COMPLETED)

    def test_target_born_again_under_its_id_with_an_order_on_the_way(self) -> None:
        for delay_ms in (10, 300, 900, 1_500, 4_000):
            with self.subTest(delay_ms=delay_ms):
                site = FakeSite(registered("t1"), registered("t2"))
                site.run(1_500)
                site.ports.order_delay_ms = delay_ms
                site.submit(spec(step(4)))
                site.run(60)
                site.add(registered("t1", born_ms=2), clock_start=10)
                site.ports.order_delay_ms = 0
                site.run(9_000)
                self.assertEqual(site.broken, [])
                self.assertIs(site.phase(), JobPhase.COMPLETED)

    def test_lease_that_an_order_to_an_earlier_life_brought(self) -> None:
        for change_leader in (False, True):
            with self.subTest(change_leader=change_leader):
                site = FakeSite(registered("t1"), registered("t2", cores=500))
                site.run(15_000)
                site.ports.order_delay_ms = 300
                site.submit(spec(step(4)), OTHER_JOB)
                site.run(60)
                reborn = registered("t1", born_ms=site.clock.wall_ms())
                again = site.add(reborn, clock_start=10)
                site.ports.order_delay_ms = 0
                again.work_ms = 9_000
                site.run(2_500)
                self.assertTrue(again.running)
                if change_leader:
                    site.change_leader()
                    site.run(100)
                site.add(registered("t3"))
                again.receives = False
                site.run(12_000)
                self.assertEqual(site.broken, [])

    def test_address_taken_by_another_target(self) -> None:
        site = self.site()
        site.submit(spec(step(4)))
        site.run(100)
        site.add(registered("t3", born_ms=9, address="t1.example:80"))
        site.run(4_000)
        self.assertIs(site.phase(), JobPhase.COMPLETED)
        self.assertNotIn("t1", site.leader.context.draft.targets)

    def test_stranger_with_a_targets_address_changes_nothing(self) -> None:
        site = self.site()
        site.submit(spec(step(4)))
        site.run(100)
        stranger = registered("x", born_ms=99, address="t1.example:80")
        stranger = stranger._replace(service="other")
        report = TargetReport(stranger, 1, 5)
        site.leader.report(report, site.answers.append)
        self.assertEqual(site.answers[-1].outcome, Outcome.INVALID)
        site.run(1_500)
        self.assertIn("t1", site.leader.context.draft.targets)
        self.assertNotIn("x", site.leader.context.draft.targets)
        self.assertIs(site.phase(), JobPhase.COMPLETED)

    def test_target_that_fails_everything_does_not_fail_the_jobs(self) -> None:
        site = self.site("t1", "t2", "t3")
        site.targets["t1.example:80"].fails = True
        for number in range(8):
            site.submit(spec(step(2)), f"{number:016x}")
            site.run(700)
        site.run(3_000)
        phases = [job.phase for job in site.committed.jobs.values()]
        self.assertEqual(set(phases), {JobPhase.COMPLETED})

    def test_wide_job_that_can_never_be_done_costs_one_wave(self) -> None:
        site = self.site("t1", "t2", "t3")
        for target in site.targets.values():
            target.fails = True
        site.submit(spec(step(12)))
        site.run(4_000)
        self.assertIs(site.phase(), JobPhase.FAILED)
        starts = sum(len(target.started) for target in site.targets.values())
        self.assertLessEqual(starts, 12 + 1)

    def test_tasks_that_stand_still_go_on_elsewhere(self) -> None:
        site = self.site()
        site.targets["t1.example:80"].stalls = True
        site.submit(spec(step(4)))
        site.run(7_000)
        self.assertIs(site.phase(), JobPhase.COMPLETED)

    def test_task_that_allows_copies_does_not_wait_for_a_silent_target(self) -> None:
        site = self.site()
        site.submit(spec(step(1, may_copy=True)))
        site.run(100)
        cut = next(t for t in site.targets.values() if t.running)
        cut.receives = False
        site.run(2_400)
        self.assertIs(site.phase(), JobPhase.COMPLETED)
        cut.receives = True
        site.run(6_000)

    def test_run_that_a_target_refuses_for_good_is_settled(self) -> None:
        site = self.site("t1")
        target = site.targets["t1.example:80"]
        target.highest_run[run_key().task] = 1
        site.submit(spec())
        site.run(6_000)
        self.assertIs(site.phase(), JobPhase.COMPLETED)


if __name__ == "__main__":
    unittest.main()
