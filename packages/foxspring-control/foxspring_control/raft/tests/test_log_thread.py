"""What may not hold up, or be lost on, the thread of the log."""

import errno
import os
import shutil
import tempfile
import unittest
from collections.abc import Callable, Sequence
from concurrent.futures import Future
from pathlib import Path
from typing import Any

from foxspring_link import ManualClock

from foxspring_control._replication import LogEntry, ProposeOutcome
from foxspring_control.raft import ReplicatedLog
from foxspring_control.raft._events import Event, Propose, Received, Tick, Transfer
from foxspring_control.raft._frames import Frame, encode_frame
from foxspring_control.raft._messages import AppendEntries, AppendReply, VoteReply
from foxspring_control.raft._runtime import Runtime
from foxspring_control.raft._settings import RaftSettings
from foxspring_control.raft._state import RaftState, Role
from foxspring_control.raft._storage import Storage
from foxspring_control.raft.tests import builders

SNAPSHOT_EVERY = 5
CHUNK = b"x" * 100


class Background:
    """Work that runs only when a test says so, or at once."""

    def __init__(self) -> None:
        self.runs_at_once = False
        self.waiting: list[tuple[Callable[[], Any], Future[Any]]] = []

    def submit(self, work: Callable[[], Any]) -> "Future[Any]":
        """Keep ``work`` until :meth:`run_next`."""
        future: Future[Any] = Future()
        self.waiting.append((work, future))
        if self.runs_at_once:
            self.run_next()
        return future

    def run_next(self) -> None:
        """Run the work that was submitted first."""
        work, future = self.waiting.pop(0)
        try:
            future.set_result(work())
        except OSError as error:
            future.set_exception(error)


class LeadingRuntime:
    """The runtime of ``m1``, which leads ``m1`` to ``m3``, with followers played."""

    def __init__(
        self,
        folder: Path,
        machine: builders.CountingStateMachine | None = None,
        **changed_settings: Any,
    ) -> None:
        self.clock = ManualClock()
        self.background = Background()
        self.synced: list[str] = []
        self.outcomes: dict[int, ProposeOutcome] = {}
        self.sent: list[Any] = []
        group = builders.members(3)
        self.settings: RaftSettings = builders.settings(
            "m1", folder, group, SNAPSHOT_EVERY
        )._replace(**changed_settings)
        self.storage = Storage(folder, "m1", 1_000, 1_000, self.sync)
        self.state = RaftState(
            self.settings, self.storage.open(), self.clock.monotonic_ms()
        )
        self.runtime = Runtime(
            self.state,
            self.storage,
            machine or builders.CountingStateMachine(),
            lambda _address, message: self.sent.append(message),
            self.clock,
            lambda _change: None,
            self.background.submit,
        )
        self._become_leader()

    def sync(self, descriptor: int) -> None:
        """Record the name of the file."""
        self.synced.append(os.readlink(f"/proc/self/fd/{descriptor}"))

    def run(self, *events: Event) -> None:
        """Process ``events`` as one batch, as the thread of the log does."""
        self.runtime.run_batch([*events, Tick()], self.clock.monotonic_ms())

    def _become_leader(self) -> None:
        self.clock.advance(2 * self.settings.election_timeout_ms)
        self.run()
        for pre_vote in (True, False):
            votes = [VoteReply(1, m, pre_vote, True) for m in ("m2", "m3")]
            self.run(*(Received(vote.member_id, vote) for vote in votes))
        self.acknowledge()

    def acknowledge(self) -> None:
        """Let both followers acknowledge everything sent up to now."""
        self.run(*self.replies())

    def replies(self) -> list[Event]:
        """Return the answers of both followers to everything sent up to now."""
        last = self.state.log.last_index
        sent_ms = max(m.sent_ms for m in self.sent if isinstance(m, AppendEntries))
        replies = [AppendReply(1, m, True, last, sent_ms) for m in ("m2", "m3")]
        return [Received(reply.member_id, reply) for reply in replies]

    def propose(self, token: int) -> None:
        """Propose an entry, which both followers acknowledge."""
        self.runtime.pending_callbacks[token] = lambda outcome: (
            self.outcomes.__setitem__(token, outcome)
        )
        self.run(Propose(token, "Test", CHUNK, 0))
        self.acknowledge()

    def status_of(self, token: int) -> str:
        """Return the status of an answered request, empty if it waits."""
        outcome = self.outcomes.get(token)
        return outcome.status if outcome else ""


