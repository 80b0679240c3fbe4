"""A group of members in one process over real links on loopback."""

import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path

from foxspring_link import Codec, Link, SystemClock
from foxspring_model import MESSAGES

from foxspring_control._replication import ProposeOutcome
from foxspring_control.raft import (
    RAFT_MESSAGES,
    LeadershipChange,
    Member,
    RaftSettings,
    ReplicatedLog,
)
from foxspring_control.raft.tests.builders import CountingStateMachine

DEADLINE_S = 20.0
_CODEC = Codec(b"secret", (*MESSAGES, *RAFT_MESSAGES))


def wait_until(condition: Callable[[], bool], description: str) -> None:
    """Poll until ``condition`` holds; fail after ``DEADLINE_S``."""
    deadline = time.monotonic() + DEADLINE_S
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"not within {DEADLINE_S} s: {description}")
        time.sleep(0.01)


class LinkMember:
    """One member with its link, folder and state machine."""

    def __init__(self, member_id: str, folder: Path) -> None:
        self.member_id = member_id
        self.folder = folder
        self.clock = SystemClock()
        self.leadership_changes: list[LeadershipChange] = []
        self.fatal_errors: list[str] = []
        self.log: ReplicatedLog | None = None
        self.state_machine = CountingStateMachine(folder / "machine")
        self.link = Link("127.0.0.1:0", _CODEC, self._receive, self.clock)
        self.member = Member(member_id, self.link.address)

    def start(self, group: tuple[Member, ...], snapshot_every: int = 5_000) -> None:
        settings = RaftSettings(
            self.member_id,
            self.link.address,
            self.folder / "log",
            group,
            snapshot_every_entries=snapshot_every,
            retained_entries=snapshot_every // 5,
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
        if self.log is not None:
            self.log.close()
        self.link.close()

    def leads(self) -> bool:
        return bool(self.leadership_changes) and self.leadership_changes[-1].is_leader

    def propose(self, body: bytes) -> ProposeOutcome:
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
        if self.log is not None:
            self.log.receive(sender, message)


class LinkCluster:
    """A group of members that start together in a temporary folder."""

    def __init__(self, count: int, snapshot_every: int = 5_000) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.snapshot_every = snapshot_every
        self.members = [self._make(f"m{n}") for n in range(1, count + 1)]
        group = tuple(member.member for member in self.members)
        for member in self.members:
            member.start(group, snapshot_every)

    def _make(self, member_id: str) -> LinkMember:
        folder = Path(self.folder.name) / member_id
        folder.mkdir()
        return LinkMember(member_id, folder)

    def add(self, member_id: str) -> LinkMember:
        member = self._make(member_id)
        member.start((), self.snapshot_every)
        self.members.append(member)
        return member

    def leader(self) -> LinkMember:
        wait_until(lambda: any(m.leads() for m in self.members), "a leader")
        return next(m for m in self.members if m.leads())

    def kill(self, member: LinkMember) -> None:
        self.members.remove(member)
        member.stop()

    def stop(self) -> None:
        for member in self.members:
            member.stop()
        self.folder.cleanup()
