"""Random troubles beside a log that refuses proposals; short, seeded runs."""

import unittest
from collections.abc import Callable

from foxspring_model import INVARIANT_CHECKS

from foxspring_jobs._specs import JobSpec
from foxspring_jobs.tests.fake_cluster import LogState
from foxspring_jobs.tests.test_random_cluster import RandomCluster

SEEDS = range(4)
REFUSALS = 5
MAX_SUBMISSIONS = 100


class RefusingCluster(RandomCluster):
    """The log refuses proposals at times; the leader keeps its lease and restarts."""

    def __init__(self, seed: int, crashes_of_targets: bool) -> None:
        super().__init__(seed, crashes_of_targets)
        self.restarts = 0

    def troubles(self) -> list[Callable[[], None]]:
        """Return the troubles of a cluster, and refusals."""
        return [*super().troubles(), *[self.refuse] * REFUSALS]

    def refuse(self) -> None:
        """Let the log refuse proposals, or leave their outcome open, for a while."""
        cluster = self.cluster
        cluster.log_state = self.rng.choice((LogState.REFUSING, LogState.UNKNOWN))
        duration_ms = self.rng.choice((5, 50, 300, 2_000))
        cluster.call_later(
            duration_ms, lambda: setattr(cluster, "log_state", LogState.SERVING)
        )

    def advance(self, duration_ms: int) -> None:
        """Advance virtual time; a deposed leader begins anew."""
        for _ in range(duration_ms // 50):
            super().advance(50)
            self.restart_if_deposed()

    def restart_if_deposed(self) -> None:
        """Let a deposed leader begin anew from the committed state."""
        if self.cluster.leader.is_deposed():
            self.restarts += 1
            self.cluster.change_leader()

    def submit_again(self, job: JobSpec, job_id: str) -> None:
        """Submit a job until it is committed."""
        for _ in range(MAX_SUBMISSIONS):
            if job_id in self.cluster.committed.jobs:
                return
            self.restart_if_deposed()
            self.cluster.submit(job, job_id)
            self.cluster.run(200)
        self.faults.add(f"{job_id} was never accepted")


class RandomRefusalsTest(unittest.TestCase):
    # Issue 55: a proposal that is refused deposes the leader, which keeps its term.
    def test_no_accepted_work_is_lost_or_done_twice(self) -> None:
        restarts = 0
        for seed in SEEDS:
            with self.subTest(seed=seed):
                violated = sum(INVARIANT_CHECKS.violated.values())
                site = RefusingCluster(seed, crashes_of_targets=False)
                site.run()
                restarts += site.restarts
                self.assertEqual(sorted(site.faults), [])
                self.assertEqual(sum(INVARIANT_CHECKS.violated.values()), violated)
        self.assertGreater(restarts, 0)


if __name__ == "__main__":
    unittest.main()
