"""Quarantines begin and end in the leader's view, with what it says of them."""

import logging
import unittest

from foxspring_jobs._commands import RunEnd, RunKey, TaskKey
from foxspring_jobs._orders import ReportedRun
from foxspring_jobs._session import TargetSession
from foxspring_jobs._specs import StepSpec
from foxspring_jobs._state import EndKind
from foxspring_jobs.tests.builders import JOB, spec, step
from foxspring_jobs.tests.failing_site import SHORT_MS, FailingSite, lasting_step

BEGIN = "event=target_quarantined"
END = "event=target_quarantine_ended"
MINUTE_MS = 60_000
LOGGER = "foxspring_jobs._target_faults"


class SiteTest(unittest.TestCase):
    """A site of few targets whose leader's sessions are looked at."""

    def session(self, site: FailingSite, name: str = "t000") -> TargetSession:
        return site.cluster.leader.context.sessions[name]

    def quarantined(self, site: FailingSite) -> list[str]:
        """Return the targets in quarantine, or probed after it."""
        sessions = site.cluster.leader.context.sessions
        return [
            name
            for name, session in sessions.items()
            if session.health.quarantine_count
        ]


class StalledRunsTest(SiteTest):
    """Which runs without progress point to their target."""

    def site_with_stalled(self, *steps: StepSpec) -> FailingSite:
        site = FailingSite(targets=1)
        site.targets()[0].stalls = True
        for number, kind in enumerate(steps):
            site.cluster.submit(spec(kind), f"{number:016x}")
        site.cluster.run(4_000)
        return site

    def test_stalled_best_effort_runs_of_one_job_do_not(self) -> None:
        kind = step(2, best_effort=True, image="fill")
        self.assertEqual(self.quarantined(self.site_with_stalled(kind)), [])

    def test_stalled_best_effort_runs_of_several_jobs_do(self) -> None:
        kind = step(1, best_effort=True, image="fill")
        self.assertEqual(self.quarantined(self.site_with_stalled(kind, kind)), ["t000"])

    def test_one_stalled_run_that_has_its_cores_does(self) -> None:
        self.assertEqual(self.quarantined(self.site_with_stalled(step())), ["t000"])


class LongTaskTest(SiteTest):
    """Tasks that take minutes, of which a percent takes longer than a stall."""

    def starts_of_a_long_task(self, work_ms: int, estimated_ms: int) -> int:
        """Return how often a task was started that is then done."""
        site = FailingSite(targets=2)
        site.bounded.add(JOB)
        for target in site.targets():
            target.work_ms_by_job[JOB] = work_ms
        site.cluster.submit(spec(step(1, estimated_ms=estimated_ms)), JOB)
        site.cluster.run(work_ms + MINUTE_MS)
        self.assertEqual(site.not_done([JOB]), [])
        return len(site.starts(JOB))

    # Guards against LOST: a task of ten minutes was stopped every 3 s (review/4).
    def test_task_of_many_minutes_is_not_stopped_as_stalled(self) -> None:
        self.assertEqual(self.starts_of_a_long_task(10 * MINUTE_MS, 10 * MINUTE_MS), 1)

    # Guards against the same where the estimate is much too low.
    def test_task_of_many_minutes_with_a_low_estimate_is_done(self) -> None:
        self.assertLessEqual(self.starts_of_a_long_task(10 * MINUTE_MS, 1_000), 4)