class LogThreadTest(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)
        self.leader = LeadingRuntime(self.folder)
        self.addCleanup(self.leader.storage.close)

    def write_state(self) -> None:
        """Propose until a snapshot is due, and write the state."""
        for token in range(1, SNAPSHOT_EVERY + 1):
            self.leader.propose(token)
        self.leader.background.run_next()

    # Issue 55: the leader was lost while its thread synced a snapshot of 2 MB.
    def test_a_snapshot_is_synced_and_recorded_off_the_log_thread(self) -> None:
        self.write_state()
        self.leader.synced.clear()
        self.leader.propose(90)
        self.leader.propose(91)
        self.assertEqual(["applied"] * 2, [self.leader.status_of(t) for t in (90, 91)])
        suffixes = {Path(name).suffix for name in self.leader.synced}
        self.assertEqual({".seg"}, suffixes)
        self.assertIsNone(self.leader.state.snapshot)
        self.leader.background.run_next()
        self.leader.run()
        self.assertIsNotNone(self.leader.state.snapshot)

    # Issue 55: each deleted segment was a sync of the folder on the log's thread.
    def test_old_files_are_deleted_off_the_log_thread(self) -> None:
        snapshots = self.leader.runtime.snapshots
        snapshots.not_before_ms = self.leader.clock.monotonic_ms() + 1
        for token in range(200, 230):
            self.leader.propose(token)
        before = len(list(self.folder.glob("*.seg")))
        self.leader.clock.advance(self.leader.settings.heartbeat_ms)
        for _step in ("write", "record"):
            self.leader.run()
            self.leader.background.run_next()
        self.leader.run()
        self.assertEqual(before, len(list(self.folder.glob("*.seg"))))
        self.leader.background.run_next()
        self.assertLess(len(list(self.folder.glob("*.seg"))), before)

    def test_a_failed_deletion_ends_the_member_as_any_failed_write(self) -> None:
        self.write_state()
        self.leader.run()
        self.leader.background.run_next()
        self.leader.run()
        _work, future = self.leader.background.waiting.pop(0)
        self.leader.runtime._compact(0)
        future.set_exception(OSError(errno.EIO, "Input/output error"))
        with self.assertRaises(OSError):
            self.leader.run()

    # Issue 55: what step answers when a snapshot is stored was lost.
    def test_effects_of_a_stored_snapshot_are_carried_out(self) -> None:
        leader = self.leader
        for token in range(1, SNAPSHOT_EVERY + 1):
            leader.propose(token)
        leader.runtime.pending_callbacks[50] = lambda outcome: (
            leader.outcomes.__setitem__(50, outcome)
        )
        leader.run(Transfer(50))
        self.assertEqual("", leader.status_of(50))
        leader.clock.advance(10 * leader.settings.election_timeout_ms)
        leader.background.runs_at_once = True
        leader.background.run_next()
        leader.run()
        self.assertIsNotNone(leader.state.snapshot)
        self.assertNotEqual("", leader.status_of(50))

    def test_commits_go_on_after_a_snapshot_that_found_the_disk_full(self) -> None:
        leader = self.leader
        for token in range(1, SNAPSHOT_EVERY + 1):
            leader.propose(token)
        leader.propose(60)
        self.assertEqual("", leader.status_of(60))
        _work, future = leader.background.waiting.pop(0)
        future.set_exception(OSError(errno.ENOSPC, "No space left on device"))
        leader.run()
        self.assertEqual("applied", leader.status_of(60))


class BatchTest(unittest.TestCase):
    BODY = b"x" * 700_000

    def setUp(self) -> None:
        folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder)
        self.leader = LeadingRuntime(folder / "leader")
        self.addCleanup(self.leader.storage.close)
        self.log = ReplicatedLog(
            self.leader.settings,
            builders.CountingStateMachine(),
            lambda _address, _message: None,
            self.leader.clock,
            lambda _change: None,
        )

    def batch(self) -> list[Event]:
        """Return the next batch without its last event, which is a ``Tick``."""
        events = self.log._next_batch(self.leader.runtime)
        assert events is not None
        return events[:-1]

    def bodies(self, events: list[Event]) -> list[bytes]:
        """Return the first bytes of the proposals."""
        return [e.body[:1] for e in events if isinstance(e, Propose)]

    # Issue 55: answers of followers waited behind large entries of later batches.
    def test_large_proposals_are_split_and_messages_are_not_held_up(self) -> None:
        def note(_outcome: ProposeOutcome) -> None:
            pass

        for number in range(5):
            self.log.propose("Test", b"%d" % number + self.BODY, note)
        for reply in self.leader.replies():
            self.log._inbox.put(reply)
        self.log.propose("Test", b"5" + self.BODY, note)
        first = self.batch()
        self.assertEqual([b"0", b"1"], self.bodies(first))
        self.assertEqual(2, sum(isinstance(e, Received) for e in first))
        self.log.propose("Test", b"6", note)
        self.assertEqual([b"2", b"3"], self.bodies(self.batch()))
        self.assertEqual([b"4", b"5"], self.bodies(self.batch()))
        self.assertEqual([b"6"], self.bodies(self.batch()))


