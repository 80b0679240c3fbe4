"""Random troubles on a cluster with timed jobs, some of them with a long backlog."""

import unittest

from foxspring_model import INVARIANT_CHECKS

from foxspring_jobs._specs import JobSpec
from foxspring_jobs._state import JobPhase
from foxspring_jobs.tests.builders import spec, step
from foxspring_jobs.tests.test_random_cluster import RandomCluster

SEEDS = range(4)
TIMED_SHARE = 0.5
TASK_MS = 300
FIVE_YEARS_OF_MINUTES = 5 * 365 * 24 * 60
INTERVALS_MS = (0, 100, 2_000)
DAY_MS = 86_400_000


class TimedCluster(RandomCluster):
    """Half of the jobs are timed; some of them are due for years to come."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed, crashes_of_targets=True)
        self.timed: dict[str, JobSpec] = {}

    def submit(self) -> None:
        """Submit a timed job or another one."""
        if self.rng.random() >= TIMED_SHARE:
            super().submit()
            return
        job_id = f"{len(self.jobs):016x}"
        self.jobs.append(job_id)
        job = self.timed[job_id] = self.random_timed_job()
        for target in self.cluster.targets.values():
            target.work_ms_by_job[job_id] = TASK_MS
        # An answer is lost with its leader, so the caller asks again.
        for _ in range(2):
            if job_id not in self.cluster.committed.jobs:
                self.cluster.submit(job, job_id)
                self.cluster.run(200)

    def random_timed_job(self) -> JobSpec:
        now_ms = self.cluster.clock.wall_ms()
        first = step(self.rng.randint(1, 3), estimated_ms=TASK_MS)
        steps = (first, first._replace(after=(0,)))[: self.rng.randint(1, 2)]
        if self.rng.random() < 0.3:
            return spec(
                *steps,
                repetitions=FIVE_YEARS_OF_MINUTES,
                first_due_ms=now_ms + DAY_MS,
                interval_ms=60_000,
            )
        return spec(
            *steps,
            repetitions=self.rng.randint(1, 12),
            first_due_ms=now_ms + self.rng.choice((-DAY_MS, 0, 1_000)),
            interval_ms=self.rng.choice(INTERVALS_MS),
        )

    def check_job(self, job_id: str) -> None:
        """Note a timed job that lost an occurrence, or kept more than it needs."""
        job = self.timed.get(job_id)
        if job is None:
            super().check_job(job_id)
            return
        state = self.cluster.committed.jobs[job_id]
        if job.repetitions == FIVE_YEARS_OF_MINUTES:
            if state.opened_count or state.has_ended():
                self.faults.add(f"{job_id} began a day early")
            return
        if state.phase is JobPhase.FAILED and self.most_crashes(job_id) >= 3:
            return
        if state.phase is not JobPhase.COMPLETED:
            self.faults.add(f"{job_id} is {state.phase}")
        if len(state.occurrences) > 1:
            self.faults.add(f"{job_id} keeps {len(state.occurrences)} occurrences")
        if state.finished_occurrences != job.repetitions:
            self.faults.add(f"{job_id} ran {state.finished_occurrences} times")


class RandomTimedJobsTest(unittest.TestCase):
    def test_every_occurrence_runs_in_random_troubles(self) -> None:
        """Guards: an occurrence that is dropped or left to wait may not be lost."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                violated = sum(INVARIANT_CHECKS.violated.values())
                site = TimedCluster(seed)
                site.run()
                self.assertEqual(sorted(site.faults), [])
                self.assertEqual(sum(INVARIANT_CHECKS.violated.values()), violated)


if __name__ == "__main__":
    unittest.main()
