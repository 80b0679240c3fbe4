"""Temporarily full disk: writes wait, and nothing is torn or lost."""

import errno
import os
import shutil
import tempfile
import threading
import unittest
from collections.abc import Callable
from concurrent.futures import Future
from pathlib import Path

from foxspring_link import ManualClock

from foxspring_control._replication import LogEntry
from foxspring_control.raft import ReplicatedLog
from foxspring_control.raft._bench_cluster import DEADLINE_S, wait_until
from foxspring_control.raft._compaction import SNAPSHOT_RETRY_MS, SnapshotWriter
from foxspring_control.raft._disk_space import FullDiskRetrier
from foxspring_control.raft._messages import Membership
from foxspring_control.raft._storage import Storage
from foxspring_control.raft.tests.builders import (
    CountingStateMachine,
    members,
    settings,
)

SEGMENT_BYTES = 500
TAIL_BYTES = 300
PARTIAL_WRITE_BYTES = 7


def disk_full_error() -> OSError:
    return OSError(errno.ENOSPC, "No space left on device")


class FillingDisk:
    """Writes a few bytes, then fails as full, ``failures`` times in turn."""

    def __init__(self, failures: int) -> None:
        self.failures = failures
        self.write_count = 0

    def write(self, descriptor: int, data: memoryview) -> int:
        if self.failures == 0:
            return os.write(descriptor, data)
        self.write_count += 1
        if self.write_count % 2:
            return os.write(descriptor, data[:PARTIAL_WRITE_BYTES])
        self.failures -= 1
        raise disk_full_error()


class FullDiskLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)

    def open(self, disk: FillingDisk) -> Storage:
        storage = Storage(
            self.folder, "m1", SEGMENT_BYTES, TAIL_BYTES, write=disk.write
        )
        storage.retrier.retry_interval_s = 0.001
        self.addCleanup(storage.close)
        storage.open()
        return storage

    def test_a_frame_waits_for_space_and_leaves_no_torn_part(self) -> None:
        disk = FillingDisk(failures=0)
        storage = self.open(disk)
        entries = [LogEntry(n, 1, "Test", b"body", 0) for n in (1, 2, 3)]
        storage.save(1, "m1", 0, entries[:1])
        disk.failures = 3
        storage.save(1, "m1", 1, entries[1:2])
        storage.save(1, "m1", 2, entries[2:])
        self.assertEqual(0, disk.failures)
        storage.close()
        reopened = self.open(FillingDisk(failures=0))
        self.assertEqual(entries, reopened.log.read(1, 9, 1 << 20))
        self.assertEqual(0, reopened.log.torn_bytes)

    def test_stop_retrying_ends_the_wait(self) -> None:
        disk = FillingDisk(failures=0)
        storage = self.open(disk)
        disk.failures = 1_000_000
        storage.retrier.stop_retrying()
        with self.assertRaises(OSError):
            storage.save(1, "m1", 0, [LogEntry(1, 1, "Test", b"body", 0)])

    def test_other_errors_are_not_waited_for(self) -> None:
        def fail() -> None:
            raise OSError(errno.EIO, "Input/output error")

        with self.assertRaises(OSError):
            FullDiskRetrier().run(fail, "frame")


class StalledThreadTest(unittest.TestCase):
    # Issue 55: nothing told a member whose log's thread waits from one without peers.
    def test_a_thread_that_waits_for_space_or_a_sync_says_so(self) -> None:
        folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder)
        released = threading.Event()
        writing = threading.Event()
        clock = ManualClock()

        def sync(_descriptor: int) -> None:
            if writing.is_set():
                released.wait(DEADLINE_S)

        log = ReplicatedLog(
            settings("m1", folder, members(1)),
            CountingStateMachine(),
            lambda _address, _message: None,
            clock,
            lambda _change: None,
            lambda _reason: None,
            sync,
        )
        self.addCleanup(log.close)
        self.addCleanup(released.set)
        self.assertEqual(("", 0), (log.waiting_for(), log.stalled_ms()))
        log.start()
        writing.set()
        clock.advance(2_000)
        wait_until(lambda: log.waiting_for() == "write", "it waits for a sync")
        clock.advance(700)
        self.assertEqual(700, log.stalled_ms())
        log._storage.retrier.waiting_operation = "frame"
        self.assertEqual("disk_space:frame", log.waiting_for())
        log._storage.retrier.waiting_operation = ""
        released.set()
        wait_until(lambda: log.stalled_ms() == 0, "the sync has ended")


class FullDiskSnapshotTest(unittest.TestCase):
    def test_a_snapshot_without_space_is_dropped_and_tried_later(self) -> None:
        folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder)
        path = folder / "state-5.snapshot"
        path.write_bytes(b"part")

        def run_in_background(_work: Callable[[], int]) -> "Future[int]":
            failed: Future[int] = Future()
            failed.set_exception(disk_full_error())
            return failed

        writer = SnapshotWriter(CountingStateMachine(), run_in_background)
        writer.begin(path, 5, 1, Membership())
        self.assertIsNone(writer.collect(now_ms=100))
        self.assertFalse(path.exists())
        self.assertFalse(writer.is_writing())
        self.assertFalse(writer.may_begin(now_ms=100 + SNAPSHOT_RETRY_MS - 1))
        self.assertTrue(writer.may_begin(now_ms=100 + SNAPSHOT_RETRY_MS))


if __name__ == "__main__":
    unittest.main()
