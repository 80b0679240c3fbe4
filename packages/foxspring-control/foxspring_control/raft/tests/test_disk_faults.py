"""Members whose disk is slow, hangs or refuses writes, over real links."""

import errno
import os
import threading
import time
import unittest
from collections.abc import Callable
from unittest import mock

from foxspring_control._replication import ProposeOutcome
from foxspring_control.raft._bench_cluster import (
    DEADLINE_S,
    LinkCluster,
    LinkMember,
    wait_until,
)

# An election timeout of the default settings and time to count votes.
TAKEOVER_S = 4.0
SLOW_SYNC_S = 0.1
FOLLOWER_COMMIT_S = 1.0


class HangingDisk:
    """Syncs that wait until the disk is released, for one member."""

    def __init__(self, member: LinkMember) -> None:
        self.released = threading.Event()
        self.hangs = threading.Event()
        set_sync(member, self.sync)

    def sync(self, descriptor: int) -> None:
        """Wait for the release, then sync."""
        self.hangs.set()
        self.released.wait(DEADLINE_S)
        os.fdatasync(descriptor)


def set_sync(member: LinkMember, sync: Callable[[int], None]) -> None:
    """Replace the function by which a member's log syncs."""
    assert member.log is not None
    member.log._storage.log._sync = sync


class DiskFaultTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cluster = LinkCluster(3)
        self.addCleanup(self.cluster.stop)
        self.leader = self.cluster.leader()
        self.assertEqual(self.leader.propose(b"before").status, "applied")

    def others(self, member: LinkMember) -> list[LinkMember]:
        return [m for m in self.cluster.members if m is not member]

    def await_equal(self) -> None:
        first, *others = self.cluster.members
        wait_until(
            lambda: all(
                m.state_machine.bodies == first.state_machine.bodies for m in others
            ),
            "all members have applied the same",
        )

    def test_leader_whose_disk_hangs_is_replaced_and_comes_back(self) -> None:
        leader = self.leader
        assert leader.log is not None
        disk = HangingDisk(leader)
        self.addCleanup(disk.released.set)
        outcomes: list[ProposeOutcome] = []
        leader.log.propose("Test", b"while it hangs", outcomes.append)
        self.assertTrue(disk.hangs.wait(DEADLINE_S))
        began_s = time.monotonic()
        others = self.others(leader)
        wait_until(lambda: any(m.leads() for m in others), "another leader")
        self.assertFalse(leader.log.lease_valid())
        new_leader = next(m for m in others if m.leads())
        self.assertEqual(new_leader.propose(b"after").status, "applied")
        self.assertLess(time.monotonic() - began_s, TAKEOVER_S)
        self.assertEqual(outcomes, [])
        disk.released.set()
        wait_until(lambda: not leader.leads(), "the former leader steps down")
        wait_until(lambda: bool(outcomes), "its proposal is answered")
        self.await_equal()
        stored = b"while it hangs" in leader.state_machine.bodies
        if outcomes[0].status == "applied":
            self.assertTrue(stored)
        self.assertEqual(leader.fatal_errors, [])

    def test_follower_whose_disk_hangs_does_not_hold_up_the_group(self) -> None:
        follower = self.others(self.leader)[0]
        disk = HangingDisk(follower)
        self.addCleanup(disk.released.set)
        for number in range(5):
            began_s = time.monotonic()
            outcome = self.leader.propose(b"%d" % number)
            self.assertEqual(outcome.status, "applied")
            self.assertLess(time.monotonic() - began_s, FOLLOWER_COMMIT_S)
        self.assertTrue(disk.hangs.is_set())
        disk.released.set()
        self.await_equal()
        self.assertTrue(self.leader.leads())

    def test_slow_disk_keeps_the_leader(self) -> None:
        def sync(descriptor: int) -> None:
            time.sleep(SLOW_SYNC_S)
            os.fdatasync(descriptor)

        changes = len(self.leader.leadership_changes)
        for member in self.cluster.members:
            set_sync(member, sync)
        for number in range(10):
            self.assertEqual(self.leader.propose(b"%d" % number).status, "applied")
        self.assertEqual(len(self.leader.leadership_changes), changes)

    def test_refused_write_is_not_acknowledged_and_ends_the_member(self) -> None:
        leader = self.leader
        assert leader.log is not None
        refused = OSError(errno.EIO, "Input/output error")
        log = leader.log._storage.log
        with mock.patch.object(log, "_write_partial", side_effect=refused):
            outcome = leader.propose(b"refused")
            self.assertNotEqual(outcome.status, "applied")
            wait_until(lambda: bool(leader.fatal_errors), "the member ends")
        self.assertIn("Input/output error", leader.fatal_errors[0])
        self.cluster.kill(leader)
        wait_until(lambda: any(m.leads() for m in self.cluster.members), "a leader")
        new_leader = next(m for m in self.cluster.members if m.leads())
        self.assertEqual(new_leader.propose(b"after").status, "applied")
        self.await_equal()


if __name__ == "__main__":
    unittest.main()
