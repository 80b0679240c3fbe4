"""A draining target gets no start, and what runs there is left alone."""

import unittest

from foxspring_jobs._operations import TargetReport
from foxspring_jobs._state import JobPhase
from foxspring_jobs.tests.builders import registered, spec, step
from foxspring_jobs.tests.fake_cluster import FakeCluster
from foxspring_jobs.tests.fake_target import FakeTarget
from foxspring_jobs.tests.test_leader import LeaderCase


class UnansweredStartTest(LeaderCase):
    def test_unanswered_start_is_not_sent_again_to_a_draining_target(self) -> None:
        cluster = self.cluster("t1")
        target = cluster.targets["t1.example:80"]
        target.receives = False
        cluster.submit(spec(step(1)))
        cluster.run(700)
        self.begin_draining(cluster, target)
        target.receives = True
        cluster.run(3_000)
        self.assertEqual(target.started, [])
        cluster.add(registered("t2"))
        cluster.run(4_000)
        self.assertEqual(cluster.phase(), JobPhase.COMPLETED)

    def test_start_on_a_draining_target_that_ran_is_not_stopped(self) -> None:
        cluster = self.cluster("t1")
        target = cluster.targets["t1.example:80"]
        target.work_ms = 2_000
        target.replies = False
        cluster.submit(spec(step(1)))
        cluster.run(300)
        self.begin_draining(cluster, target)
        target.replies = True
        cluster.run(4_000)
        self.assertEqual(len(target.started), 1)
        self.assertEqual(cluster.phase(), JobPhase.COMPLETED)

    def test_new_leader_sends_no_start_to_a_draining_target(self) -> None:
        cluster = self.cluster("t1")
        target = cluster.targets["t1.example:80"]
        target.receives = False
        cluster.submit(spec(step(1)))
        cluster.run(700)
        self.begin_draining(cluster, target)
        cluster.run(100)
        cluster.change_leader()
        target.receives = True
        cluster.run(3_000)
        self.assertEqual(target.started, [])

    def begin_draining(self, cluster: FakeCluster, target: FakeTarget) -> None:
        """Report a target as draining, also if it does not receive calls."""
        target.registered = target.registered._replace(draining=True)
        report = TargetReport(target.registered, cluster.clock.now_ms, target.now())
        cluster.leader.report(report, cluster.answers.append)


if __name__ == "__main__":
    unittest.main()
