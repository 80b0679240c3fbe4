"""Short tasks do not wait until many best-effort steps have been considered."""

import unittest
from collections.abc import Iterable
from unittest import mock

from foxspring_model import Resources

from foxspring_jobs._commands import RunKey, RunStart, TaskKey
from foxspring_jobs._placement import Planner
from foxspring_jobs._too_large import TooLargeSizes
from foxspring_jobs._waiting import WaitingStep
from foxspring_jobs.tests.builders import QUEUE, registered, spec, step
from foxspring_jobs.tests.fake_cluster import FakeCluster

BEST_EFFORT_STEPS = 40
MS_PER_BEST_EFFORT_STEP = 10
SHORT_JOBS = 20
COMMIT_AND_ORDER_MS = 60
MAX_WAIT_MS = 5_000
SMALL = Resources(cores_milli=1_000, memory_mb=10)
LARGE = Resources(cores_milli=1_000, memory_mb=100_000)


class SlowPlanningTest(unittest.TestCase):
    """Considering a waiting best-effort step takes 10 ms of the leader's time."""

    def setUp(self) -> None:
        self.cluster = FakeCluster(registered("t1", cores=64_000))
        self.submitted = 0
        plan = Planner.plan

        def slow_plan(planner: Planner, steps: Iterable[WaitingStep]) -> list[RunStart]:
            waiting = list(steps)
            jobs = [planner.state.active[w.job_id] for w in waiting]
            best_effort = sum(job.spec.steps[0].best_effort for job in jobs)
            self.cluster.clock.advance(best_effort * MS_PER_BEST_EFFORT_STEP)
            return plan(planner, waiting)

        patched = mock.patch.object(Planner, "plan", slow_plan)
        patched.start()
        self.addCleanup(patched.stop)
        self.cluster.run(1_500)

    def submit_best_effort(self, resources: Resources) -> None:
        job = spec(step(1, best_effort=True, image="f", resources=resources))
        for _ in range(BEST_EFFORT_STEPS):
            self.submitted += 1
            self.cluster.submit(job, f"{self.submitted:016x}")

    def waits_ms(self) -> list[int]:
        """Return how long each of several short jobs waits for its first start."""
        waits = []
        for number in range(SHORT_JOBS):
            job_id = f"f{number:015x}"
            self.cluster.submit(spec(step(1)), job_id)
            began_ms = self.cluster.clock.now_ms
            until_ms = began_ms + MAX_WAIT_MS
            run = RunKey(TaskKey(job_id, 0, 0, 0), 1)
            while not self.cluster.starts_of(run):
                self.assertLess(self.cluster.clock.now_ms, until_ms)
                self.cluster.run(5)
            waits.append(self.cluster.clock.now_ms - began_ms)
            self.cluster.run(170)
        return waits

    def test_most_short_tasks_start_while_best_effort_planning_pauses(self) -> None:
        self.submit_best_effort(LARGE)
        self.cluster.run(1_000)
        waits = sorted(self.waits_ms())
        self.assertLessEqual(waits[SHORT_JOBS // 2], COMMIT_AND_ORDER_MS)

    def test_best_effort_tasks_that_were_left_out_are_planned_later(self) -> None:
        self.submit_best_effort(SMALL)
        self.cluster.run(60)
        self.submit_best_effort(SMALL)
        self.cluster.run(3_000)
        idle = [
            s.idle
            for job in self.cluster.leader.context.draft.active.values()
            for s in job.occurrences[0]
        ]
        self.assertEqual(sum(idle), 0)


class TooLargeSizesTest(unittest.TestCase):
    def size(self, cores: int, memory: int = 100) -> Resources:
        return Resources(cores_milli=cores, memory_mb=memory)

    def test_size_that_exceeds_a_rejected_one_is_too_large(self) -> None:
        sizes = TooLargeSizes()
        sizes.add(QUEUE, step(1, resources=self.size(2_000)))
        for cores, memory, expected in (
            (1_999, 100, False),
            (2_000, 99, False),
            (2_000, 100, True),
            (3_000, 200, True),
        ):
            larger = step(1, resources=self.size(cores, memory))
            self.assertEqual(sizes.includes(QUEUE, larger), expected)

    def test_only_short_tasks_of_the_same_service_are_compared(self) -> None:
        sizes = TooLargeSizes()
        sizes.add(QUEUE, step(1, long_running=True))
        sizes.add(QUEUE, step(1, best_effort=True))
        sizes.add(QUEUE, step(1, required_label="gpu"))
        sizes.add(QUEUE._replace(advice_delay_ms=10), step(1))
        self.assertFalse(sizes.includes(QUEUE, step(1)))
        sizes.add(QUEUE, step(1))
        self.assertTrue(sizes.includes(QUEUE, step(1, required_label="gpu")))
        self.assertFalse(sizes.includes(QUEUE._replace(service="other"), step(1)))
        self.assertFalse(sizes.includes(QUEUE, step(1, long_running=True)))


if __name__ == "__main__":
    unittest.main()
