"""What callers submit never takes more memory than a member may use."""

import subprocess
import sys
import unittest

from foxspring_jobs._job_size import STEP_BYTES, job_bytes
from foxspring_jobs._memory_budget import (
    FREE_PARTS,
    MAX_UNCONFIRMED_STARTS,
    MIN_RUNNING,
    MemoryBudget,
)
from foxspring_jobs._operations import Outcome
from foxspring_jobs._specs import MAX_TASKS_PER_OCCURRENCE, JobSpec
from foxspring_jobs._state import JobPhase
from foxspring_jobs.tests.builders import JOB, OTHER_JOB, registered, spec, step
from foxspring_jobs.tests.fake_cluster import FakeCluster
from foxspring_jobs.tests.member_memory import MEMBER_MB, SHAPES

# For links, connections, configurations and calls, which the filled process lacks.
OTHER_MB = 50
CHILD_LIMIT_S = 120.0
WIDE = spec(step(MAX_TASKS_PER_OCCURRENCE))
USUAL = spec(step(8), step(8, after=(0,)))


def gang_of(tasks: int) -> JobSpec:
    """Return a job whose tasks start together."""
    return spec(step(tasks, gang=True))


class MemberMemoryTest(unittest.TestCase):
    def test_full_member_stays_within_its_memory(self) -> None:
        """Guards: accepted jobs that no member can hold (LOST, Fault)."""
        for shape in SHAPES:
            with self.subTest(shape=shape):
                peak_mb, jobs = self.fill(shape)
                self.assertLessEqual(peak_mb, MEMBER_MB - OTHER_MB)
                self.assertGreater(jobs, 0)

    def fill(self, shape: str) -> tuple[int, int]:
        """Return the peak memory of a full member and the number of its jobs."""
        command = [sys.executable, "-m", "foxspring_jobs.tests.member_memory", shape]
        output = subprocess.check_output(command, timeout=CHILD_LIMIT_S, text=True)
        peak_mb, jobs, _ = output.split()
        return int(peak_mb), int(jobs)


