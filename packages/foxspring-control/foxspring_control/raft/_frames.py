"""Frames of the log's files: what one group commit writes, with a checksum."""

import struct
import zlib
from typing import NamedTuple

import msgspec

from foxspring_control._replication import LogEntry

FRAME_MAGIC = b"FXL1"
_HEADER = struct.Struct("<4sII")
HEADER_BYTES = _HEADER.size
MAX_FRAME_BYTES = 64 * 1024 * 1024


class Frame(NamedTuple):
    """One group commit: the hard state and the entries written with it.

    ``sequence`` grows by one a frame. The entries replace all from the first
    one's index on. When ``reset_index`` isn't 0 the log restarts behind it,
    with ``reset_term`` as the term there.
    """

    sequence: int
    term: int
    voted_for: str
    commit_index: int
    reset_index: int = 0
    reset_term: int = 0
    entries: tuple[LogEntry, ...] = ()


class DamagedLogError(Exception):
    """Synced data of the log can't be read back; the member must not start.

    Restore the disk, or remove this member from the group and start it on an
    empty data folder under a new member id.
    """


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Return the frame's bytes with its header."""
    payload = _ENCODER.encode(frame)
    return _HEADER.pack(FRAME_MAGIC, len(payload), zlib.crc32(payload)) + payload


def payload_bytes(header: bytes) -> int:
    """Return the length that a frame's header gives, 0 if it is none."""
    if len(header) < HEADER_BYTES:
        return 0
    length = int(_HEADER.unpack_from(header)[1])
    return min(length, MAX_FRAME_BYTES)


class FrameAt(NamedTuple):
    """A frame that was read, and the offset behind it."""

    frame: Frame
    end: int


def read_frame(data: bytes, offset: int) -> FrameAt | None:
    """Return the whole frame at ``offset``, or none if there isn't one."""
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
        return FrameAt(_DECODER.decode(payload), end)
    except msgspec.DecodeError:
        return None


def has_frame_after(data: bytes, offset: int) -> bool:
    """Tell whether any whole frame begins behind ``offset``."""
    at = data.find(FRAME_MAGIC, offset + 1)
    while at >= 0:
        if read_frame(data, at) is not None:
            return True
        at = data.find(FRAME_MAGIC, at + 1)
    return False
