"""The runs of a target that shuts down end only once that is certain."""

import unittest

from foxspring_jobs._operations import TargetReport
from foxspring_jobs.tests.builders import registered, run_key, spec, step
from foxspring_jobs.tests.fake_cluster import FakeCluster
from foxspring_jobs.tests.fake_target import FakeTarget
from foxspring_jobs.tests.test_leader import LeaderCase

WORK_MS = 20_000
# The users' site ends a long-running task's absence within this time.
RESTART_LIMIT_MS = 6_000


class RefusedConnectionTest(LeaderCase):
    """A refused connection does not show that a target's process has ended."""

    def leaving(self, serves_on_ms: int = 60_000) -> tuple[FakeCluster, FakeTarget]:
        """Return a cluster whose first target runs a task and begins to leave.

        Calls to it are refused from now on, and its process ends after a time.
        """
        cluster = self.cluster("t1")
        target = cluster.targets["t1.example:80"]
        target.work_ms = WORK_MS
        cluster.submit(spec(step(1)))
        cluster.run(1_500)
        self.assertIn(run_key(), target.running)
        cluster.add(registered("t2")).work_ms = WORK_MS
        cluster.run(1_500)
        target.refuses = True
        cluster.leader.target_leaving("t1", 1, cluster.answers.append)
        cluster.call_later(serves_on_ms, lambda: self.end(target))
        return cluster, target

    def end(self, target: FakeTarget) -> None:
        """End a target's process."""
        target.alive = False
        target.running.clear()

    def test_task_of_a_leaving_target_behind_a_cut_runs_once_at_a_time(self) -> None:
        """Guards: a second run while the first one still holds its lease (TWICE)."""
        cluster, _ = self.leaving()
        cluster.run(8_000)
        self.assertEqual(cluster.violations, [])

    def test_task_of_a_target_that_has_left_is_started_elsewhere(self) -> None:
        """Guards: work of a target that has really left that waits for too long."""
        cluster, _ = self.leaving(serves_on_ms=100)
        cluster.run(100 + RESTART_LIMIT_MS)
        task = cluster.committed.task(run_key().task)
        self.assertEqual(task and len(task.runs), 1)
        self.assertTrue(cluster.targets["t2.example:80"].started)

    def test_new_leader_waits_for_the_lease_of_a_leaving_target(self) -> None:
        """Guards: a successor that did not hear that the target leaves (TWICE)."""
        for change_after_ms in (0, 50, 400, 2_000):
            with self.subTest(change_after_ms=change_after_ms):
                cluster, _ = self.leaving()
                cluster.run(change_after_ms)
                cluster.change_leader(pause_ms=300)
                cluster.run(10_000)
                self.assertEqual(cluster.violations, [])
                self.assertTrue(cluster.targets["t2.example:80"].started)


class ReusedAddressTest(LeaderCase):
    """Only an answer from an address shows that another target has it now."""

    def test_late_heartbeat_of_an_earlier_target_ends_no_run(self) -> None:
        """Guards: a second run, since a dead target's clock was ahead (TWICE)."""
        cluster = self.cluster("t1")
        target = cluster.targets["t1.example:80"]
        target.work_ms = WORK_MS
        cluster.submit(spec(step(1)))
        cluster.run(1_500)
        cluster.add(registered("t2")).work_ms = WORK_MS
        cluster.run(1_500)
        late = TargetReport(registered("t0", 9, address="t1.example:80"), 1, 1)
        cluster.leader.report(late, cluster.answers.append)
        cluster.run(8_000)
        self.assertIn(run_key(), target.running)
        self.assertEqual(target.started, [run_key()])
        self.assertNotIn("t0", cluster.leader.context.draft.targets)

    def test_target_whose_address_another_one_has_is_lost_at_once(self) -> None:
        """Guards: a crashed target's work that waits for its lease."""
        cluster = self.cluster("t1", "t2")
        cluster.targets["t1.example:80"].work_ms = WORK_MS
        cluster.targets["t2.example:80"].work_ms = WORK_MS
        cluster.submit(spec(step(2, max_per_target=1)))
        cluster.run(1_500)
        cluster.add(registered("t3", 9, address="t1.example:80"))
        cluster.run(1_100)
        self.assertNotIn("t1", cluster.leader.context.draft.targets)
        self.assertEqual(len(cluster.targets["t1.example:80"].started), 1)


if __name__ == "__main__":
    unittest.main()
