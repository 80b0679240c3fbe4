"""Members over real links and real syncs: their threads, callers and ends."""

import errno
import tempfile
import threading
import unittest
from collections.abc import Callable
from pathlib import Path
from unittest import mock

from foxspring_link import SystemClock

from foxspring_control._replication import ProposeOutcome
from foxspring_control.raft import ReplicatedLog, exit_process
from foxspring_control.raft._bench_cluster import (
    DEADLINE_S,
    LinkCluster,
    LinkMember,
    RecordingMachine,
    wait_until,
)
from foxspring_control.raft.tests import builders


def outcome_of(ask: Callable[[Callable[[ProposeOutcome], None]], None]) -> str:
    """Return the status that ``ask`` calls back with."""
    done = threading.Event()
    outcomes: list[ProposeOutcome] = []

    def on_done(outcome: ProposeOutcome) -> None:
        outcomes.append(outcome)
        done.set()

    ask(on_done)
    assert done.wait(DEADLINE_S), "never answered"
    return outcomes[0].status


class LinkClusterTest(unittest.TestCase):
    def start(self, count: int = 3, snapshot_every: int = 5_000) -> LinkCluster:
        cluster = LinkCluster(count, snapshot_every)
        self.addCleanup(cluster.stop)
        return cluster

    def test_every_member_applies_what_the_leader_committed(self) -> None:
        cluster = self.start()
        leader = cluster.leader()
        bodies = [f"change {n}".encode() for n in range(20)]
        for body in bodies:
            self.assertEqual("applied", leader.propose(body).status)
        for member in cluster.members:
            self.await_bodies(member, bodies)

    def await_bodies(self, member: LinkMember, bodies: list[bytes]) -> None:
        wait_until(
            lambda: member.machine.bodies == bodies,
            f"{member.member_id} applies everything",
        )

    def test_the_next_leader_keeps_what_was_committed(self) -> None:
        cluster = self.start()
        first = cluster.leader()
        first.propose(b"before")
        cluster.kill(first)
        second = cluster.leader()
        self.assertEqual("applied", second.propose(b"after").status)
        self.assertEqual([b"before", b"after"], second.machine.bodies)

    def test_a_follower_refuses_as_never_appended(self) -> None:
        cluster = self.start()
        leader = cluster.leader()
        follower = next(m for m in cluster.members if m is not leader)
        outcome = follower.propose(b"to a follower")
        self.assertEqual(("not_leader", leader.member_id), outcome[:2])
        assert follower.log is not None
        self.assertEqual("not_leader", outcome_of(follower.log.read_barrier))

    def test_a_planned_stop_hands_over(self) -> None:
        cluster = self.start()
        leader = cluster.leader()
        assert leader.log is not None
        self.assertEqual("applied", outcome_of(leader.log.transfer_leadership))
        wait_until(lambda: cluster.leader() is not leader, "another leads")

    def test_a_new_member_catches_up_by_a_snapshot_in_chunks(self) -> None:
        cluster = self.start(snapshot_every=50)
        leader = cluster.leader()
        bodies = [b"%d" % n * 20_000 for n in range(1, 61)]
        for body in bodies:
            self.assertEqual("applied", leader.propose(body).status)
        fresh = cluster.add("m4")
        assert leader.log is not None
        log = leader.log
        status = outcome_of(lambda done: log.add_member(fresh.member, done))
        self.assertEqual("applied", status)
        self.await_bodies(fresh, bodies)
        wait_until(lambda: self.votes(log, "m4"), "the new member votes")

    def votes(self, log: ReplicatedLog, member_id: str) -> bool:
        members = {m.member.member_id: m.member for m in log.status().members}
        return member_id in members and members[member_id].voter

    def test_a_leader_leads_on_while_a_long_snapshot_is_written(self) -> None:
        release = threading.Event()
        writing = threading.Event()

        def write(machine: RecordingMachine, path: Path) -> int:
            writing.set()
            release.wait(DEADLINE_S)
            path.write_bytes(b"state")
            return machine.index

        with mock.patch.object(RecordingMachine, "write_snapshot", write):
            cluster = self.start(snapshot_every=10)
            leader = cluster.leader()
            assert leader.log is not None
            for _ in range(9):
                leader.propose(b"change")
            self.assertTrue(writing.wait(DEADLINE_S))
            term = leader.log.status().term
            outcomes: list[ProposeOutcome] = []
            leader.log.propose("Test", b"meanwhile", outcomes.append)
            leader.log.read_barrier(outcomes.append)
            heard = leader.received
            wait_until(lambda: leader.received > heard + 10, "heartbeats go on")
            self.assertEqual([], outcomes)
            release.set()
            wait_until(lambda: len(outcomes) == 2, "both are answered")
            self.assertEqual(["applied"] * 2, [o.status for o in outcomes])
            self.assertEqual(term, leader.log.status().term)


class EndTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.fatal: list[str] = []
        self.refuse = False

    def start(self, max_pending: int = 100) -> ReplicatedLog:
        values = builders.settings("m1", self.folder, builders.members(1))
        log = ReplicatedLog(
            values._replace(max_pending=max_pending),
            RecordingMachine(),
            lambda address, message: None,
            SystemClock(),
            lambda change: None,
            self.fatal.append,
            self.sync,
        )
        self.addCleanup(log.close)
        log.start()
        return log

    def sync(self, descriptor: int) -> None:
        if self.refuse:
            raise OSError(errno.ENOSPC, "No space left on device")

    def test_a_disk_that_refuses_a_sync_ends_the_process(self) -> None:
        log = self.start()
        wait_until(lambda: log.status().lease_valid, "it leads")
        self.refuse = True
        status = outcome_of(lambda done: log.propose("Test", b"", done))
        self.assertEqual("unknown", status)
        self.assertIn("No space left", self.fatal[0])
        status = outcome_of(lambda done: log.propose("Test", b"", done))
        self.assertEqual("not_leader", status)

    def test_the_process_ends_with_a_line_that_says_why(self) -> None:
        with (
            mock.patch("os._exit") as end,
            self.assertLogs("foxspring_control.raft", "CRITICAL") as logs,
        ):
            exit_process("No space left on device")
        end.assert_called_once()
        self.assertIn("reason='No space left on device'", logs.output[0])

    def test_too_many_waiting_callers_are_refused_at_once(self) -> None:
        log = self.start(max_pending=0)
        outcomes: list[ProposeOutcome] = []
        log.propose("Test", b"", outcomes.append)
        self.assertEqual(["not_leader"], [o.status for o in outcomes])