class LatestStateMachine(builders.CountingStateMachine):
    """Holds a state of ``size`` bytes, however many entries were applied."""

    def __init__(self, size: int) -> None:
        super().__init__()
        self.size = size
        self.written_bytes = 0

    def apply(self, entries: Sequence[LogEntry]) -> list[bytes]:
        """Keep nothing but the index."""
        results = super().apply(entries)
        self.bodies = [b"s" * self.size]
        return results

    def write_snapshot(self, path: Path) -> int:
        """Write the state and count its bytes."""
        self.written_bytes += self.size
        return super().write_snapshot(path)


class LogSizeTest(unittest.TestCase):
    """Entries of 100 bytes in segments of 1,000, a snapshot for each 2,000."""

    MIN_BYTES = 2_000

    def run_group(self, state_bytes: int, entries: int) -> LatestStateMachine:
        """Propose ``entries`` and record the largest size of the folder."""
        folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder)
        machine = LatestStateMachine(state_bytes)
        leader = LeadingRuntime(
            folder,
            machine,
            snapshot_every_entries=5_000,
            retained_entries=1_000,
            snapshot_min_bytes=self.MIN_BYTES,
            retained_bytes=self.MIN_BYTES,
        )
        self.addCleanup(leader.storage.close)
        leader.background.runs_at_once = True
        self.largest = 0
        for token in range(entries):
            leader.propose(token)
            size = sum(path.stat().st_size for path in folder.iterdir())
            self.largest = max(self.largest, size)
        self.assertEqual("applied", leader.status_of(entries - 1))
        entry = LogEntry(300, 1, "Test", CHUNK, 0)
        frame = Frame(300, 1, "m1", 299, entries=(entry,))
        self.appended = entries * len(encode_frame(frame))
        self.leader = leader
        return machine

    # Issue 55, review/1: large configurations filled the disks of all members.
    def test_a_log_of_large_entries_is_bounded_by_its_bytes(self) -> None:
        self.run_group(state_bytes=100, entries=500)
        self.assertGreater(self.appended, 30 * self.MIN_BYTES)
        self.assertLess(self.largest, 4 * self.MIN_BYTES)
        log = self.leader.state.log
        self.assertLess(log.last_index - log.base_index, 60)

    def test_a_large_state_is_not_written_more_often_than_the_log(self) -> None:
        machine = self.run_group(state_bytes=20_000, entries=500)
        # The first one is due before the size of the state is known.
        self.assertLessEqual(machine.written_bytes, self.appended + machine.size)
        self.assertGreater(machine.written_bytes, 0)
        self.assertLess(self.largest, 4 * machine.size)

    def test_the_retained_log_still_serves_after_a_restart(self) -> None:
        self.run_group(state_bytes=100, entries=200)
        last = self.leader.state.log.last_index
        first = self.leader.state.log.base_index + 1
        self.leader.storage.close()
        storage = Storage(self.leader.settings.data_folder, "m1", 1_000, 1_000)
        self.addCleanup(storage.close)
        stored = storage.open()
        self.assertEqual(last, stored.log.last_index)
        found = storage.log.read(first, last, 1 << 20)
        self.assertEqual(list(range(first, last + 1)), [e.log_index for e in found])


class StalledLeaderTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder)
        self.leader = LeadingRuntime(folder)
        self.addCleanup(self.leader.storage.close)

    # Issue 55: a leader that was stalled gave up although all followers followed it.
    def test_a_leader_keeps_leading_after_a_stall_of_its_own_thread(self) -> None:
        leader = self.leader
        stall_ms = leader.settings.election_timeout_ms + 100
        for _ in range(3):
            replies = leader.replies()
            leader.clock.advance(stall_ms)
            leader.run(*replies)
            self.assertEqual(Role.LEADER, leader.state.role)
            leader.acknowledge()

    def test_a_stalled_leader_without_followers_steps_down_in_time(self) -> None:
        leader = self.leader
        leader.clock.advance(leader.settings.election_timeout_ms + 100)
        leader.run()
        for _ in range(leader.settings.election_timeout_ms // 100):
            leader.clock.advance(100)
            leader.run()
        self.assertEqual(Role.FOLLOWER, leader.state.role)

    def test_a_stall_lengthens_no_lease(self) -> None:
        leader = self.leader
        leader.clock.advance(leader.settings.election_timeout_ms + 100)
        leader.run()
        self.assertFalse(leader.state.lease_valid(leader.clock.monotonic_ms()))

    def test_a_leader_suspended_for_long_steps_down(self) -> None:
        leader = self.leader
        leader.clock.advance(3 * leader.settings.election_timeout_ms)
        leader.run()
        self.assertEqual(Role.FOLLOWER, leader.state.role)


if __name__ == "__main__":
    unittest.main()
