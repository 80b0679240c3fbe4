import unittest

from foxspring_model import Resources

from foxspring_jobs.tests.builders import registered, spec, step
from foxspring_jobs.tests.fake_cluster import FakeCluster

LOGGER = "foxspring_jobs._interrupted_log"
LONG_MS = 60_000


class InterruptedLogTest(unittest.TestCase):
    def interrupted_cluster(self, cores: int) -> FakeCluster:
        """Return a cluster that lost one of two targets with a task on each."""
        cluster = FakeCluster(registered("t1"), registered("t2"))
        for target in cluster.targets.values():
            target.work_ms = LONG_MS
        cluster.run(1_500)
        size = Resources(cores_milli=cores, memory_mb=100)
        cluster.submit(spec(step(2, long_running=True, resources=size)))
        cluster.run(500)
        cluster.targets["t1.example:80"].alive = False
        return cluster

    def test_interrupted_task_without_room_is_logged_with_the_room(self) -> None:
        cluster = self.interrupted_cluster(cores=3_000)
        with self.assertLogs(LOGGER) as logs:
            cluster.run(9_000)
        self.assertIn("idle=1", logs.output[-1])
        self.assertIn("room_before=0 room_after=0 room_on_unusable=0", logs.output[-1])

    def test_task_that_starts_again_at_once_is_not_logged(self) -> None:
        cluster = self.interrupted_cluster(cores=1_000)
        with self.assertNoLogs(LOGGER):
            cluster.run(9_000)


if __name__ == "__main__":
    unittest.main()
