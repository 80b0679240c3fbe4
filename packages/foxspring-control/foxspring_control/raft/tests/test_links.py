"""Three members over real links: election, commit and failover."""

import unittest

from foxspring_control.raft._bench_cluster import LinkCluster, wait_until


class LinkClusterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cluster = LinkCluster(3)
        self.addCleanup(self.cluster.stop)

    def test_every_member_applies_what_the_leader_committed(self) -> None:
        leader = self.cluster.leader()
        bodies = [f"change {n}".encode() for n in range(20)]
        for body in bodies:
            self.assertEqual("applied", leader.propose(body).status)
        for member in self.cluster.members:
            wait_until(
                lambda member=member: member.machine.bodies == bodies,  # type: ignore[misc]
                f"{member.member_id} applies everything",
            )

    def test_the_next_leader_keeps_what_was_committed(self) -> None:
        first = self.cluster.leader()
        first.propose(b"before")
        self.cluster.kill(first)
        second = self.cluster.leader()
        self.assertEqual("applied", second.propose(b"after").status)
        self.assertEqual([b"before", b"after"], second.machine.bodies)

    def test_a_follower_refuses_a_proposal_as_never_appended(self) -> None:
        leader = self.cluster.leader()
        follower = next(m for m in self.cluster.members if m is not leader)
        outcome = follower.propose(b"to a follower")
        self.assertEqual(("not_leader", leader.member_id), outcome[:2])
