"""How often, and in which order, long-running tasks that end early start again."""

import unittest
from collections import Counter

from foxspring_model import Resources

from foxspring_jobs._restart_backoff import (
    MAX_DELAY_MS,
    STEADY_MS,
    RestartBackoff,
)
from foxspring_jobs._restarts import OVERDUE_MS, Restarts
from foxspring_jobs._state import EndKind
from foxspring_jobs._waiting import OverdueSteps, waiting_steps
from foxspring_jobs.tests.builders import (
    JOB,
    OTHER_JOB,
    end,
    registered,
    run_key,
    spec,
    start,
    state_with,
    step,
    submit,
)
from foxspring_jobs.tests.failing_site import (
    FAIL_MS,
    RESTART_LIMIT_MS,
    SHORT_MS,
    FailingSite,
    lasting_step,
)
from foxspring_jobs.tests.planning import jobs_of, plan

MINUTE_MS = 60_000
# From 6 s after its last run on a task must start again; it need not start more often
# than twice in that time.
MAX_STARTS_A_MINUTE = 20
WIDE = Resources(cores_milli=1_000, memory_mb=10)
HALF = Resources(cores_milli=2_000, memory_mb=10)
STEP = (JOB, 0, 0)
TASK = run_key().task


class RestartTest(unittest.TestCase):
    """How often, and in which order, tasks that last and fail start again."""

    # Guards against a lasting task that waits too long once its cause is mended.
    def test_mended_task_is_at_work_again_within_the_limit(self) -> None:
        for failed_ms in (500, 3_000, 10_000, MINUTE_MS):
            with self.subTest(failed_ms=failed_ms):
                site = FailingSite()
                job_id = site.submit_failing(spec(lasting_step()))
                site.cluster.run(failed_ms)
                site.mend(job_id)
                site.cluster.run(RESTART_LIMIT_MS)
                self.assertEqual(site.running(job_id), 6)

    # Guards against a task that is without a run for longer than the users allow,
    # although it fails each time, while short jobs fill the site.
    def test_failing_task_starts_within_the_limit_on_a_full_site(self) -> None:
        for work_ms, size in ((SHORT_MS, WIDE), (4_000, WIDE), (4_000, HALF)):
            with self.subTest(work_ms=work_ms, cores=size.cores_milli):
                site = FailingSite()
                for target in site.targets():
                    target.work_ms = work_ms
                job_id = site.submit_failing(spec(lasting_step(2, size)))
                for _ in range(4):
                    before = Counter(site.starts(job_id))
                    self.fill(site, RESTART_LIMIT_MS)
                    started = Counter(site.starts(job_id)) - before
                    self.assertEqual(len(started), 2)

    # Guards against starts, commits and log lines that rise without bound.
    def test_starts_of_a_task_that_always_fails_are_bounded(self) -> None:
        for fail_ms in (0, FAIL_MS, 1_200):
            with self.subTest(fail_ms=fail_ms):
                site = FailingSite()
                job_id = site.submit_failing(spec(lasting_step()), fail_ms)
                site.cluster.run(MINUTE_MS)
                for _ in range(2):
                    before = Counter(site.starts(job_id))
                    site.cluster.run(MINUTE_MS)
                    started = Counter(site.starts(job_id)) - before
                    self.assertEqual(len(started), 6)
                    self.assertLessEqual(max(started.values()), MAX_STARTS_A_MINUTE)

    # Guards against an interrupted task that waits behind one that always fails.
    def test_innocent_interrupted_task_goes_before_one_that_always_fails(self) -> None:
        state, restarts = state_with(registered(cores=1_000)), Restarts()
        for job_id in (JOB, OTHER_JOB):
            submit(state, spec(step(long_running=True)), job_id)
            run = run_key(job_id=job_id)
            start(state, run)
            end(state, run, EndKind.FAILED)
        restarts.update(state, 0, frozenset({TASK}))
        overdue = restarts.overdue(RESTART_LIMIT_MS)
        steps = waiting_steps(state, RESTART_LIMIT_MS, overdue)
        self.assertEqual([row.job_id for row in steps], [OTHER_JOB, JOB])
        self.assertEqual(jobs_of(plan(state, steps=steps)), [OTHER_JOB])

    # Guards against the same while both lose their runs again and again.
    def test_lost_task_is_at_work_in_time_beside_failing_ones_on_a_full_site(
        self,
    ) -> None:
        site = FailingSite(targets=3)
        innocent = site.submit_lasting(2, WIDE)
        site.cluster.run(1_000)
        for _ in range(3):
            site.submit_failing(spec(lasting_step(2, WIDE)))
        self.fill(site, RESTART_LIMIT_MS)
        lost = next(t for t in site.targets() if innocent in t.running_jobs())
        lost.alive = False
        self.fill(site, RESTART_LIMIT_MS)
        self.assertEqual(site.running(innocent), 2)

    def fill(self, site: FailingSite, duration_ms: int) -> None:
        """Advance virtual time while more short jobs arrive than fit."""
        for _ in range(duration_ms // 100):
            site.submit_short(4)
            site.cluster.run(100)


class BackoffTest(unittest.TestCase):
    def setUp(self) -> None:
        self.backoff = RestartBackoff()

    def delays(self, ends: int, lasted_ms: int = 0) -> list[int]:
        return [self.backoff.note_ended(TASK, lasted_ms, 0) for _ in range(ends)]

    def test_first_restart_is_at_once_and_later_ones_are_delayed_up_to_a_limit(
        self,
    ) -> None:
        delays_ms = self.delays(40)
        self.assertEqual(delays_ms[0], 0)
        self.assertEqual(delays_ms, sorted(delays_ms))
        self.assertEqual(delays_ms[-1], MAX_DELAY_MS)

    def test_delayed_task_is_due_after_its_delay(self) -> None:
        self.delays(40)
        self.assertEqual(self.backoff.delayed(MAX_DELAY_MS - 1), {TASK})
        self.assertEqual(self.backoff.delayed(MAX_DELAY_MS), frozenset())

    def test_run_that_lasted_makes_the_next_restart_the_first(self) -> None:
        self.delays(5)
        self.assertEqual(self.delays(2, STEADY_MS), [0, 0])
        self.assertFalse(self.backoff.is_repeated(TASK))

    def test_task_is_forgotten_once_its_run_lasts_or_its_job_has_ended(self) -> None:
        state = state_with(registered())
        submit(state, spec(step(long_running=True)))
        start(state, run_key())
        self.delays(5)
        self.backoff.forget_steady(state, STEADY_MS - 1)
        self.assertEqual(self.backoff.repeated(), {TASK})
        self.backoff.forget_steady(state, STEADY_MS)
        self.assertEqual(self.backoff.repeated(), frozenset())
        self.delays(5)
        self.backoff.forget_steady(state_with(), 0)
        self.assertEqual(self.backoff.repeated(), frozenset())


class OverdueTest(unittest.TestCase):
    def test_task_that_ends_early_again_and_again_is_overdue_apart(self) -> None:
        state, restarts = state_with(registered()), Restarts()
        submit(state, spec(step(long_running=True)))
        start(state, run_key())
        end(state, run_key(), EndKind.FAILED)
        restarts.update(state, 0, frozenset({TASK}))
        none, both = frozenset[object](), frozenset({STEP})
        self.assertEqual(restarts.overdue(OVERDUE_MS - 1), OverdueSteps())
        self.assertEqual(restarts.overdue(OVERDUE_MS), (none, both))
        restarts.update(state, 0)
        self.assertEqual(restarts.overdue(OVERDUE_MS), (both, none))


if __name__ == "__main__":
    unittest.main()
