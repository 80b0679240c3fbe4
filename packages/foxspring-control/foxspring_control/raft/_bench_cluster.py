"""A group of members in one process over real links, for benchmarks and tests."""

import tempfile
import threading
import time
from collections.abc import Callable, Sequence
from pathlib import Path

import msgspec
from foxspring_link import Codec, Link, LinkSettings, SystemClock
from foxspring_model import MESSAGES

from foxspring_control._replication import LogEntry, ProposeOutcome
from foxspring_control.raft._messages import RAFT_MESSAGES
from foxspring_control.raft._replicated_log import ReplicatedLog
from foxspring_control.raft._settings import Member, RaftSettings
from foxspring_control.raft._status import LeadershipChange

DEADLINE_S = 20.0
DEFAULT_PING_MS = LinkSettings().ping_interval_ms
_CODEC = Codec(b"secret", (*MESSAGES, *RAFT_MESSAGES))


def wait_until(condition: Callable[[], bool], description: str) -> None:
    """Poll until ``condition`` holds.

    Raises:
        AssertionError: it doesn't hold within ``DEADLINE_S``.
    """
    deadline = time.monotonic() + DEADLINE_S
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"not within {DEADLINE_S} s: {description}")
        time.sleep(0.01)


class RecordingStateMachine:
    """Keeps all applied bodies in memory; after a restart the log restores them."""

    def __init__(self) -> None:
        self.index = 0
        self.bodies: list[bytes] = []

    def applied_index(self) -> int:
        """Return the index of the last entry applied."""
        return self.index

    def apply(self, entries: Sequence[LogEntry]) -> list[bytes]:
        """Record the bodies of the entries."""
        self.index = entries[-1].log_index
        self.bodies += [entry.body for entry in entries]
        return [b"{}"] * len(entries)

    def write_snapshot(self, path: Path) -> int:
        """Write the bodies to ``path``."""
        path.write_bytes(msgspec.msgpack.encode((self.index, self.bodies)))
        return self.index

    def install_snapshot(self, path: Path) -> None:
        """Replace the bodies by those in ``path``."""
        kind = tuple[int, list[bytes]]
        self.index, self.bodies = msgspec.msgpack.decode(path.read_bytes(), type=kind)

    def digest(self) -> str:
        """Return the applied index and the number of bodies."""
        return f"{self.index}/{len(self.bodies)}"


class LinkMember:
    """One member with its link, folder and state machine."""

    def __init__(self, member_id: str, folder: Path, ping_ms: int) -> None:
        self.member_id = member_id
        self.folder = folder
        self.clock = SystemClock()
        self.leadership_changes: list[LeadershipChange] = []
        self.fatal_errors: list[str] = []
        self.received = 0
        self.log: ReplicatedLog | None = None
        self.state_machine = RecordingStateMachine()
        self.link = Link(
            "127.0.0.1:0",
            _CODEC,
            self._receive,
            self.clock,
            LinkSettings(ping_interval_ms=ping_ms),
        )
        self.member = Member(member_id, self.link.address)

    def start(
        self, group: tuple[Member, ...], snapshot_every: int, seed: int = 0
    ) -> None:
        """Open the data folder and join the group."""
        settings = RaftSettings(
            self.member_id,
            self.link.address,
            self.folder / "log",
            group,
            snapshot_every_entries=snapshot_every,
            retained_entries=snapshot_every // 5,
            seed=seed,
        )
        self.log = ReplicatedLog(
            settings,
            self.state_machine,
            self.link.send,
            self.clock,
            self.leadership_changes.append,
            self.fatal_errors.append,
        )
        self.link.start()
        self.log.start()

    def stop(self) -> None:
        """Close the log and the link."""
        if self.log is not None:
            self.log.close()
        self.link.close()

    def leads(self) -> bool:
        """Return whether the latest leadership change made this member the leader."""
        return bool(self.leadership_changes) and self.leadership_changes[-1].is_leader

    def propose(self, body: bytes) -> ProposeOutcome:
        """Propose an entry and wait for its outcome."""
        assert self.log is not None
        done = threading.Event()
        outcomes: list[ProposeOutcome] = []

        def on_done(outcome: ProposeOutcome) -> None:
            outcomes.append(outcome)
            done.set()

        self.log.propose("Test", body, on_done)
        assert done.wait(DEADLINE_S), "the proposal was never answered"
        return outcomes[0]

    def _receive(self, sender: str, message: object) -> None:
        self.received += 1
        if self.log is not None:
            self.log.receive(sender, message)


class LinkCluster:
    """A group of members that start together in a temporary folder."""

    def __init__(
        self,
        count: int,
        snapshot_every: int = 5_000,
        ping_ms: int = DEFAULT_PING_MS,
        seed: int = 0,
    ) -> None:
        self.ping_ms = ping_ms
        self.seed = seed
        self.folder = tempfile.TemporaryDirectory()
        self.snapshot_every = snapshot_every
        self.members = [self._make(f"m{n}") for n in range(1, count + 1)]
        group = tuple(member.member for member in self.members)
        for member in self.members:
            member.start(group, snapshot_every, seed)

    def _make(self, member_id: str) -> LinkMember:
        folder = Path(self.folder.name) / member_id
        folder.mkdir()
        return LinkMember(member_id, folder, self.ping_ms)

    def add(self, member_id: str) -> LinkMember:
        """Start a new member that is not yet in the group."""
        member = self._make(member_id)
        member.start((), self.snapshot_every)
        self.members.append(member)
        return member

    def leader(self) -> LinkMember:
        """Wait for a leader and return it."""
        wait_until(lambda: any(m.leads() for m in self.members), "a leader")
        return next(m for m in self.members if m.leads())

    def kill(self, member: LinkMember) -> None:
        """Stop a member without transferring its leadership."""
        self.members.remove(member)
        member.stop()

    def stop(self) -> None:
        """Stop all members and delete their folders."""
        for member in self.members:
            member.stop()
        self.folder.cleanup()
