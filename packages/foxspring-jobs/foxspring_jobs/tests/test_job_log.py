"""The log says of each job how it ended and why its tasks waited."""

import unittest

from foxspring_model import Resources

from foxspring_jobs._job_log import Outcome, WaitReason, outcome_of, wait_reason
from foxspring_jobs._specs import JobSpec
from foxspring_jobs._state import JobPhase, JobState
from foxspring_jobs.tests.builders import (
    JOB,
    OTHER_JOB,
    QUEUE,
    registered,
    spec,
    step,
)
from foxspring_jobs.tests.fake_cluster import FakeCluster

LOGGER = "foxspring_jobs._job_log"


def size(cores: int, memory: int) -> Resources:
    return Resources(cores_milli=cores, memory_mb=memory)


class WaitReasonTest(unittest.TestCase):
    def test_reason_is_what_no_target_has_enough_of(self) -> None:
        free = [size(4_000, 100), size(1_000, 9_000)]
        for needed, expected in (
            (size(5_000, 50), WaitReason.CORES),
            (size(2_000, 200), WaitReason.MEMORY),
            (size(2_000, 100), WaitReason.BEHIND),
            (size(1_000, 9_000), WaitReason.BEHIND),
        ):
            with self.subTest(needed=needed):
                self.assertEqual(wait_reason(needed, free), expected)

    def test_nothing_is_free(self) -> None:
        self.assertEqual(wait_reason(size(1, 1), []), WaitReason.CORES)


class OutcomeTest(unittest.TestCase):
    def test_outcome_follows_from_phase_and_objective(self) -> None:
        objective_ms = 1_000  # 1.5 times 500 ms of work, and 250 ms
        for phase, age_ms, expected in (
            (JobPhase.COMPLETED, objective_ms, Outcome.IN_TIME),
            (JobPhase.COMPLETED, objective_ms + 1, Outcome.LATE),
            (JobPhase.COMPLETED, 3 * objective_ms, Outcome.LATE),
            (JobPhase.COMPLETED, 3 * objective_ms + 1, Outcome.TOO_LATE),
            (JobPhase.FAILED, 1, Outcome.FAILED),
            (JobPhase.CANCELLED, 1, Outcome.CANCELLED),
        ):
            with self.subTest(phase=phase, age_ms=age_ms):
                job = JobState(JOB, QUEUE, spec(), 100)
                job.phase = phase
                job.ended_ms = 100 + age_ms
                self.assertEqual(outcome_of(job), expected)

    def test_timed_job_is_not_measured_from_its_submission(self) -> None:
        job = JobState(JOB, QUEUE, spec(repetitions=2, interval_ms=60_000), 0)
        job.phase = JobPhase.COMPLETED
        job.ended_ms = 61_000
        self.assertEqual(outcome_of(job), Outcome.COMPLETED)


class JobEndedTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cluster = FakeCluster(registered("t1", cores=4_000))
        self.cluster.run(1_500)

    def ended(self, job: JobSpec, job_id: str = JOB, run_ms: int = 3_000) -> str:
        with self.assertLogs(LOGGER, "INFO") as logged:
            self.cluster.submit(job, job_id)
            self.cluster.run(run_ms)
        lines = [line for line in logged.output if f"job={job_id}" in line]
        self.assertEqual(len(lines), 1)
        return lines[0]

    def test_job_that_starts_at_once_waits_for_nothing(self) -> None:
        line = self.ended(spec(step(2, estimated_ms=500)))
        self.assertIn("outcome=in_time", line)
        self.assertIn("tasks=2 cores_milli=1000", line)
        self.assertIn("cores_wait_ms=0 memory_wait_ms=0 behind_wait_ms=0", line)

    def test_job_that_no_target_has_room_for_waits_for_cores(self) -> None:
        self.cluster.submit(spec(step(4, estimated_ms=1_500)), OTHER_JOB)
        self.cluster.run(200)
        line = self.ended(spec(step(4, estimated_ms=500)))
        self.assertNotIn("cores_wait_ms=0", line)
        self.assertIn("behind_wait_ms=0", line)

    def test_job_whose_tasks_are_tried_one_at_a_time_does_not_wait_for_room(
        self,
    ) -> None:
        """Guards: such waits were logged as if others had taken the room."""
        target = self.cluster.targets["t1.example:80"]
        target.fails = True
        line = self.ended(spec(step(3, estimated_ms=500)))
        self.assertIn("outcome=failed", line)
        self.assertIn("cores_wait_ms=0 memory_wait_ms=0 behind_wait_ms=0", line)
        self.assertNotIn("other_wait_ms=0", line)

    def test_job_is_large_if_it_has_over_twice_the_mean_work(self) -> None:
        for job_id, estimated_ms, expected in (
            (JOB, 0, "other"),
            ("00000000000000c3", 500, "other"),
            ("00000000000000d4", 500, "other"),
            (OTHER_JOB, 5_000, "large"),
        ):
            with self.subTest(estimated_ms=estimated_ms):
                line = self.ended(spec(step(1, estimated_ms=estimated_ms)), job_id)
                self.assertIn(f"size={expected}", line)

    def test_cancelled_job_is_logged_once(self) -> None:
        self.cluster.submit(spec(step(1, estimated_ms=60_000)))
        self.cluster.run(500)
        with self.assertLogs(LOGGER, "INFO") as logged:
            self.cluster.cancel()
            self.cluster.run(1_000)
        self.assertEqual(len(logged.output), 1)
        self.assertIn("outcome=cancelled", logged.output[0])


if __name__ == "__main__":
    unittest.main()
