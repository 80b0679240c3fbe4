"""The log files: append-only segments of checksummed frames.

A frame is written only after the previous one was synced. A broken frame that is
followed by an intact one is therefore damage, and a broken frame at the end is a
torn write of a group commit that was never acknowledged.
"""

import os
from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import NamedTuple

from foxspring_control._replication import LogEntry
from foxspring_control.raft._disk_space import FullDiskRetrier
from foxspring_control.raft._frames import (
    HEADER_BYTES,
    DamagedLogError,
    Frame,
    encode_frame,
    has_frame_after,
    payload_length,
    read_frame,
)

SEGMENT_SUFFIX = ".seg"

Sync = Callable[[int], None]
Write = Callable[[int, memoryview], int]


def sync_folder(folder: Path) -> None:
    """Sync a folder so that created and renamed files in it are durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def make_folder(folder: Path) -> None:
    """Create a folder with its parents so that their names are durable."""
    if folder.is_dir():
        return
    make_folder(folder.parent)
    folder.mkdir(exist_ok=True)
    sync_folder(folder.parent)


def delete_in_order(paths: Sequence[Path]) -> None:
    """Delete files of a folder so that no later one can be gone before an earlier.

    A power loss may undo deletions that are not synced, each by itself; one sync
    for all could leave a gap between the segments.
    """
    for path in paths:
        path.unlink(missing_ok=True)
        sync_folder(path.parent)


class _FrameLocation(NamedTuple):
    """Location of a frame that has entries or resets the log."""

    first_index: int
    segment: int
    offset: int


class _FrameIndex:
    """Locations of the frames with entries, ordered by first entry index."""

    def __init__(self) -> None:
        self.first_indexes = array("Q")
        self.segments = array("Q")
        self.offsets = array("Q")

    def add(self, location: _FrameLocation) -> None:
        while self.first_indexes and self.first_indexes[-1] >= location.first_index:
            self.first_indexes.pop()
            self.segments.pop()
            self.offsets.pop()
        self.first_indexes.append(location.first_index)
        self.segments.append(location.segment)
        self.offsets.append(location.offset)

    def clear(self) -> None:
        del self.first_indexes[:]
        del self.segments[:]
        del self.offsets[:]

    def drop_segments_below(self, segment: int) -> None:
        dropped = 0
        while dropped < len(self.segments) and self.segments[dropped] < segment:
            dropped += 1
        del self.first_indexes[:dropped]
        del self.segments[:dropped]
        del self.offsets[:dropped]

    def first_index_from(self, segment: int) -> int:
        position = bisect_left(self.segments, segment)
        found = self.first_indexes[position : position + 1]
        return int(found[0]) if found else 0

    def position(self, log_index: int) -> int:
        return bisect_right(self.first_indexes, log_index) - 1

    def __len__(self) -> int:
        return len(self.first_indexes)


class SegmentLog:
    """Appends frames, reads entries and deletes old segments.

    Not thread-safe. Writes wait while the disk is full. Every method may raise
    ``OSError``; afterwards no write may be acknowledged any more.
    ``appended_bytes`` counts what was loaded and written.
    """

    def __init__(
        self,
        folder: Path,
        segment_bytes: int,
        sync: Sync = os.fdatasync,
        retrier: FullDiskRetrier | None = None,
        write: Write = os.write,
    ) -> None:
        self.folder = folder
        self.segment_bytes = segment_bytes
        self.retrier = retrier or FullDiskRetrier()
        self._write_partial = write
        self.sync_count = 0
        self.torn_bytes = 0
        self.appended_bytes = 0
        self._sync = sync
        self._frame_index = _FrameIndex()
        self._reset_location = _FrameLocation(0, 0, 0)
        self._segment = 0
        self._descriptor = -1
        self._sizes: dict[int, int] = {}
        self._oldest_segment = 0

    def load(self, on_frame: Callable[[Frame], None]) -> None:
        """Read all frames in order, truncate a torn end and open for writing.

        All frames that were read are durable afterwards.

        Raises:
            DamagedLogError: data before the torn end is missing or damaged.
        """
        numbers = sorted(
            int(path.stem) for path in self.folder.glob(f"*{SEGMENT_SUFFIX}")
        )
        self._check_numbers(numbers)
        sequence = 0
        for number in numbers:
            is_last = number == numbers[-1]
            sequence = self._load_segment(number, is_last, sequence, on_frame)
        self._oldest_segment = numbers[0] if numbers else 1
        self.appended_bytes = self.disk_bytes()
        newest = numbers[-1] if numbers else 1
        self.retrier.run(lambda: self._open(newest), "segment")
        # An earlier process may have ended between a write and its sync.
        self.sync()

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
            self._record_location(frame, number, offset)
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

    def _record_location(self, frame: Frame, segment: int, offset: int) -> None:
        if frame.reset_index:
            self._frame_index.clear()
            self._reset_location = _FrameLocation(frame.reset_index, segment, offset)
        if frame.entries:
            first = frame.entries[0].log_index
            self._frame_index.add(_FrameLocation(first, segment, offset))

    def write(self, frame: Frame) -> None:
        """Append a frame; it is durable only after :meth:`sync`."""
        if self._sizes[self._segment] >= self.segment_bytes:
            self.close()
            next_number = self._segment + 1
            self.retrier.run(lambda: self._open(next_number), "segment")
        data = encode_frame(frame)
        self._record_location(frame, self._segment, self._sizes[self._segment])
        self.retrier.run(lambda: self._append(data), "frame")
        self._sizes[self._segment] += len(data)
        self.appended_bytes += len(data)

    def _append(self, data: bytes) -> None:
        """Write all of ``data`` at the segment's end, or truncate what was written."""
        end = self._sizes[self._segment]
        view = memoryview(data)
        try:
            while view:
                view = view[self._write_partial(self._descriptor, view) :]
        except OSError:
            os.ftruncate(self._descriptor, end)
            raise

    def sync(self) -> None:
        """Make all written frames durable."""
        self._sync(self._descriptor)
        self.sync_count += 1

    def read(self, first: int, last: int, max_bytes: int) -> list[LogEntry]:
        """Return entries from ``first`` to ``last``, up to about ``max_bytes``.

        At least one entry is returned if any is stored in that range.
        """
        entries: list[LogEntry] = []
        body_bytes = 0
        position = self._frame_index.position(first)
        while 0 <= position < len(self._frame_index) and body_bytes < max_bytes:
            frame = self._read_frame_at(position)
            limit = self._next_first_index(position)
            for entry in frame.entries:
                if first <= entry.log_index < limit and entry.log_index <= last:
                    entries.append(entry)
                    body_bytes += len(entry.body)
            if limit > last:
                break
            position += 1
        return entries

    def _next_first_index(self, position: int) -> int:
        if position + 1 < len(self._frame_index):
            return int(self._frame_index.first_indexes[position + 1])
        return 1 << 62

    def _read_frame_at(self, position: int) -> Frame:
        number = self._frame_index.segments[position]
        offset = self._frame_index.offsets[position]
        with self._path(number).open("rb") as file:
            file.seek(offset)
            header = file.read(HEADER_BYTES)
            data = header + file.read(payload_length(header))
        found = read_frame(data, 0)
        if found is None:
            raise DamagedLogError(
                f"{self._path(number)} can't be read at byte {offset}; "
                "replace this member under a new id"
            )
        return found.frame

    def compact(self, first_kept: int) -> None:
        """Delete the segments that hold no entry at or after ``first_kept``.

        Pass the base index of the log: the term of its entry is needed to check
        the entry after it.
        """
        delete_in_order(self.forget(first_kept))

    def forget(self, first_kept: int) -> list[Path]:
        """Return the segments that :meth:`compact` deletes, and use them no more."""
        first_kept_segment = self._first_needed_segment(first_kept)
        forgotten = range(self._oldest_segment, first_kept_segment)
        for number in forgotten:
            self._sizes.pop(number, None)
        if first_kept_segment > self._oldest_segment:
            self._oldest_segment = first_kept_segment
            self._frame_index.drop_segments_below(first_kept_segment)
        return [self._path(number) for number in forgotten]

    def _first_needed_segment(self, first_kept: int) -> int:
        needed = self._segment
        if self._sizes[needed] == 0:
            # The previous segment holds the newest hard state.
            needed -= 1
        if len(self._frame_index) > 0:
            position = max(0, self._frame_index.position(first_kept))
            needed = min(needed, int(self._frame_index.segments[position]))
        if first_kept <= self._reset_location.first_index:
            needed = min(needed, self._reset_location.segment)
        return max(needed, self._oldest_segment)

    def first_index_of_newest(self, max_bytes: int) -> int:
        """Return the first index in the newest segments of at most ``max_bytes``.

        The newest segment counts in any case; 0 if it holds no entry.
        """
        total, first_segment = self._sizes[self._segment], self._segment
        while first_segment > self._oldest_segment:
            total += self._sizes[first_segment - 1]
            if total > max_bytes:
                break
            first_segment -= 1
        return self._frame_index.first_index_from(first_segment)

    def disk_bytes(self) -> int:
        """Return the total size of all segments."""
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
