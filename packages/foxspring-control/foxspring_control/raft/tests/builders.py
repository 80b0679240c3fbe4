"""Builders of settings, members and state machines for tests."""

import json
from collections.abc import Sequence
from pathlib import Path

import msgspec

from foxspring_control._replication import LogEntry
from foxspring_control.raft import Member, RaftSettings


class CountingStateMachine:
    """Records the applied bodies in order and rewrites its file at each apply."""

    def __init__(self, path: Path | None = None) -> None:
        self.path = path
        self.index = 0
        self.bodies: list[bytes] = []
        if path is not None and path.exists():
            self._load(path)

    def applied_index(self) -> int:
        return self.index

    def apply(self, entries: Sequence[LogEntry]) -> list[bytes]:
        for entry in entries:
            assert entry.log_index > self.index, "an entry was applied twice"
            self.index = entry.log_index
            self.bodies.append(entry.body)
        if self.path is not None:
            self.write_snapshot(self.path)
        return [json.dumps({"index": e.log_index}).encode() for e in entries]

    def write_snapshot(self, path: Path) -> int:
        path.write_bytes(msgspec.msgpack.encode((self.index, self.bodies)))
        return self.index

    def install_snapshot(self, path: Path) -> None:
        index = self.index
        self._load(path)
        if self.index < index:
            raise ValueError("the snapshot is older than the state")

    def digest(self) -> str:
        return str(hash((self.index, tuple(self.bodies))))

    def _load(self, path: Path) -> None:
        kind = tuple[int, list[bytes]]
        self.index, self.bodies = msgspec.msgpack.decode(path.read_bytes(), type=kind)


def members(count: int) -> tuple[Member, ...]:
    """Return ``count`` voters whose link addresses equal their ids."""
    return tuple(Member(f"m{n}", f"m{n}") for n in range(1, count + 1))


def settings(
    member_id: str = "m1",
    folder: Path = Path(),
    group: tuple[Member, ...] = (),
    snapshot_every: int = 5_000,
    seed: int = 0,
) -> RaftSettings:
    """Return settings of a member whose link address equals its id."""
    return RaftSettings(
        member_id,
        member_id,
        folder,
        group,
        snapshot_every_entries=snapshot_every,
        retained_entries=snapshot_every // 5,
        seed=seed,
        snapshot_chunk_bytes=100,
    )
