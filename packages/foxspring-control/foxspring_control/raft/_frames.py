"""Checksummed frames of the log files, as one group commit writes them."""

import struct
import zlib
from typing import NamedTuple

import msgspec
from foxspring_model import UNDECODABLE

from foxspring_control._replication import LogEntry

FRAME_MAGIC = b"FXL1"
_HEADER = struct.Struct("<4sII")
HEADER_BYTES = _HEADER.size
MAX_FRAME_BYTES = 64 * 1024 * 1024


class Frame(NamedTuple):
    """The hard state and the entries written together by a group commit.

    ``sequence`` increases by one per frame. The entries replace any at or after
    the first one's index. If ``reset_index`` is not 0, the log restarts after
    that index, whose term is ``reset_term``.
    """

    sequence: int
    term: int
    voted_for: str
    commit_index: int
    reset_index: int = 0
    reset_term: int = 0
    entries: tuple[LogEntry, ...] = ()


class DamagedLogError(Exception):
    """Synced log data is missing or damaged, so the member must not continue.

    Restore the disk, or remove this member from the group and start it on an
    empty data folder under a new member id.
    """


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame with its header."""
    payload = _ENCODER.encode(frame)
    return _HEADER.pack(FRAME_MAGIC, len(payload), zlib.crc32(payload)) + payload


def payload_length(header: bytes) -> int:
    """Return the payload length in a frame header, or 0 if it is incomplete."""
    if len(header) < HEADER_BYTES:
        return 0
    length = int(_HEADER.unpack_from(header)[1])
    return min(length, MAX_FRAME_BYTES)


class DecodedFrame(NamedTuple):
    """A decoded frame and the offset of its end."""

    frame: Frame
    end: int


def read_frame(data: bytes, offset: int) -> DecodedFrame | None:
    """Return the frame at ``offset``, or ``None`` if it is incomplete or damaged."""
    if offset + HEADER_BYTES > len(data):
        return None
    magic, length, checksum = _HEADER.unpack_from(data, offset)
    start = offset + HEADER_BYTES
    end = start + length
    if magic != FRAME_MAGIC or length > MAX_FRAME_BYTES or end > len(data):
        return None
    payload = data[start:end]
    if zlib.crc32(payload) != checksum:
        return None
    try:
        return DecodedFrame(_DECODER.decode(payload), end)
    except UNDECODABLE:
        return None


def has_frame_after(data: bytes, offset: int) -> bool:
    """Return whether an intact frame starts after ``offset``."""
    at = data.find(FRAME_MAGIC, offset + 1)
    while at >= 0:
        if read_frame(data, at) is not None:
            return True
        at = data.find(FRAME_MAGIC, at + 1)
    return False
