"""The data folder: torn writes, damage, compaction and folder ownership."""

import shutil
import tempfile
import unittest
from pathlib import Path

from foxspring_control._replication import LogEntry
from foxspring_control.raft._events import SnapshotStored
from foxspring_control.raft._frames import DamagedLogError
from foxspring_control.raft._messages import Membership
from foxspring_control.raft._state import StoredState
from foxspring_control.raft._storage import Storage, WrongMemberError

SEGMENT_BYTES = 500
TAIL_BYTES = 300


def entry(log_index: int, term: int = 1) -> LogEntry:
    return LogEntry(log_index, term, "Test", b"%d in %d" % (log_index, term), 0)


class StorageTest(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)

    def open(self, member_id: str = "m1") -> tuple[Storage, StoredState]:
        storage = Storage(self.folder, member_id, SEGMENT_BYTES, TAIL_BYTES)
        self.addCleanup(storage.close)
        return storage, storage.open()

    def write(self, count: int = 30) -> None:
        storage, _ = self.open()
        for log_index in range(1, count + 1):
            storage.save(1, "m2", log_index - 1, [entry(log_index)])
        storage.close()

    def segments(self) -> list[Path]:
        return sorted(self.folder.glob("*.seg"))

    def test_saved_entries_are_read_back(self) -> None:
        self.write()
        storage, stored = self.open()
        self.assertEqual((1, "m2", 29), stored[:3])
        self.assertEqual(30, stored.log.last_index)
        self.assertGreater(len(self.segments()), 2)
        for first, last in ((1, 30), (7, 7), (12, 19)):
            expected = [entry(n) for n in range(first, last + 1)]
            self.assertEqual(expected, storage.read(first, last, 1 << 20))

    def test_replaced_entries_stay_replaced(self) -> None:
        self.write(10)
        storage, _ = self.open()
        storage.save(2, "", 5, [entry(6, 2), entry(7, 2)])
        storage.close()
        storage, stored = self.open()
        expected = [entry(n) for n in range(1, 6)] + [entry(6, 2), entry(7, 2)]
        self.assertEqual(expected, storage.read(1, 99, 1 << 20))
        self.assertEqual((7, 2), (stored.log.last_index, stored.log.last_term))

    def test_entries_replaced_within_one_group_commit(self) -> None:
        storage, _ = self.open()
        batch = [entry(1), entry(2), entry(3), entry(2, 2), entry(3, 2)]
        storage.save(2, "", 0, batch)
        expected = [entry(1), entry(2, 2), entry(3, 2)]
        self.assertEqual(expected, storage.log.read(1, 9, 1 << 20))

    def test_a_large_group_commit_is_split_into_frames(self) -> None:
        storage, _ = self.open()
        bodies = [b"x" * 3_000_000, b"y", b"z" * 3_000_000, b"w" * 5_000_000]
        batch = [
            LogEntry(n, 1, "Test", body, 0) for n, body in enumerate(bodies, start=1)
        ]
        storage.save(1, "", 0, batch)
        storage.close()
        storage, stored = self.open()
        self.assertEqual(batch, storage.read(1, 9, 1 << 30))
        self.assertEqual(4, stored.log.last_index)

    def test_a_torn_end_is_dropped(self) -> None:
        self.write(30)
        last = self.segments()[-1]
        intact = last.read_bytes()
        for length in range(len(intact) - 1, len(intact) - 40, -1):
            last.write_bytes(intact[:length])
            storage, stored = self.open()
            self.assertEqual(29, stored.log.last_index)
            storage.save(1, "m2", 29, [entry(30)])
            storage.close()
            self.assertEqual(30, self.reopened_last_index())

    def reopened_last_index(self) -> int:
        storage, stored = self.open()
        storage.close()
        return stored.log.last_index

    def test_damage_before_the_end_is_refused(self) -> None:
        self.write(30)
        first, *_, last = self.segments()
        for path, offset in ((first, 20), (first, 200), (last, 4), (last, 20)):
            with self.subTest(path=path.name, offset=offset):
                intact = path.read_bytes()
                damaged = bytearray(intact)
                damaged[offset] ^= 0xFF
                path.write_bytes(damaged)
                if path == last:
                    self.append_whole_frame(path)
                storage = Storage(self.folder, "m1", SEGMENT_BYTES, TAIL_BYTES)
                with self.assertRaises(DamagedLogError):
                    storage.open()
                storage.close()
                path.write_bytes(intact)

    def append_whole_frame(self, path: Path) -> None:
        with path.open("ab") as file:
            file.write(self.segments()[0].read_bytes())

    def test_a_missing_segment_is_refused(self) -> None:
        self.write(30)
        self.segments()[1].unlink()
        with self.assertRaises(DamagedLogError):
            self.open()

    def test_compaction_bounds_the_disk_and_keeps_the_rest(self) -> None:
        storage, _ = self.open()
        sizes = []
        for log_index in range(1, 501):
            storage.save(1, "m2", log_index - 1, [entry(log_index)])
            if log_index % 50 == 0:
                self.snapshot(storage, log_index)
                storage.compaction(log_index - 10, log_index)()
                sizes.append(storage.log.disk_bytes())
        self.assertLessEqual(max(sizes), 3 * SEGMENT_BYTES)
        storage.close()
        storage, stored = self.open()
        self.assertEqual(500, stored.log.last_index)
        self.assertEqual([entry(495)], storage.read(495, 495, 1 << 20))
        self.assertEqual(1, len(list(self.folder.glob("*.snapshot"))))

    def snapshot(self, storage: Storage, log_index: int) -> None:
        storage.snapshot_path(log_index).write_bytes(b"state")
        stored = SnapshotStored(log_index, 1, log_index, Membership(), 5)
        storage.record_snapshot(stored)

    def test_a_snapshot_recorded_before_the_log_was_emptied(self) -> None:
        for snapshot_index in (5, 40):
            with self.subTest(snapshot_index=snapshot_index):
                self.write(10)
                storage, _ = self.open()
                storage.snapshot_path(snapshot_index).write_bytes(b"state")
                received = SnapshotStored(
                    snapshot_index, 2, snapshot_index, Membership(), 5
                )
                storage.record_snapshot(received)
                storage.close()
                for _ in range(2):
                    storage, stored = self.open()
                    last = (stored.log.last_index, stored.log.last_term)
                    storage.close()
                    self.assertEqual((snapshot_index, 2), last)
                self.append_after_snapshot(snapshot_index)
                for path in self.folder.iterdir():
                    path.unlink()

    def append_after_snapshot(self, snapshot_index: int) -> None:
        storage, _ = self.open()
        new_entries = [entry(snapshot_index + n, 2) for n in range(1, 60)]
        for new_entry in new_entries:
            storage.save(2, "", snapshot_index, [new_entry])
            storage.log.compact(snapshot_index)
        storage.close()
        storage, stored = self.open()
        self.assertEqual(snapshot_index, stored.log.base_index)
        self.assertEqual(new_entries, storage.read(snapshot_index + 1, 999, 1 << 20))
        storage.close()

    # Issue 55: partial files of an interrupted process took space for good.
    def test_files_of_interrupted_writes_are_deleted_at_the_start(self) -> None:
        storage, _ = self.open()
        self.snapshot(storage, 10)
        storage.close()
        partial = ("incoming.part", "snapshot.tmp", "member.tmp")
        for name in (*partial, "state-5.snapshot", "state-20.snapshot"):
            (self.folder / name).write_bytes(b"part")
        kept = {"lock", "member.json", "snapshot.json", "state-10.snapshot"}
        storage, stored = self.open()
        assert stored.snapshot is not None
        self.assertEqual(10, stored.snapshot.snapshot_index)
        names = {path.name for path in self.folder.iterdir() if path.suffix != ".seg"}
        self.assertEqual(kept, names)
        storage.close()

    def test_a_lost_snapshot_file_is_refused(self) -> None:
        storage, _ = self.open()
        self.snapshot(storage, 10)
        storage.close()
        storage.snapshot_path(10).unlink()
        with self.assertRaises(DamagedLogError):
            self.open()

    def test_a_folder_in_use_or_of_another_member_is_refused(self) -> None:
        storage, _ = self.open()
        for member_id in ("m1", "m2"):
            with self.subTest(member_id=member_id), self.assertRaises(WrongMemberError):
                self.open(member_id)
            storage.close()
