"""Attribution of failures, quarantine, retries and giving up."""

import unittest

from foxspring_model import Task, TaskState
from foxspring_model.scheduling import Scheduler, SchedulerSettings
from foxspring_model.scheduling.tests.builders import (
    a_configuration,
    a_replica,
    a_target,
    a_task,
)
from foxspring_model.scheduling.tests.fake_run import Faults
from foxspring_model.scheduling.tests.fake_site import FakeSite

SETTINGS = SchedulerSettings(quarantine_ms=20_000, retry_delay_ms=100)


def a_site(targets: int) -> FakeSite:
    scheduler = Scheduler(SETTINGS)
    scheduler.set_configuration(a_configuration())
    site = FakeSite(scheduler, 1, Faults())
    for number in range(targets):
        site.add_target(a_target(number))
    return site


def probed_target() -> tuple[Scheduler, int]:
    """Return a site whose one target is probed by ``probe/0``, and the time."""
    scheduler = a_site(1).scheduler
    failed = [failed_task(a_task(0, f"old{n}"), 1, "t0") for n in range(3)]
    for task in failed:
        scheduler.upsert_task(task, 0)
        scheduler.remove_task(task.task_id)
    scheduler.upsert_task(a_task(0, "probe"), 0)
    now_ms = SETTINGS.quarantine_ms
    assert [p.task_id for p in scheduler.decide(now_ms).placements] == ["probe/0"]
    return scheduler, now_ms


def submit_jobs(site: FakeSite, name: str, count: int) -> list[str]:
    tasks = [a_task(0, f"{name}{number}") for number in range(count)]
    for task in tasks:
        site.submit(task, 1_000)
    return [task.task_id for task in tasks]


def ended(site: FakeSite, names: list[str], state: TaskState) -> int:
    return sum(site.tasks[name].state is state for name in names)


def failed_task(task: Task, attempts: int, *targets: str) -> Task:
    return task._replace(epoch=attempts, attempts=attempts, failed_targets=targets)


