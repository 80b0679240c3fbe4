"""The log's files: append-only segments of checksummed frames.

A frame is written only after the one before it was synced, so a broken frame
with a whole one behind it is damage, and one with nothing behind it is the
torn end of a group commit that was never answered for.
"""

import os
from array import array
from bisect import bisect_right
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from foxspring_control._replication import LogEntry
from foxspring_control.raft._disk_space import DiskSpace
from foxspring_control.raft._frames import (
    HEADER_BYTES,
    DamagedLogError,
    Frame,
    encode_frame,
    has_frame_after,
    payload_bytes,
    read_frame,
)

SEGMENT_SUFFIX = ".seg"

Sync = Callable[[int], None]
Write = Callable[[int, memoryview], int]


def sync_folder(folder: Path) -> None:
    """Sync a folder, so that files made or renamed in it stay."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


class _Place(NamedTuple):
    """Where a frame with entries, or one that resets the log, stands."""

    first_index: int
    segment: int
    offset: int


class _PlaceTable:
    """Places of the frames with entries, in the order of their first index."""

    def __init__(self) -> None:
        self.first_indexes = array("Q")
        self.segments = array("Q")
        self.offsets = array("Q")

    def add(self, place: _Place) -> None:
        while self.first_indexes and self.first_indexes[-1] >= place.first_index:
            self.first_indexes.pop()
            self.segments.pop()
            self.offsets.pop()
        self.first_indexes.append(place.first_index)
        self.segments.append(place.segment)
        self.offsets.append(place.offset)

    def clear(self) -> None:
        del self.first_indexes[:]
        del self.segments[:]
        del self.offsets[:]

    def drop_segments_below(self, segment: int) -> None:
        keep = 0
        while keep < len(self.segments) and self.segments[keep] < segment:
            keep += 1
        del self.first_indexes[:keep]
        del self.segments[:keep]
        del self.offsets[:keep]

    def position(self, log_index: int) -> int:
        return bisect_right(self.first_indexes, log_index) - 1

    def __len__(self) -> int:
        return len(self.first_indexes)


class SegmentLog:
    """Appends frames, reads entries back and deletes whole old segments.

    Not safe for use from several threads. Writing waits while the disk is full.
    Every method may raise ``OSError``; after one nothing more may be answered for.
    """

    def __init__(
        self,
        folder: Path,
        segment_bytes: int,
        sync: Sync = os.fdatasync,
        space: DiskSpace | None = None,
        write: Write = os.write,
    ) -> None:
        self.folder = folder
        self.segment_bytes = segment_bytes
        self.space = space or DiskSpace()
        self._write_some = write
        self.sync_count = 0
        self.torn_bytes = 0
        self._sync = sync
        self._places = _PlaceTable()
        self._reset = _Place(0, 0, 0)
        self._segment = 0
        self._descriptor = -1
        self._sizes: dict[int, int] = {}
        self._oldest = 0

    def load(self, on_frame: Callable[[Frame], None]) -> None:
        """Read every frame in order, drop a torn end, and open for writing.

        Raises:
            DamagedLogError: anything before the torn end is missing or broken.
        """
        numbers = sorted(
            int(path.stem) for path in self.folder.glob(f"*{SEGMENT_SUFFIX}")
        )
        self._check_numbers(numbers)
        sequence = 0
        for number in numbers:
            is_last = number == numbers[-1]
            sequence = self._load_segment(number, is_last, sequence, on_frame)
        self._oldest = numbers[0] if numbers else 1
        newest = numbers[-1] if numbers else 1
        self.space.wait_for(lambda: self._open(newest), "segment")

    def _check_numbers(self, numbers: list[int]) -> None:
        for before, after in zip(numbers, numbers[1:], strict=False):
            if after != before + 1:
                raise DamagedLogError(
                    f"segment {before + 1} is missing in {self.folder}; "
                    "restore it or replace this member under a new id"
                )

    def _load_segment(
        self,
        number: int,
        is_last: bool,
        sequence: int,
        on_frame: Callable[[Frame], None],
    ) -> int:
        path = self._path(number)
        data = path.read_bytes()
        self._sizes[number] = len(data)
        offset = 0
        while offset < len(data):
            found = read_frame(data, offset)
            if found is None:
                self._drop_torn_end(path, data, offset, is_last)
                break
            frame = found.frame
            if sequence and frame.sequence != sequence + 1:
                raise DamagedLogError(
                    f"{path} has frame {frame.sequence} after {sequence}; "
                    "replace this member under a new id"
                )
            sequence = frame.sequence
            self._note_place(frame, number, offset)
            on_frame(frame)
            offset = found.end
        return sequence

    def _drop_torn_end(
        self, path: Path, data: bytes, offset: int, is_last: bool
    ) -> None:
        if not is_last or has_frame_after(data, offset):
            raise DamagedLogError(
                f"{path} is damaged at byte {offset} before its end; "
                "replace this member under a new id"
            )
        self.torn_bytes = len(data) - offset
        with path.open("r+b") as file:
            file.truncate(offset)
            os.fsync(file.fileno())

    def _note_place(self, frame: Frame, segment: int, offset: int) -> None:
        if frame.reset_index:
            self._places.clear()
            self._reset = _Place(frame.reset_index, segment, offset)
        if frame.entries:
            first = frame.entries[0].log_index
            self._places.add(_Place(first, segment, offset))

    def write(self, frame: Frame) -> None:
        """Append a frame; it counts only after :meth:`sync`."""
        if self._sizes[self._segment] >= self.segment_bytes:
            self.close()
            following = self._segment + 1
            self.space.wait_for(lambda: self._open(following), "segment")
        data = encode_frame(frame)
        self._note_place(frame, self._segment, self._sizes[self._segment])
        self.space.wait_for(lambda: self._append(data), "frame")
        self._sizes[self._segment] += len(data)

    def _append(self, data: bytes) -> None:
        """Write a whole frame at the segment's end, or nothing that stays."""
        end = self._sizes[self._segment]
        view = memoryview(data)
        try:
            while view:
                view = view[self._write_some(self._descriptor, view) :]
        except OSError:
            os.ftruncate(self._descriptor, end)
            raise

    def sync(self) -> None:
        """Make everything written so far last."""
        self._sync(self._descriptor)
        self.sync_count += 1

    def read(self, first: int, last: int, max_bytes: int) -> list[LogEntry]:
        """Return entries from ``first`` on, at least one, up to ``max_bytes``."""
        entries: list[LogEntry] = []
        held = 0
        position = self._places.position(first)
        while 0 <= position < len(self._places) and held < max_bytes:
            frame = self._read_place(position)
            limit = self._next_first(position)
            for entry in frame.entries:
                if first <= entry.log_index < limit and entry.log_index <= last:
                    entries.append(entry)
                    held += len(entry.body)
            if limit > last:
                break
            position += 1
        return entries

    def _next_first(self, position: int) -> int:
        if position + 1 < len(self._places):
            return int(self._places.first_indexes[position + 1])
        return 1 << 62

    def _read_place(self, position: int) -> Frame:
        number = self._places.segments[position]
        offset = self._places.offsets[position]
        with self._path(number).open("rb") as file:
            file.seek(offset)
            header = file.read(HEADER_BYTES)
            data = header + file.read(payload_bytes(header))
        found = read_frame(data, 0)
        if found is None:
            raise DamagedLogError(
                f"{self._path(number)} can't be read at byte {offset}; "
                "replace this member under a new id"
            )
        return found.frame

    def compact(self, first_kept: int) -> None:
        """Delete segments that hold nothing from ``first_kept`` on.

        Keep the entry whose term the next one is checked against.
        """
        keep = self._first_needed(first_kept)
        for number in range(self._oldest, keep):
            self._path(number).unlink(missing_ok=True)
            self._sizes.pop(number, None)
        if keep > self._oldest:
            sync_folder(self.folder)
            self._oldest = keep
            self._places.drop_segments_below(keep)

    def _first_needed(self, first_kept: int) -> int:
        needed = self._segment
        if self._sizes[needed] == 0:
            # The newest hard state stands in the segment before.
            needed -= 1
        if len(self._places) > 0:
            position = max(0, self._places.position(first_kept))
            needed = min(needed, int(self._places.segments[position]))
        if first_kept <= self._reset.first_index:
            needed = min(needed, self._reset.segment)
        return max(needed, self._oldest)

    def disk_bytes(self) -> int:
        """Return the size of all segments."""
        return sum(list(self._sizes.values()))

    def close(self) -> None:
        """Close the open segment."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1

    def _path(self, number: int) -> Path:
        return self.folder / f"{number:012d}{SEGMENT_SUFFIX}"

    def _open(self, number: int) -> None:
        path = self._path(number)
        flags = os.O_CREAT | os.O_RDWR | os.O_APPEND
        descriptor = os.open(path, flags, 0o600)
        try:
            sync_folder(self.folder)
        except OSError:
            os.close(descriptor)
            raise
        self._descriptor = descriptor
        self._segment = number
        self._sizes[number] = os.fstat(descriptor).st_size