class RefusalTest(unittest.TestCase):
    def fill(self, budget: MemoryBudget, job: JobSpec) -> int:
        """Return how many equal jobs are accepted."""
        accepted = 0
        while budget.refusal(job) is None:
            budget.note_accepted(job)
            accepted += 1
        return accepted

    def test_wide_jobs_leave_memory_for_usual_ones(self) -> None:
        """Guards: a caller's wide jobs that shut out everybody else's."""
        budget = MemoryBudget(MEMBER_MB)
        self.assertGreater(self.fill(budget, WIDE), 53)
        self.assertGreater(self.fill(budget, USUAL), 500)

    def test_job_that_never_fits_is_told_the_limit(self) -> None:
        budget = MemoryBudget(MEMBER_MB)
        largest = budget.limit_bytes // FREE_PARTS
        huge = spec(*(step(1) for _ in range(largest // STEP_BYTES)))
        refusal = budget.refusal(huge)
        assert refusal is not None
        self.assertTrue(refusal.lasting)
        self.assertIn(str(largest), refusal.reason)

    def test_gang_that_never_fits_is_refused(self) -> None:
        """Guards: a gang, which cannot start in parts, that fills a member."""
        budget = MemoryBudget(MEMBER_MB)
        self.assertIsNone(budget.refusal(gang_of(MAX_TASKS_PER_OCCURRENCE)))
        budget.max_started = 100
        refusal = budget.refusal(gang_of(101))
        self.assertTrue(refusal is not None and refusal.lasting)

    def test_waiting_jobs_do_not_keep_tasks_from_starting(self) -> None:
        budget = MemoryBudget(MEMBER_MB)
        self.fill(budget, USUAL)
        self.assertEqual(budget.start_limits(0).starts, MAX_UNCONFIRMED_STARTS)

    def test_some_tasks_run_whatever_has_begun_before(self) -> None:
        """Guards: tasks that wait again and leave no memory for any run."""
        budget = MemoryBudget(MEMBER_MB)
        budget.started = budget.max_started + 1
        self.assertEqual(budget.start_limits(0).starts, MIN_RUNNING)
        budget.running = MIN_RUNNING
        self.assertEqual(budget.start_limits(0).starts, 0)


class LeaderTest(unittest.TestCase):
    def cluster(self) -> FakeCluster:
        cluster = FakeCluster(registered("t1"), registered("t2"))
        self.addCleanup(lambda: self.assertEqual(cluster.violations, []))
        cluster.run(1_500)
        return cluster

    def fill(self, cluster: FakeCluster) -> None:
        budget = cluster.leader.memory.budget
        budget.used_bytes = budget.limit_bytes

    def test_job_is_refused_before_it_is_accepted(self) -> None:
        cluster = self.cluster()
        self.fill(cluster)
        cluster.submit(USUAL)
        self.assertEqual(cluster.answers[-1].outcome, Outcome.UNAVAILABLE)
        cluster.run(500)
        self.assertNotIn(JOB, cluster.committed.jobs)

    def test_accepted_job_is_acknowledged_again_without_memory(self) -> None:
        """Guards: a job called not run that was accepted before (REFUSED)."""
        cluster = self.cluster()
        cluster.submit(USUAL)
        cluster.run(100)
        self.fill(cluster)
        cluster.submit(USUAL)
        cluster.run(100)
        self.assertEqual(cluster.answers[-1].outcome, Outcome.OK)

    def test_jobs_are_accepted_again_once_others_have_ended(self) -> None:
        cluster = self.cluster()
        cluster.submit(USUAL)
        cluster.run(4_000)
        self.fill(cluster)
        cluster.run(1_200)
        cluster.submit(USUAL, OTHER_JOB)
        cluster.run(100)
        self.assertIn(OTHER_JOB, cluster.committed.jobs)

    def test_estimate_follows_starts_and_ends(self) -> None:
        cluster = self.cluster()
        for target in cluster.targets.values():
            target.work_ms = 2_500
        cluster.submit(USUAL)
        cluster.run(1_200)
        memory = cluster.leader.memory.budget
        self.assertGreaterEqual(memory.used_bytes, job_bytes(USUAL))
        self.assertEqual((memory.started, memory.running), (8, 8))
        cluster.run(8_000)
        self.assertEqual((memory.started, memory.running), (0, 0))
        self.assertLess(memory.used_bytes, job_bytes(USUAL))

    def test_gang_waits_until_there_is_memory_for_all_of_it(self) -> None:
        cluster = self.cluster()
        cluster.leader.memory.budget.max_started = 4
        cluster.submit(spec(step(3)), OTHER_JOB)
        cluster.run(100)
        cluster.submit(gang_of(2))
        cluster.run(100)
        self.assertEqual(cluster.committed.jobs[JOB].occurrences[0][0].running, 0)
        cluster.run(4_000)
        self.assertIs(cluster.phase(JOB), JobPhase.COMPLETED)
        self.assertIs(cluster.phase(OTHER_JOB), JobPhase.COMPLETED)

    def test_tasks_of_a_wide_step_start_a_part_at_a_time(self) -> None:
        """Guards: thousands of orders at once, each with the job's payload."""
        cluster = FakeCluster(registered("t1", cores=10**9))
        target = cluster.targets["t1.example:80"]
        target.work_ms = 60_000
        cluster.run(1_500)
        tiny = step(
            MAX_TASKS_PER_OCCURRENCE, resources=step().resources._replace(memory_mb=0)
        )
        target.replies = False
        cluster.submit(spec(tiny))
        cluster.run(1_000)
        self.assertLessEqual(len(target.started), MAX_UNCONFIRMED_STARTS)
        target.replies = True
        cluster.run(2_000)
        self.assertGreater(len(target.started), MAX_UNCONFIRMED_STARTS)


if __name__ == "__main__":
    unittest.main()