class FailureAttributionTest(unittest.TestCase):
    def test_failing_target_is_quarantined_and_every_job_finishes(self) -> None:
        site = a_site(8)
        site.bad_targets = {"t2", "t5"}
        names = submit_jobs(site, "job", 60)
        site.run(10_000)
        self.assertEqual({"t2", "t5"}, set(site.scheduler.quarantined(site.now_ms)))
        site.run(60_000)
        self.assertEqual(60, ended(site, names, TaskState.FINISHED))

    def test_successful_probe_ends_the_quarantine(self) -> None:
        site = a_site(4)
        site.bad_targets = {"t0"}
        submit_jobs(site, "job", 40)
        site.run(10_000)
        self.assertEqual(("t0",), site.scheduler.quarantined(site.now_ms))
        site.run(3 * SETTINGS.quarantine_ms)
        site.bad_targets = set()
        for number in range(12):
            submit_jobs(site, f"later{number}-", 20)
            site.run(10_000)
        self.assertEqual((), site.scheduler.quarantined(site.now_ms))
        self.assertEqual(
            "", site.scheduler.site.target_table.get_or_create("t0").quarantine_reason
        )

    def test_probed_target_runs_one_task_at_a_time(self) -> None:
        site = a_site(1)
        site.bad_targets = {"t0"}
        submit_jobs(site, "job", 6)
        while not site.scheduler.quarantined(site.now_ms):
            site.run(250)
            self.assertLess(site.now_ms, 20_000)
        target = site.scheduler.site.target_table.get_or_create("t0")
        most = 0
        for _ in range(400):
            site.run(250)
            most = max(most, len(target.tasks))
        self.assertEqual(1, most)

    def test_quarantined_share_of_the_site_is_limited(self) -> None:
        site = a_site(10)
        site.bad_targets = set(site.targets)
        submit_jobs(site, "job", 200)
        site.run(15_000)
        held = len(site.scheduler.site.failures.isolated)
        self.assertEqual(10 * SETTINGS.quarantine_percent // 100, held)

    def test_failing_job_is_ended_and_no_target_is_quarantined(self) -> None:
        site = a_site(8)
        site.bad_jobs = {"bad"}
        for number in range(500):
            site.submit(a_task(number, "bad"), 1_000)
        good = submit_jobs(site, "good", 50)
        site.run(60_000)
        bad = [name for name in site.tasks if name.startswith("bad/")]
        self.assertEqual(500, ended(site, bad, TaskState.FAILED))
        self.assertEqual(50, ended(site, good, TaskState.FINISHED))
        self.assertEqual((), site.scheduler.quarantined(site.now_ms))
        runs = sum(site.tasks[name].attempts for name in bad)
        first_wave = 8 * SETTINGS.starting_per_target
        self.assertLess(runs, first_wave + 2 * SETTINGS.tries_per_task)
        self.assertIn("targets", site.tasks["bad/0"].reason)

    def test_backoff_grows_with_failed_runs(self) -> None:
        scheduler = a_site(2).scheduler
        waits = []
        for attempts in (1, 2, 3, 4):
            task = a_task(attempts)._replace(attempts=attempts)
            scheduler.upsert_task(task, 0)
            waits.append(scheduler.site.task_table.records[task.task_id].not_before_ms)
        for earlier, later in zip(waits, waits[2:], strict=False):
            self.assertGreater(later, earlier)

    def test_task_out_of_tries_is_ended_without_another_delay(self) -> None:
        for quarantined in (0, 3):
            scheduler = a_site(8).scheduler
            for target in range(quarantined):
                for number in range(SETTINGS.failures_to_quarantine):
                    old = a_task(0, f"old{target}-{number}")
                    scheduler.upsert_task(failed_task(old, 1, f"t{target}"), 0)
            self.assertEqual(quarantined, len(scheduler.quarantined(0)))
            last = SETTINGS.tries_per_task + quarantined
            for attempts in range(1, last + 1):
                now_ms = attempts * SETTINGS.retry_delay_max_ms
                targets = [f"t{number}" for number in range(attempts)]
                task = failed_task(a_task(), attempts, *targets)
                scheduler.upsert_task(task, now_ms)
                ended = scheduler.decide(now_ms).ended
                names = [name for each in ended for name in each.task_ids]
                with self.subTest(quarantined=quarantined, attempts=attempts):
                    self.assertEqual(["job/0"] if attempts == last else [], names)

    def test_refusal_is_retried_and_not_counted_as_failure(self) -> None:
        scheduler = a_site(2).scheduler
        scheduler.upsert_task(a_task(), 0)
        first = scheduler.decide(0).placements[0]
        scheduler.task_refused("job/0", first.target_id, 10)
        self.assertEqual((), scheduler.decide(20).placements)
        again = scheduler.decide(20 + SETTINGS.refusal_delay_ms).placements
        self.assertEqual(["job/0"], [each.task_id for each in again])
        self.assertEqual(
            0, scheduler.site.failures.consecutive_failures(first.target_id)
        )

    def test_new_leader_restores_quarantine_from_task_records(self) -> None:
        scheduler = a_site(4).scheduler
        for number in range(3):
            task: Task = a_task(0, f"old{number}")
            failed = task._replace(attempts=1, failed_targets=("t1",))
            scheduler.upsert_task(failed, 0)
        self.assertEqual(("t1",), scheduler.quarantined(0))

    def test_target_whose_probe_was_refused_is_probed_again(self) -> None:
        scheduler, now_ms = probed_target()
        scheduler.task_refused("probe/0", "t0", now_ms)
        now_ms += SETTINGS.refusal_delay_ms
        again = scheduler.decide(now_ms).placements
        self.assertEqual(["probe/0"], [each.task_id for each in again])

    def test_target_whose_probe_was_not_committed_is_probed_again(self) -> None:
        scheduler, now_ms = probed_target()
        now_ms += SETTINGS.command_timeout_ms
        again = scheduler.decide(now_ms).placements
        self.assertEqual(["probe/0"], [each.task_id for each in again])

    def test_replica_is_placed_again_after_any_number_of_failed_runs(self) -> None:
        scheduler = a_site(8).scheduler
        targets = [f"t{number}" for number in range(8)]
        for attempts in range(1, 2 * SETTINGS.runs_per_task):
            now_ms = 2 * attempts * SETTINGS.retry_delay_max_ms
            replica = failed_task(a_replica(), attempts, *targets[:attempts])
            scheduler.upsert_task(replica, now_ms)
            with self.subTest(attempts=attempts):
                self.assertEqual(((), ()), scheduler.decide(now_ms)[:2])
                self.assertEqual((), scheduler.decide(now_ms).ended)
                later = scheduler.decide(now_ms + SETTINGS.retry_delay_max_ms)
                self.assertEqual(1, len(later.placements))
                self.assertEqual((), later.ended)

    def test_new_replica_is_placed_although_its_service_failed_on_targets(self) -> None:
        scheduler = a_site(8).scheduler
        targets = [f"t{number}" for number in range(SETTINGS.tries_per_task)]
        failed = failed_task(a_replica(0), len(targets), *targets)
        scheduler.upsert_task(failed, 0)
        scheduler.upsert_task(a_replica(1), 0)
        decisions = scheduler.decide(0)
        placed = [each.task_id for each in decisions.placements]
        self.assertEqual(["service/register/1"], placed)
        self.assertEqual((), decisions.ended)

    def test_failed_replica_is_replaced_beside_several_running_ones(self) -> None:
        scheduler = a_site(8).scheduler
        for number in range(2 * SETTINGS.tasks_per_unproven_job):
            running = a_replica(number)._replace(
                state=TaskState.RUNNING, epoch=1, target_id=f"t{number}"
            )
            scheduler.upsert_task(running, 0)
        scheduler.upsert_task(failed_task(a_replica(0), 1, "t0"), 0)
        later_ms = SETTINGS.retry_delay_max_ms
        placed = [each.task_id for each in scheduler.decide(later_ms).placements]
        self.assertEqual(["service/register/0"], placed)

    def test_waiting_replica_is_not_explained_by_failures_of_its_service(self) -> None:
        scheduler = a_site(0).scheduler
        for number in range(SETTINGS.tasks_per_unproven_job):
            running = a_replica(number)._replace(
                state=TaskState.RUNNING, epoch=1, target_id=f"t{number}"
            )
            scheduler.upsert_task(running, 0)
        scheduler.upsert_task(failed_task(a_replica(9), 1, "t9"), 0)
        later_ms = SETTINGS.retry_delay_max_ms
        reasons = " ".join(scheduler.explain("service/register/9", later_ms))
        self.assertNotIn("of its tasks run at once", reasons)
        self.assertIn("needs", reasons)

    def test_refused_probe_running_elsewhere_does_not_end_the_quarantine(self) -> None:
        scheduler, now_ms = probed_target()
        scheduler.task_refused("probe/0", "t0", now_ms)
        scheduler.upsert_target(a_target(1), False)
        running = a_task(0, "probe")._replace(
            state=TaskState.RUNNING, epoch=1, target_id="t1"
        )
        scheduler.upsert_task(running, now_ms)
        scheduler.decide(now_ms + SETTINGS.probe_ms)
        self.assertEqual({"t0"}, scheduler.site.failures.isolated)
