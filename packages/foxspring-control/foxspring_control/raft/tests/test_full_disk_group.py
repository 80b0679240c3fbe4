"""A group whose disks are full: it votes, leads, refuses, and serves again."""

import errno
import os
import shutil
import tempfile
import unittest
from collections import deque
from pathlib import Path
from typing import Any

from foxspring_link import ManualClock

from foxspring_control._replication import LogEntry, ProposeOutcome
from foxspring_control.raft._events import Event, Propose, Received, Tick
from foxspring_control.raft._full_disk import DISK_FULL_REASON, QUORUM_FULL_REASON
from foxspring_control.raft._runtime import Runtime
from foxspring_control.raft._state import RaftState, Role
from foxspring_control.raft._storage import Storage
from foxspring_control.raft.tests import builders

RESERVE_BYTES = 4_000
ROOMY_BYTES = 1_000_000
SEGMENT_BYTES = 100_000
BODY = b"x" * 500
STEP_MS = 50


def disk_full_error() -> OSError:
    return OSError(errno.ENOSPC, "No space left on device")


class SmallDisk:
    """A disk with room for ``capacity`` bytes in the files of a folder."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.capacity = ROOMY_BYTES

    def used(self) -> int:
        return sum(path.stat().st_size for path in self.folder.iterdir())

    def write(self, descriptor: int, data: memoryview) -> int:
        room = self.capacity - self.used()
        if room <= 0:
            raise disk_full_error()
        return os.write(descriptor, data[:room])

    def allocate(self, descriptor: int, size: int) -> None:
        added = size - os.fstat(descriptor).st_size
        if self.used() + added > self.capacity:
            raise disk_full_error()
        os.ftruncate(descriptor, size)

    def fill(self) -> None:
        """Let something else take all that is free."""
        self.capacity = self.used()


class GroupMember:
    """A member on a small disk; its messages go to ``outbox``."""

    def __init__(
        self,
        member_id: str,
        folder: Path,
        clock: ManualClock,
        outbox: deque[Any],
        count: int,
        seed: int,
    ) -> None:
        self.member_id = member_id
        folder.mkdir()
        self.clock = clock
        self.disk = SmallDisk(folder)
        self.storage = Storage(
            folder,
            member_id,
            SEGMENT_BYTES,
            SEGMENT_BYTES,
            lambda _descriptor: None,
            self.disk.write,
            RESERVE_BYTES,
            self.disk.allocate,
        )
        # A write that would wait for space for ever fails the test instead.
        self.storage.retrier.stop_retrying()
        settings = builders.settings(
            member_id, folder, builders.members(count), seed=seed
        )
        self.state = RaftState(settings, self.storage.open(), clock.monotonic_ms())
        self.machine = builders.CountingStateMachine()
        self.outcomes: list[ProposeOutcome] = []
        self.runtime = Runtime(
            self.state,
            self.storage,
            self.machine,
            lambda to, message: outbox.append((member_id, to, message)),
            clock,
            lambda _change: None,
        )

    def run(self, *events: Event) -> None:
        self.runtime.run_batch([*events, Tick()], self.clock.monotonic_ms())

    def propose(self, body: bytes) -> None:
        token = len(self.runtime.pending_callbacks) + len(self.outcomes) + 1
        self.runtime.pending_callbacks[token] = self.outcomes.append
        self.run(Propose(token, "Test", body, 0))


class FullDiskGroupTest(unittest.TestCase):
    def setUp(self) -> None:
        self.start()

    def start(self, count: int = 3, seed: int = 0) -> None:
        folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder)
        self.clock = ManualClock()
        self.outbox: deque[tuple[str, str, Any]] = deque()
        self.stopped: set[str] = set()
        self.members = {
            m.member_id: GroupMember(
                m.member_id, folder / m.member_id, self.clock, self.outbox, count, seed
            )
            for m in builders.members(count)
        }
        for member in self.members.values():
            self.addCleanup(member.storage.close)
        self.leader = self.await_leader()

    def deliver(self) -> None:
        while self.outbox:
            sender, to, message = self.outbox.popleft()
            if to not in self.stopped and sender not in self.stopped:
                self.members[to].run(Received(sender, message))

    def pass_time(self, duration_ms: int) -> None:
        for _ in range(duration_ms // STEP_MS):
            self.clock.advance(STEP_MS)
            for member in self.running():
                member.run()
            self.deliver()

    def running(self) -> list[GroupMember]:
        return [m for m in self.members.values() if m.member_id not in self.stopped]

    def await_leader(self) -> GroupMember:
        for _ in range(200):
            self.pass_time(STEP_MS)
            for member in self.running():
                if member.state.leadership_announced:
                    return member
        raise AssertionError("no leader within 10 s")

    def propose(self, body: bytes = BODY) -> ProposeOutcome | None:
        before = len(self.leader.outcomes)
        self.leader.propose(body)
        self.deliver()
        outcomes = self.leader.outcomes[before:]
        return outcomes[0] if outcomes else None

    def fill_disks(self) -> None:
        """Fill all disks, and propose until the reserves are given up."""
        for member in self.members.values():
            member.disk.fill()
        for _ in range(4):
            self.propose()
            self.pass_time(2 * STEP_MS)
        missing = [m.storage.reserve.is_missing() for m in self.members.values()]
        self.assertEqual([True] * 3, missing)

    # Issue 55, review/1: with full disks no vote could be stored, and nobody led.
    def test_a_group_with_full_disks_elects_a_leader(self) -> None:
        self.fill_disks()
        self.stopped.add(self.leader.member_id)
        new_leader = self.await_leader()
        self.assertIsNot(self.leader, new_leader)
        self.pass_time(3_000)
        self.assertEqual(Role.LEADER, new_leader.state.role)
        self.assertTrue(new_leader.state.lease_valid(self.clock.monotonic_ms()))

    def test_a_leader_with_a_full_disk_refuses_at_once_and_appends_nothing(
        self,
    ) -> None:
        self.fill_disks()
        self.pass_time(100)
        self.leader = self.await_leader()
        last_index = self.leader.state.log.last_index
        outcome = self.propose(b"refused")
        assert outcome is not None
        expected = ("not_leader", self.leader.member_id, DISK_FULL_REASON.encode())
        self.assertEqual(expected, outcome)
        self.assertEqual(last_index, self.leader.state.log.last_index)
        self.pass_time(1_000)
        for member in self.members.values():
            self.assertNotIn(b"refused", member.machine.bodies)

    def test_a_group_serves_again_by_itself_once_there_is_room(self) -> None:
        self.fill_disks()
        self.stopped.add(self.leader.member_id)
        self.leader = self.await_leader()
        self.stopped.clear()
        for member in self.members.values():
            member.disk.capacity = ROOMY_BYTES
        self.pass_time(2_000)
        outcome = self.propose(b"after")
        assert outcome is not None
        self.assertEqual("applied", outcome.status)
        self.pass_time(1_000)
        bodies = self.leader.machine.bodies
        self.assertIn(b"after", bodies)
        for member in self.members.values():
            self.assertEqual(bodies, member.machine.bodies)
            self.assertTrue(member.storage.reserve.held)

    def test_a_leader_with_the_only_full_disk_leaves_the_lead_to_another(self) -> None:
        full = self.leader
        full.disk.fill()
        for _ in range(4):
            self.propose()
            self.pass_time(2 * STEP_MS)
        self.assertTrue(full.storage.reserve.is_missing())
        self.leader = self.await_leader()
        self.assertIsNot(full, self.leader)
        outcome = self.propose(b"after")
        assert outcome is not None
        self.assertEqual("applied", outcome.status)

    def test_a_member_with_room_leads_before_one_without(self) -> None:
        for seed in range(10):
            with self.subTest(seed=seed):
                self.start(5, seed)
                others = [m for m in self.members.values() if m is not self.leader]
                for member in (self.leader, others[seed % 4]):
                    member.disk.fill()
                for _ in range(4):
                    self.propose()
                    self.pass_time(2 * STEP_MS)
                self.pass_time(2_000)
                self.leader = self.await_leader()
                self.assertTrue(self.leader.storage.reserve.held)
                outcome = self.propose(b"after")
                assert outcome is not None
                self.assertEqual("applied", outcome.status)

    # Issue 55: proposals hung at a leader whose followers had no space.
    def test_a_leader_without_a_quorum_with_room_refuses_and_serves_again(self) -> None:
        followers = [m for m in self.members.values() if m is not self.leader]
        for follower in followers:
            follower.disk.fill()
        hanging = 0
        for _ in range(100):
            hanging += self.propose() is None
            self.pass_time(STEP_MS)
        outcome = self.propose(b"refused")
        assert outcome is not None
        self.assertEqual(("not_leader", QUORUM_FULL_REASON.encode()), outcome[::2])
        self.assertEqual(Role.LEADER, self.leader.state.role)
        self.assertGreater(hanging, 0)
        for follower in followers:
            follower.disk.capacity = ROOMY_BYTES
        self.pass_time(2_000)
        outcome = self.propose(b"after")
        assert outcome is not None
        self.assertEqual("applied", outcome.status)
        applied = sum(o.status == "applied" for o in self.leader.outcomes)
        self.assertGreater(applied, hanging)
        self.assertNotIn(b"refused", self.leader.machine.bodies)

    # Issue 55, review/1: a member without space answered neither votes nor heartbeats.
    def test_a_follower_with_a_full_disk_keeps_following_and_catches_up(self) -> None:
        follower = next(m for m in self.members.values() if m is not self.leader)
        follower.disk.fill()
        for number in range(40):
            outcome = self.propose(b"%d" % number + BODY)
            assert outcome is not None
            self.assertEqual("applied", outcome.status)
            self.pass_time(STEP_MS)
        self.assertTrue(follower.storage.reserve.is_missing())
        self.assertEqual(self.leader.member_id, follower.state.leader_id)
        progress = self.leader.state.progress[follower.member_id]
        unheard_ms = self.clock.monotonic_ms() - progress.acked_sent_ms
        self.assertLess(unheard_ms, self.leader.state.settings.election_timeout_ms)
        follower.disk.capacity = ROOMY_BYTES
        self.pass_time(2_000)
        self.assertEqual(self.leader.machine.bodies, follower.machine.bodies)


class DiskReserveTest(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)
        self.disk = SmallDisk(self.folder)

    def open(self) -> Storage:
        storage = Storage(
            self.folder,
            "m1",
            SEGMENT_BYTES,
            SEGMENT_BYTES,
            lambda _descriptor: None,
            self.disk.write,
            RESERVE_BYTES,
            self.disk.allocate,
        )
        self.addCleanup(storage.close)
        storage.open()
        storage.retrier.stop_retrying()
        return storage

    def test_many_votes_are_stored_on_a_full_disk_and_read_back(self) -> None:
        storage = self.open()
        entry = LogEntry(1, 1, "Test", BODY, 0)
        storage.save(1, "m1", 0, [entry])
        self.disk.fill()
        for term in range(2, 40):
            storage.save(term, "m2", 0, [])
        self.assertTrue(storage.reserve.is_missing())
        storage.close()
        stored = self.open_again()
        self.assertEqual((39, "m2"), (stored.term, stored.voted_for))

    def test_the_reserve_of_an_earlier_process_is_given_up_as_well(self) -> None:
        self.open().close()
        self.disk.fill()
        storage = self.open()
        storage.save(2, "m2", 0, [])
        self.assertFalse(storage.reserve.path.exists())

    def open_again(self) -> Any:
        storage = Storage(self.folder, "m1", SEGMENT_BYTES, SEGMENT_BYTES)
        self.addCleanup(storage.close)
        return storage.open()

    def test_a_reserve_without_room_leaves_no_part_and_is_made_later(self) -> None:
        self.disk.capacity = RESERVE_BYTES // 2
        storage = self.open()
        self.assertTrue(storage.reserve.is_missing())
        self.assertFalse(storage.reserve.path.exists())
        self.disk.capacity = ROOMY_BYTES
        storage.reserve.make()
        self.assertFalse(storage.reserve.is_missing())
        self.assertEqual(RESERVE_BYTES, storage.reserve.path.stat().st_size)


if __name__ == "__main__":
    unittest.main()
