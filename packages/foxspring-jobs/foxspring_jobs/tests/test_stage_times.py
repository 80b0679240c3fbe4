"""The log says in which stage the starts of a leader lose time."""

import unittest

from foxspring_model import Resources

from foxspring_jobs.tests.builders import OTHER_JOB, registered, spec, step
from foxspring_jobs.tests.fake_cluster import CALL_MS, COMMIT_MS, FakeCluster

LOGGER = "foxspring_jobs._stage_times"
WORK_MS = 500


class StageTimesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cluster = FakeCluster(registered("t1", cores=1_000))
        self.cluster.run(1_500)

    def longest_ms(self, stage: str, run_ms: int) -> int:
        """Return the longest duration that is logged for a stage."""
        with self.assertLogs(LOGGER, "INFO") as logged:
            self.cluster.run(run_ms)
        lines = [line for line in logged.output if f"stage={stage} " in line]
        return max(int(line.rpartition("longest_ms=")[2]) for line in lines)

    def test_step_that_waits_for_a_target_is_long_ready(self) -> None:
        job = spec(step(1, estimated_ms=WORK_MS, resources=Resources(0, 0, 1_000, 1)))
        self.cluster.submit(job)
        self.cluster.submit(job, OTHER_JOB)
        self.assertGreaterEqual(self.longest_ms("ready", 2_000), WORK_MS)

    def test_later_step_is_ready_from_the_end_of_the_earlier_one(self) -> None:
        self.cluster.submit(spec(step(1), step(1, after=(0,))))
        self.assertLess(self.longest_ms("ready", 3_000), WORK_MS)

    def test_commit_and_order_are_measured(self) -> None:
        self.cluster.submit(spec(step(1)))
        longest_commit_ms = self.longest_ms("commit", 1_100)
        self.assertGreaterEqual(longest_commit_ms, COMMIT_MS)
        self.cluster.submit(spec(step(1)), OTHER_JOB)
        self.assertGreaterEqual(self.longest_ms("order", 1_100), CALL_MS)

    def test_data_of_ended_jobs_is_discarded(self) -> None:
        self.cluster.submit(spec(step(1), step(1, after=(0,))))
        self.cluster.submit(spec(step(1)), OTHER_JOB)
        self.cluster.cancel(OTHER_JOB)
        self.cluster.run(3_000)
        self.assertEqual(self.cluster.leader.context.stage_times.ready_ms, {})


if __name__ == "__main__":
    unittest.main()