class QuarantineTest(SiteTest):
    # Guards against a quarantine that goes on after its cause has turned out to be the
    # work.
    def test_quarantine_is_withdrawn_once_the_work_is_at_fault(self) -> None:
        site = FailingSite()
        with self.assertLogs(LOGGER, logging.INFO) as logs:
            for _ in range(2):
                site.submit_failing(spec(lasting_step()))
            site.cluster.run(1_000)
        self.assertEqual(self.quarantined(site), [])
        ends = [line for line in logs.output if END in line]
        self.assertTrue(ends)
        self.assertTrue(all("why=withdrawn" in line for line in ends))
        self.assertTrue(
            any("event=step_fails_everywhere" in row for row in logs.output)
        )

    def test_quarantine_of_a_target_that_declines_starts_is_not_withdrawn(self) -> None:
        site = FailingSite(targets=2)
        site.targets()[0].healthy = False
        site.submit_short(4)
        site.cluster.run(SHORT_MS)
        self.assertEqual(self.quarantined(site), ["t000"])
        self.assertFalse(self.session(site).may_start(site.cluster.clock.now_ms))

    def test_quarantine_and_its_end_are_logged_with_the_jobs(self) -> None:
        site = FailingSite(targets=2)
        faulty = site.fault()[0]
        with self.assertLogs(LOGGER, logging.INFO) as logs:
            site.run_with_short_jobs(3_000, interval_ms=100)
            faulty.fails = False
            site.run_with_short_jobs(9_000, interval_ms=100)
        begins = [line for line in logs.output if BEGIN in line]
        ends = [line for line in logs.output if END in line]
        self.assertTrue(begins and ends)
        self.assertIn("target=t000 why=failed jobs=000000000000b0", begins[0])
        self.assertIn("why=done", ends[-1])
        self.assertEqual(self.quarantined(site), [])

    def test_quarantined_targets_are_counted(self) -> None:
        site = FailingSite(targets=2)
        site.fault()
        site.run_with_short_jobs(3_000, interval_ms=100)
        text = site.cluster.leader.metrics.exposition().decode()
        self.assertIn("foxspring_job_targets 2", text)
        self.assertIn("foxspring_job_targets_quarantined 1", text)

    # Guards against sound targets that go into quarantine when failing work is mended.
    def test_failures_of_faulty_work_do_not_count_after_it_is_mended(self) -> None:
        site = FailingSite()
        jobs = [site.submit_failing(spec(lasting_step())) for _ in range(2)]
        site.cluster.run(5_000)
        for job_id in jobs:
            site.mend(job_id)
        for _ in range(20):
            site.cluster.run(500)
            self.assertEqual(self.quarantined(site), [])
        for job_id in jobs:
            self.assertEqual(site.running(job_id), 6)

    # Guards against a target whose views can't be processed any more, because it lists
    # a failed run of a step that its job doesn't have.
    def test_failed_run_of_a_step_that_is_not_there_counts_for_nothing(self) -> None:
        site = FailingSite(targets=1)
        job_id = site.submit_lasting(1)
        site.cluster.run(500)
        faults = site.cluster.leader.faults
        for task in (TaskKey(job_id, 0, 9, 0), TaskKey("0" * 16, 0, 0, 0)):
            run = RunKey(task, 1)
            end = RunEnd(run, self.session(site).incarnation, EndKind.FAILED)
            faults.note_end(self.session(site), end)
            faults.note_at_work([ReportedRun(run, "", 100)])
        self.assertEqual(faults.evidence.steps, {})
        self.assertFalse(self.session(site).health.on_probation())

    # Guards against failures of faulty work that count against targets once it is
    # forgotten that the work was at fault.
    def test_evidence_and_failures_are_forgotten_with_the_jobs(self) -> None:
        site = FailingSite()
        job_id = site.submit_failing(spec(step(6)))
        site.cluster.run(2_000)
        faults = site.cluster.leader.faults
        health = self.session(site).health
        self.assertEqual({key[0] for key in faults.evidence.steps}, {job_id})
        self.assertEqual({task.job_id for task in health.failed}, {job_id})
        keep_ms = site.cluster.leader.context.settings.keep_ended_ms
        site.cluster.run(2 * keep_ms)
        self.assertEqual(faults.evidence.steps, {})
        self.assertEqual(health.failed, {})


if __name__ == "__main__":
    unittest.main()
