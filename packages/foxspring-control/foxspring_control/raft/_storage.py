"""The data folder of one member: log, hard state and snapshots."""

import errno
import fcntl
import os
from collections.abc import Callable, Iterable
from pathlib import Path

import msgspec

from foxspring_control._replication import LogEntry
from foxspring_control.raft._disk_space import (
    Allocate,
    DiskReserve,
    FullDiskRetrier,
    allocate_space,
)
from foxspring_control.raft._events import SnapshotStored
from foxspring_control.raft._frames import DamagedLogError, Frame
from foxspring_control.raft._log_cache import LogCache
from foxspring_control.raft._messages import Membership, SnapshotChunk
from foxspring_control.raft._segments import (
    SegmentLog,
    Sync,
    Write,
    delete_in_order,
    make_folder,
    sync_folder,
)
from foxspring_control.raft._state import (
    MEMBERS_KIND,
    StoredState,
    decode_membership,
)
from foxspring_control.raft._terms import TermTable

_IDENTITY_FILE = "member.json"
_SNAPSHOT_FILE = "snapshot.json"
_INCOMING_FILE = "incoming.part"
_RESERVE_FILE = "reserve"
FRAME_BODY_BYTES = 4 * 1024 * 1024


class WrongMemberError(Exception):
    """The data folder belongs to another member or is in use.

    Give each member a data folder of its own and keep its member id.
    """


class _Replay:
    """Rebuilds the stored state from the frames of the log."""

    def __init__(self, snapshot: SnapshotStored | None) -> None:
        self.log: TermTable | None = None
        self.snapshot = snapshot
        self.term = 0
        self.voted_for = ""
        self.commit_index = 0
        self.sequence = 0
        self.must_reset = False
        self.memberships: list[tuple[int, Membership]] = []

    def on_frame(self, frame: Frame) -> None:
        self.sequence = frame.sequence
        self.term = frame.term
        self.voted_for = frame.voted_for
        self.commit_index = max(self.commit_index, frame.commit_index)
        if frame.reset_index:
            self.log = TermTable(frame.reset_index, frame.reset_term)
            self.memberships.clear()
        for entry in frame.entries:
            self._on_entry(entry)

    def _on_entry(self, entry: LogEntry) -> None:
        if self.log is None:
            first = entry.log_index == 1
            # After a compaction the term before the oldest entry is unknown, so the
            # oldest entry itself becomes the base.
            base = 0 if first else entry.log_index
            self.log = TermTable(base, 0 if first else entry.term)
        if entry.log_index <= self.log.base_index:
            return
        while self.memberships and self.memberships[-1][0] >= entry.log_index:
            self.memberships.pop()
        self.log.append(entry.log_index, entry.term)
        if entry.kind == MEMBERS_KIND:
            membership = decode_membership(entry.body)
            self.memberships.append((entry.log_index, membership))

    def result(self) -> StoredState:
        snapshot = self.snapshot
        log = self.log or TermTable()
        memberships = self.memberships
        if snapshot is not None:
            index = snapshot.snapshot_index
            if log.term_at(index) != snapshot.snapshot_term:
                log = TermTable(index, snapshot.snapshot_term)
                self.must_reset = True
            later = [m for m in memberships if index < m[0] <= log.last_index]
            memberships = [(index, snapshot.membership), *later]
        elif log.base_index > 0:
            raise DamagedLogError(
                "the log begins after its first entry and there is no snapshot; "
                "replace this member under a new id"
            )
        commit = max(self.commit_index, snapshot.snapshot_index if snapshot else 0)
        return StoredState(
            self.term,
            self.voted_for,
            min(commit, log.last_index),
            log,
            tuple(memberships),
            snapshot,
        )


def _without_replaced(entries: Iterable[LogEntry]) -> tuple[LogEntry, ...]:
    """Return the entries without those that later ones replace."""
    kept_entries: list[LogEntry] = []
    for entry in entries:
        while kept_entries and kept_entries[-1].log_index >= entry.log_index:
            kept_entries.pop()
        kept_entries.append(entry)
    return tuple(kept_entries)


def _split_by_frame_size(
    entries: tuple[LogEntry, ...],
) -> Iterable[tuple[LogEntry, ...]]:
    """Yield the entries in parts of at most one frame; at least one part."""
    first, part_bytes = 0, 0
    for position, entry in enumerate(entries):
        if part_bytes and part_bytes + len(entry.body) > FRAME_BODY_BYTES:
            yield entries[first:position]
            first, part_bytes = position, 0
        part_bytes += len(entry.body)
    yield entries[first:]


