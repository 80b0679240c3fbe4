"""Interrupted long-running tasks under a steady load of short jobs."""

import unittest

from foxspring_model import Resources

from foxspring_jobs._commands import RunKey
from foxspring_jobs._restarts import OVERDUE_MS, Restarts
from foxspring_jobs._specs import StepSpec
from foxspring_jobs._state import EndKind, State
from foxspring_jobs._waiting import NOTHING_OVERDUE
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
from foxspring_jobs.tests.fake_cluster import FakeCluster

SERVICE_JOB = OTHER_JOB
STEP_KEY = (JOB, 0, 0)
LONG_MS = 60_000
SHORT_MS = 500
SUBMIT_INTERVAL_MS = 200
# The users' rules allow 9 s from the end of a run to the next one.
RESTART_BOUND_MS = 9_000
SMALL_JOBS_BOUND_MS = 20_000
TASK_SIZE = Resources(cores_milli=3_000, memory_mb=100)


def service_step(count: int) -> StepSpec:
    return step(count, long_running=True, resources=TASK_SIZE)


class FullCluster:
    """A cluster with a service on two targets and short jobs that fill a third.

    By default, each short task takes as much room as a task of the service. The short
    jobs then arrive faster than they are done, so that some of them can always be in
    time.
    """

    def __init__(self, short_size: Resources = TASK_SIZE) -> None:
        self.short_size = short_size
        self.cluster = FakeCluster(*(registered(name) for name in ("t1", "t2", "t3")))
        self.submitted = 0
        for target in self.cluster.targets.values():
            target.work_ms = SHORT_MS
            target.work_ms_by_job[SERVICE_JOB] = LONG_MS
        self.cluster.run(1_500)
        self.cluster.submit(spec(service_step(2)), SERVICE_JOB)
        self.cluster.run(500)
        self.run_with_short_jobs(2_000)

    def run_with_short_jobs(self, duration_ms: int) -> None:
        for _ in range(0, duration_ms, SUBMIT_INTERVAL_MS):
            self.submitted += 1
            short = step(1, estimated_ms=SHORT_MS, resources=self.short_size)
            self.cluster.submit(spec(short), f"{self.submitted:016x}")
            self.cluster.run(SUBMIT_INTERVAL_MS)

    def service_runs(self) -> int:
        """Return how many tasks of the service run on live targets."""
        return sum(
            run.task.job_id == SERVICE_JOB
            for target in self.cluster.targets.values()
            for run in target.running
            if target.alive
        )

    def lose_service_target(self) -> None:
        lost = next(
            target
            for target in self.cluster.targets.values()
            if any(run.task.job_id == SERVICE_JOB for run in target.running)
        )
        lost.alive = False


class RestartTest(unittest.TestCase):
    def test_interrupted_long_running_task_does_not_starve_behind_short_jobs(
        self,
    ) -> None:
        full = FullCluster()
        self.assertEqual(full.service_runs(), 2)
        full.lose_service_target()
        full.run_with_short_jobs(RESTART_BOUND_MS)
        self.assertEqual(full.service_runs(), 2)
        self.assertEqual(full.cluster.violations, [])

    def test_interrupted_task_does_not_starve_behind_smaller_short_jobs(self) -> None:
        full = FullCluster(Resources(cores_milli=1_200, memory_mb=100))
        self.assertEqual(full.service_runs(), 2)
        full.lose_service_target()
        full.run_with_short_jobs(SMALL_JOBS_BOUND_MS)
        self.assertEqual(full.service_runs(), 2)

    def test_task_that_runs_again_is_no_longer_overdue(self) -> None:
        cluster = FakeCluster(registered("t1"), registered("t2"))
        for target in cluster.targets.values():
            target.work_ms = LONG_MS
        cluster.run(1_500)
        cluster.submit(spec(service_step(1)))
        cluster.run(500)
        next(t for t in cluster.targets.values() if t.running).alive = False
        cluster.run(RESTART_BOUND_MS + OVERDUE_MS)
        running = [run.number for t in cluster.targets.values() for run in t.running]
        self.assertIn(2, running)
        now_ms = cluster.clock.monotonic_ms()
        self.assertEqual(cluster.leader.restarts.overdue(now_ms), NOTHING_OVERDUE)


class RestartsTest(unittest.TestCase):
    """The times that a leader records for interrupted tasks."""

    def state(self) -> State:
        state = state_with(registered("t1"), registered("t2"))
        submit(state, spec(step(2, long_running=True)))
        for index in range(2):
            start(state, run_key(index), f"t{index + 1}")
        return state

    def interrupt(self, state: State, run: RunKey) -> None:
        end(state, run, EndKind.FAILED)

    def test_step_is_overdue_by_its_longest_interrupted_task(self) -> None:
        state, restarts = self.state(), Restarts()
        self.interrupt(state, run_key(0))
        restarts.update(state, 100)
        self.interrupt(state, run_key(1))
        restarts.update(state, 100 + OVERDUE_MS)
        self.assertEqual(restarts.longest_ms(STEP_KEY, 100 + OVERDUE_MS), OVERDUE_MS)
        self.assertEqual(restarts.overdue(100 + OVERDUE_MS), ({STEP_KEY}, set()))
        start(state, run_key(0, number=2))
        restarts.update(state, 200 + OVERDUE_MS)
        self.assertEqual(restarts.longest_ms(STEP_KEY, 200 + OVERDUE_MS), 100)

    def test_second_interruption_is_timed_anew(self) -> None:
        state, restarts = self.state(), Restarts()
        self.interrupt(state, run_key(0))
        restarts.update(state, 100)
        start(state, run_key(0, number=2))
        restarts.update(state, 200)
        self.interrupt(state, run_key(0, number=2))
        restarts.update(state, 9_000)
        self.assertEqual(restarts.longest_ms(STEP_KEY, 9_000), 0)


class UnansweredPollTest(unittest.TestCase):
    def test_lease_does_not_lapse_after_one_unanswered_poll(self) -> None:
        for lose_at_ms in range(0, 2_000, 100):
            with self.subTest(lose_at_ms=lose_at_ms):
                cluster = FakeCluster(registered())
                target = cluster.targets["t1.example:80"]
                target.work_ms = LONG_MS
                cluster.run(1_500)
                cluster.submit(spec(service_step(1)))
                cluster.run(3_000 + lose_at_ms)
                cluster.ports.polls_to_lose = 1
                cluster.run(8_000)
                self.assertEqual(target.finished, [])
                self.assertEqual(len(target.started), 1)


if __name__ == "__main__":
    unittest.main()
