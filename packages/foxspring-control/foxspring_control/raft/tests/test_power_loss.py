"""The data folder after a power loss at every point of its writes."""

import shutil
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from foxspring_control._replication import LogEntry
from foxspring_control.raft import _segments, _storage
from foxspring_control.raft._events import SnapshotStored
from foxspring_control.raft._frames import Frame
from foxspring_control.raft._messages import Membership, SnapshotChunk
from foxspring_control.raft._state import StoredState
from foxspring_control.raft._storage import Storage
from foxspring_control.raft.tests.power_loss import FolderRecorder

SEGMENT_BYTES = 300
LOG_CACHE_BYTES = 100


def entry(log_index: int, term: int = 1) -> LogEntry:
    return LogEntry(log_index, term, "Test", b"%d in %d" % (log_index, term), 0)


def chunk(snapshot: SnapshotStored, offset: int, data: bytes) -> SnapshotChunk:
    return SnapshotChunk(
        term=2,
        leader_id="m2",
        snapshot_index=snapshot.snapshot_index,
        snapshot_term=snapshot.snapshot_term,
        state_index=snapshot.state_index,
        membership=snapshot.membership,
        offset=offset,
        total=4,
        sent_ms=0,
        to_voter=True,
        data=data,
    )


class PowerLossTest(unittest.TestCase):
    """What a member acted on is still there, whatever the power loss left.

    ``promised`` is the state that the member has acknowledged: what ``open`` returned,
    and what each completed write added.
    """

    def setUp(self) -> None:
        self.root = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.root)
        self.folder = self.root / "member"
        self.folder.mkdir()
        self.recorder = FolderRecorder(self.folder, self.lose_power)
        self.entries: dict[int, LogEntry] = {}
        self.vote = (0, "")
        self.snapshot_index = 0
        self.crashes = 0
        for module in (_segments, _storage):
            patched = mock.patch.object(
                module, "sync_folder", self.recorder.sync_folder
            )
            patched.start()
            self.addCleanup(patched.stop)
        self.storage, _ = self.open(self.folder)

    def open(self, folder: Path) -> tuple[Storage, StoredState]:
        sync = self.recorder.sync if folder == self.folder else (lambda _fd: None)
        storage = Storage(folder, "m1", SEGMENT_BYTES, LOG_CACHE_BYTES, sync)
        stored = storage.open()
        self.addCleanup(storage.close)
        return storage, stored

    def lose_power(self) -> None:
        """Check every state that a power loss at this moment may leave."""
        for number, contents in enumerate(self.recorder.possible_contents()):
            after = self.root / f"after-{self.crashes}-{number}"
            after.mkdir()
            for name, data in contents.items():
                (after / name).write_bytes(data)
            self.check(after, sorted(contents))
            shutil.rmtree(after)
        self.crashes += 1

    def check(self, folder: Path, names: list[str]) -> None:
        detail = f"crash {self.crashes}, files {names}"
        try:
            storage, stored = self.open(folder)
        except Exception as error:
            raise AssertionError(f"{detail}: {error}") from error
        self.assertGreaterEqual(stored.term, self.vote[0], detail)
        if stored.term == self.vote[0]:
            self.assertEqual(stored.voted_for, self.vote[1], detail)
        last = max(self.entries, default=0)
        self.assertGreaterEqual(stored.log.last_index, last, detail)
        first = stored.log.base_index + 1
        found = storage.log.read(first, last, 1 << 20) if first <= last else []
        expected = [self.entries[n] for n in range(first, last + 1)]
        self.assertEqual(found, expected, detail)
        snapshot = stored.snapshot.snapshot_index if stored.snapshot else 0
        self.assertGreaterEqual(snapshot, self.snapshot_index, detail)
        storage.close()

    def save(self, *entries: LogEntry, term: int = 1, voted_for: str = "m2") -> None:
        # Replaced entries are not promised any more once their replacement begins.
        for new in entries:
            for replaced in [n for n in self.entries if n >= new.log_index]:
                del self.entries[replaced]
        self.storage.save(term, voted_for, 0, entries)
        self.vote = (term, voted_for)
        self.entries.update({new.log_index: new for new in entries})

    def write_snapshot(self, index: int) -> None:
        path = self.storage.snapshot_path(index)
        path.write_bytes(b"state")
        self.storage.record_snapshot(self.stored(index))
        self.snapshot_index = index
        self.storage.compaction(index, index)()

    def stored(self, index: int, term: int = 1) -> SnapshotStored:
        return SnapshotStored(index, term, index, Membership(), 5)

    def test_entries_votes_and_new_segments(self) -> None:
        for index in range(1, 25):
            self.save(entry(index), entry(index + 1))
        self.save(term=2, voted_for="m3")
        self.save(entry(20, 2), term=2, voted_for="m3")
        self.assertGreater(self.crashes, 30)

    # Issue 55: the record of a snapshot could be kept while the snapshot was lost.
    def test_snapshot_and_compaction_of_several_segments(self) -> None:
        for index in range(1, 40):
            self.save(entry(index))
        self.write_snapshot(35)
        for index in range(40, 60):
            self.save(entry(index))
        self.write_snapshot(55)
        self.assertGreater(self.crashes, 60)

    def test_received_snapshot(self) -> None:
        for index in range(1, 20):
            self.save(entry(index))
        self.write_snapshot(10)
        received = self.stored(40, term=2)
        for offset in (0, 2):
            self.storage.store_chunk(chunk(received, offset, b"st"))
        self.storage.accept_incoming(received)
        self.snapshot_index = 40
        self.entries.clear()
        self.storage.reset_log(2, "", received)
        self.vote = (2, "")
        for index in range(41, 60):
            self.save(entry(index, 2), term=2, voted_for="")
        self.storage.compaction(40, 40)()

    def test_power_loss_after_a_killed_process_has_restarted(self) -> None:
        for index in range(1, 10):
            self.save(entry(index))
        unsynced = Frame(self.storage._sequence + 1, 2, "m3", 0, 0, 0, (entry(10, 2),))
        self.storage.log.write(unsynced)
        self.storage.close()
        self.storage, stored = self.open(self.folder)
        self.vote = (stored.term, stored.voted_for)
        self.entries[10] = entry(10, 2)
        self.lose_power()


class FolderPowerLossTest(unittest.TestCase):
    # Found beside issue 52: a power loss could take the whole folder of a new member.
    def test_name_of_a_new_folder_is_durable_before_anything_is_in_it(self) -> None:
        root = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, root)
        folder = root / "data" / "log"
        synced: list[tuple[Path, bool]] = []

        def record(synced_folder: Path) -> None:
            synced.append((synced_folder, folder.is_dir() and any(folder.iterdir())))

        with (
            mock.patch.object(_segments, "sync_folder", record),
            mock.patch.object(_storage, "sync_folder", record),
        ):
            storage = Storage(folder, "m1", SEGMENT_BYTES, LOG_CACHE_BYTES)
            storage.open()
            storage.close()
        self.assertEqual(synced[:2], [(root, False), (folder.parent, False)])


if __name__ == "__main__":
    unittest.main()
