"""Tests of three members with real logs, states and services, with restarts."""

import itertools
import queue
import tempfile
import time
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from foxspring_config import parse_configuration
from foxspring_link import SystemClock
from foxspring_model import (
    ApplyConfiguration,
    CancelJobs,
    Proposal,
    ProposalResult,
    SubmitJob,
)

from foxspring_control.raft import (
    RAFT_MESSAGES,
    Member,
    RaftSettings,
    ReplicatedLog,
)
from foxspring_control.service import ControlService, ServiceSettings
from foxspring_control.state import ControlState
from foxspring_control.state.tests.builders import CONFIGURATION, job_spec

MEMBER_IDS = ("control-1", "control-2", "control-3")
MEMBERS = tuple(Member(member_id, f"{member_id}:1") for member_id in MEMBER_IDS)
DEADLINE_S = 30.0
POLL_S = 0.02


def wait_for(condition: Callable[[], bool], what: str) -> None:
    """Poll until ``condition`` returns True; raise AssertionError on a timeout."""
    deadline = time.monotonic() + DEADLINE_S
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"timed out waiting until {what}")
        time.sleep(POLL_S)


class RunningMember:
    """One member's log, state and service."""

    def __init__(self, group: "Group", member_id: str) -> None:
        folder = group.folder / member_id
        folder.mkdir(exist_ok=True)
        address = f"{member_id}:1"
        self.state = ControlState(folder, parse_configuration)
        settings = RaftSettings(
            member_id,
            address,
            folder,
            MEMBERS,
            election_timeout_ms=400,
            heartbeat_ms=100,
            snapshot_every_entries=60,
            retained_entries=10,
        )

        def send(to: str, message: Any) -> None:
            group.deliver(address, to, message)

        self.log = ReplicatedLog(
            settings,
            self.state,
            send,
            SystemClock(),
            lambda change: self.service.on_leadership(change),
        )
        self.service = ControlService(
            ServiceSettings(), self.log, self.state, send, SystemClock()
        )

    def close(self) -> None:
        """Close the log, the service and the state."""
        self.log.close()
        self.service.close()
        self.state.close()


class Group:
    """Members that exchange messages by direct calls; some may be down."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.members: dict[str, RunningMember] = {}
        self.replies: queue.Queue[ProposalResult] = queue.Queue()
        self._ids = itertools.count()

    def start(self, *member_ids: str) -> None:
        """Start members."""
        for member_id in member_ids:
            self.members[member_id] = RunningMember(self, member_id)
            self.members[member_id].log.start()

    def stop(self, *member_ids: str) -> None:
        """Stop members."""
        for member_id in member_ids:
            self.members.pop(member_id).close()

    def deliver(self, sender: str, to: str, message: Any) -> None:
        """Pass a message to its receiver; drop it if the receiver is down."""
        if isinstance(message, ProposalResult):
            self.replies.put(message)
            return
        member = self.members.get(to.removesuffix(":1"))
        if member is not None and isinstance(message, RAFT_MESSAGES):
            member.log.receive(sender, message)

    def propose(self, command: Any) -> Any:
        """Propose a command to one member after another until it is applied."""
        body = msgspec.msgpack.encode(command)
        deadline = time.monotonic() + DEADLINE_S
        while time.monotonic() < deadline:
            for member in list(self.members.values()):
                proposal_id = str(next(self._ids))
                kind = type(command).__name__
                proposal = Proposal(proposal_id, "asker", kind, body)
                member.service.receive("asker", proposal)
                reply = self._reply(proposal_id)
                if reply is not None and reply.status == "applied":
                    return msgspec.json.decode(reply.result)
            time.sleep(POLL_S)
        raise AssertionError(f"no member applied {command}")

    def wait_equal(self, count: int) -> str:
        """Wait until ``count`` members have equal state; return its digest."""
        wait_for(
            lambda: len(self.members) == count and len(self._indexes()) == 1,
            "every member applied the same entries",
        )
        digests = {member.state.digest() for member in self.members.values()}
        if len(digests) != 1:
            raise AssertionError(f"digests differ: {digests}")
        return digests.pop()

    def _indexes(self) -> set[int]:
        members = list(self.members.values())
        return {member.state.applied_index() for member in members}

    def _reply(self, proposal_id: str) -> ProposalResult | None:
        try:
            while True:
                reply = self.replies.get(timeout=2)
                if reply.proposal_id == proposal_id:
                    return reply
        except queue.Empty:
            return None


class ControlGroupTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.group = Group(Path(folder.name))
        self.addCleanup(lambda: self.group.stop(*list(self.group.members)))

    def change(self, number: int) -> Any:
        text = CONFIGURATION + f"# {number}\n"
        command = ApplyConfiguration(f"c{number}", "eleni", number, text)
        return self.group.propose(command)

    def test_hundreds_of_changes_then_restarts_give_one_digest(self) -> None:
        group = self.group
        group.start(*MEMBER_IDS)
        for number in range(100):
            self.assertEqual(self.change(number)["status"], "ok")
        submitted = SubmitJob("s", "eleni", job_spec(5))
        first = group.propose(submitted)
        cancelled = CancelJobs("x", "eleni", (first["job_id"],))
        cancel_answer = group.propose(cancelled)
        group.wait_equal(3)
        for member_id in MEMBER_IDS:
            group.stop(member_id)
            group.start(member_id)
            self.assertEqual(group.propose(submitted), first)
            self.assertEqual(group.propose(cancelled), cancel_answer)
            self.assertEqual(self.change(7), {"status": "ok", "revision": 8})
        group.wait_equal(3)
        group.stop(*MEMBER_IDS)
        group.start(*MEMBER_IDS)
        self.assertEqual(group.propose(cancelled), cancel_answer)
        group.wait_equal(3)

    def test_a_member_that_missed_hundreds_of_changes_gets_a_snapshot(self) -> None:
        group = self.group
        group.start(*MEMBER_IDS)
        self.change(0)
        group.wait_equal(3)
        group.stop("control-3")
        for number in range(1, 200):
            self.assertEqual(self.change(number)["revision"], number + 1)
        group.start("control-3")
        group.wait_equal(3)
        late = group.members["control-3"].state
        with late.reading() as tables:
            self.assertEqual(tables.configurations.current().revision, 200)
        self.assertGreater(group.members["control-3"].log.status().snapshot_index, 60)
        group.stop("control-1", "control-2")
        group.start("control-1")
        self.assertEqual(self.change(200)["revision"], 201)