class Storage:
    """One member's log, hard state and latest snapshot in its data folder.

    Not thread-safe. Writes wait while the disk is full, unless the reserve, which
    the first of them gives up, has room for them. After an ``OSError`` no write
    may be acknowledged any more and the process must exit.
    """

    def __init__(
        self,
        folder: Path,
        member_id: str,
        segment_bytes: int,
        log_cache_bytes: int,
        sync: Sync = os.fdatasync,
        write: Write = os.write,
        reserve_bytes: int = 0,
        allocate: Allocate = allocate_space,
    ) -> None:
        self.folder = folder
        self.member_id = member_id
        self.reserve = DiskReserve(folder / _RESERVE_FILE, reserve_bytes, allocate)
        self.retrier = FullDiskRetrier(reserve=self.reserve)
        self.log = SegmentLog(folder, segment_bytes, sync, self.retrier, write)
        self.log_cache = LogCache(log_cache_bytes)
        self._sync = sync
        self._sequence = 0
        self._hard_state: tuple[int, str] = (0, "")
        self._lock_descriptor = -1

    def open(self) -> StoredState:
        """Lock and read the folder and return the stored state.

        Raises:
            WrongMemberError: the folder belongs to another member or is in use.
            DamagedLogError: synced data is missing or damaged.
        """
        make_folder(self.folder)
        self._lock()
        self._check_identity()
        self.reserve.make()
        snapshot = self._load_snapshot()
        self._delete_partial_files(snapshot)
        replay = _Replay(snapshot)
        self.log.load(replay.on_frame)
        stored = replay.result()
        self._sequence = replay.sequence
        self._hard_state = (stored.term, stored.voted_for)
        if replay.must_reset and stored.snapshot is not None:
            # The process ended after recording a received snapshot and before
            # resetting the log.
            self.reset_log(stored.term, stored.voted_for, stored.snapshot)
        return stored

    def _lock(self) -> None:
        self._lock_descriptor = os.open(self.folder / "lock", os.O_CREAT | os.O_RDWR)
        try:
            fcntl.flock(self._lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._lock_descriptor)
            self._lock_descriptor = -1
            raise WrongMemberError(
                f"{self.folder} is in use by another process; stop it first"
            ) from error

    def _check_identity(self) -> None:
        path = self.folder / _IDENTITY_FILE
        if not path.exists():
            self._write_atomically(path, msgspec.json.encode(self.member_id))
            return
        owner = msgspec.json.decode(path.read_bytes(), type=str)
        if owner != self.member_id:
            raise WrongMemberError(
                f"{self.folder} belongs to member {owner}, not {self.member_id}; "
                "set the member id back or use another data folder"
            )

    def renew_identity(self, member_id: str) -> None:
        """Give the folder, which holds no log, to a member with another id."""
        path = self.folder / _IDENTITY_FILE
        self._write_atomically(path, msgspec.json.encode(member_id))
        self.member_id = member_id

    def save(
        self,
        term: int,
        voted_for: str,
        commit_index: int,
        entries: Iterable[LogEntry],
    ) -> bool:
        """Write and sync the hard state and entries if anything changed.

        Returns whether anything was written. A change of ``commit_index`` alone
        is not written.
        """
        kept = _without_replaced(entries)
        if not kept and (term, voted_for) == self._hard_state:
            return False
        for part in _split_by_frame_size(kept):
            self._write(Frame(0, term, voted_for, commit_index, 0, 0, part))
        return True

    def reset_log(self, term: int, voted_for: str, snapshot: SnapshotStored) -> None:
        """Empty the log and restart it after an installed snapshot."""
        index = snapshot.snapshot_index
        self.log_cache.clear()
        self._write(Frame(0, term, voted_for, index, index, snapshot.snapshot_term))

    def _write(self, frame: Frame) -> None:
        self._sequence += 1
        self.log.write(frame._replace(sequence=self._sequence))
        self.log.sync()
        self._hard_state = (frame.term, frame.voted_for)

    def read(self, first: int, last: int, max_bytes: int) -> list[LogEntry]:
        """Return entries from ``first`` to ``last``, up to about ``max_bytes``."""
        if last < first:
            return []
        found = self.log_cache.read(first, last, max_bytes)
        return found or self.log.read(first, last, max_bytes)

    def snapshot_path(self, snapshot_index: int) -> Path:
        """Return the path of the snapshot at an index."""
        return self.folder / f"state-{snapshot_index}.snapshot"

    def record_snapshot(self, snapshot: SnapshotStored) -> None:
        """Sync a written snapshot and record it as the latest.

        May run on another thread than the rest.

        Raises:
            OSError: if the disk is full, nothing was recorded.
        """
        self._sync_file(self.snapshot_path(snapshot.snapshot_index))
        # The name must be durable before the record that refers to it.
        sync_folder(self.folder)
        path = self.folder / _SNAPSHOT_FILE
        temporary = self._write_temporary(path, msgspec.json.encode(snapshot))
        try:
            self.retrier.run(lambda: self._replace(temporary, path), path.name)
        except OSError as error:
            # The record may be in place, so this isn't the error of a full disk.
            raise OSError(errno.EIO, f"{path.name}: {error}") from error

    def compaction(self, first_kept: int, snapshot_index: int) -> Callable[[], None]:
        """Forget the entries before ``first_kept`` and return the deletion of files.

        The deletion, which may run on another thread, deletes the segments and the
        snapshots other than the one at ``snapshot_index``.
        """
        kept = self.snapshot_path(snapshot_index)
        snapshots = [p for p in self.folder.glob("state-*.snapshot") if p != kept]
        segments = self.log.forget(first_kept)

        def delete() -> None:
            for path in snapshots:
                path.unlink(missing_ok=True)
            delete_in_order(segments)

        return delete

    def store_chunk(self, chunk: SnapshotChunk) -> None:
        """Write a received chunk at its offset."""
        self.retrier.run(lambda: self._write_chunk(chunk), "chunk")

    def _write_chunk(self, chunk: SnapshotChunk) -> None:
        mode = "wb" if chunk.offset == 0 else "r+b"
        with (self.folder / _INCOMING_FILE).open(mode) as file:
            file.seek(chunk.offset)
            file.write(chunk.data)

    def accept_incoming(self, snapshot: SnapshotStored) -> Path:
        """Record the received file as the latest snapshot and return its path."""
        path = self.snapshot_path(snapshot.snapshot_index)
        incoming = self.folder / _INCOMING_FILE
        self._sync_file(incoming)
        os.replace(incoming, path)
        self.retrier.run(lambda: self.record_snapshot(snapshot), _SNAPSHOT_FILE)
        return path

    def read_chunk(self, snapshot_index: int, offset: int, size: int) -> bytes:
        """Return up to ``size`` bytes of a snapshot file."""
        with self.snapshot_path(snapshot_index).open("rb") as file:
            file.seek(offset)
            return file.read(size)

    def close(self) -> None:
        """Close the files and unlock the folder."""
        self.log.close()
        if self._lock_descriptor >= 0:
            os.close(self._lock_descriptor)
            self._lock_descriptor = -1

    def _load_snapshot(self) -> SnapshotStored | None:
        path = self.folder / _SNAPSHOT_FILE
        if not path.exists():
            return None
        snapshot = msgspec.json.decode(path.read_bytes(), type=SnapshotStored)
        if not self.snapshot_path(snapshot.snapshot_index).exists():
            raise DamagedLogError(
                f"the snapshot at {snapshot.snapshot_index} is missing in "
                f"{self.folder}; replace this member under a new id"
            )
        return snapshot

    def _delete_partial_files(self, snapshot: SnapshotStored | None) -> None:
        """Delete what an earlier process had not finished or not yet deleted."""
        kept = self.snapshot_path(snapshot.snapshot_index) if snapshot else None
        for pattern in (_INCOMING_FILE, "*.tmp", "state-*.snapshot"):
            for path in self.folder.glob(pattern):
                if path != kept:
                    path.unlink(missing_ok=True)

    def _write_atomically(self, path: Path, data: bytes) -> None:
        def write() -> None:
            self._replace(self._write_temporary(path, data), path)

        self.retrier.run(write, path.name)

    def _write_temporary(self, path: Path, data: bytes) -> Path:
        temporary = path.with_suffix(".tmp")
        with temporary.open("wb") as file:
            file.write(data)
            file.flush()
            self._sync(file.fileno())
        return temporary

    def _replace(self, temporary: Path, path: Path) -> None:
        # A repeated call finds the file replaced.
        if temporary.exists():
            os.replace(temporary, path)
        sync_folder(self.folder)

    def _sync_file(self, path: Path) -> None:
        with path.open("rb") as file:
            self._sync(file.fileno())
