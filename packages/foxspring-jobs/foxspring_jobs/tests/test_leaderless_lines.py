"""The last five lines of one process name the cause for which no leader serves."""

import contextlib
import errno
import re
import shutil
import time
import unittest
from pathlib import Path
from typing import Any, cast
from unittest import mock

from foxspring_control.raft import RAFT_MESSAGES, RaftSettings
from foxspring_control.raft._state import RaftState

from foxspring_jobs import _member, _service
from foxspring_jobs._state_machine import JobStateMachine
from foxspring_jobs.tests.small_group import (
    CANCEL,
    ELECTION_MS,
    ENTRY,
    READ,
    WAIT_S,
    Passes,
    SmallGroup,
    wait_until,
)

LOG_INTERVAL_MS = 1_000
LEAST_CALLS = 200
POLL_S = 0.1
NO_SPACE = mock.Mock(free=0)


def loses_votes(_sender: str, _receiver: str, message: Any) -> bool:
    """Drop granted votes, but not pre-votes."""
    is_vote = type(message).__name__ == "VoteReply"
    return not (is_vote and message.granted and not message.pre_vote)


class LeaderlessLinesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.resources = contextlib.ExitStack()
        self.addCleanup(self.resources.close)
        self.patch(_member, "LEADERLESS_LOG_INTERVAL_MS", LOG_INTERVAL_MS)

    def patch(self, owner: Any, name: str, value: Any) -> None:
        self.resources.enter_context(mock.patch.object(owner, name, value))

    def group(self, passes: Passes = lambda *_: True) -> SmallGroup:
        return self.resources.enter_context(SmallGroup("abc", passes))

    def check_lines(
        self, group: SmallGroup, causes: dict[str, str], operation: Any = READ
    ) -> None:
        """Send hundreds of calls, and look for the cause in each one's last lines."""
        group.start_calls(operation)
        deadline = time.monotonic() + WAIT_S
        while not self.are_named(group, causes) and time.monotonic() < deadline:
            time.sleep(POLL_S)
        for owner, cause in causes.items():
            with self.subTest(owner=owner):
                self.assertGreaterEqual(group.calls[owner], LEAST_CALLS)
                self.assertRegex(group.last_lines(owner), cause)

    def are_named(self, group: SmallGroup, causes: dict[str, str]) -> bool:
        return all(
            group.calls[owner] >= LEAST_CALLS
            and re.search(cause, group.last_lines(owner))
            for owner, cause in causes.items()
        )

    # Issue 55: each of these causes left the same lines, refused calls alone.
    def test_no_quorum_is_named(self) -> None:
        group = self.group()
        group.start()
        wait_until(group.leader, "a leader")
        for name in ("b", "c"):
            group.stop_member(name)
        cause = r"no quorum: 1 of 3 voters answer, 2 needed"
        self.check_lines(
            group, {"a": rf"{cause}.*b silent; c silent", ENTRY: rf"a: {cause}"}
        )

    def test_elections_without_end_are_named(self) -> None:
        group = self.group(loses_votes)
        group.start()
        cause = r"elections without a leader: 3 of 3 voters answer"
        counted = rf"{cause}.*elections=([2-9]|\d\d)"
        self.check_lines(group, {"a": counted, ENTRY: rf"{cause}.* elections"})

    def test_state_that_no_member_can_take_over_is_named(self) -> None:
        failing = mock.Mock(side_effect=ValueError("odd state"))
        self.patch(_service, "decode_state", failing)
        group = self.group()
        group.start()
        # Its leader answers what is read, so that only changes are refused.
        cause = "ValueError: odd state"
        causes = {"a": cause, ENTRY: rf"call_unserved.*{cause}"}
        self.check_lines(group, causes, CANCEL)

    def test_full_disk_is_named(self) -> None:
        group = self.group()
        full = mock.Mock(side_effect=OSError(errno.ENOSPC, "No space left on device"))
        for member in group.members.values():
            cast(Any, member.log)._storage.log._write_partial = full
        self.patch(shutil, "disk_usage", lambda _folder: NO_SPACE)
        group.start()
        cause = r"log stands still for \d{4} ms in disk_space:\w+, 0 bytes free"
        self.check_lines(group, {"a": cause, ENTRY: cause})

    def test_lease_that_is_never_valid_is_named(self) -> None:
        self.patch(RaftState, "lease_valid", lambda _state, _now_ms: False)
        group = self.group()
        group.start()
        wait_until(group.leader, "a leader")
        cause = r"leads without a valid lease: 3 of 3 voters answer"
        self.check_lines(group, {ENTRY: rf"[abc]: {cause}"})
        # Another member may lead by now.
        wait_until(
            lambda: re.search(cause, group.last_lines(group.leader())),
            "the leader names the cause",
        )
        self.assertGreaterEqual(group.calls[group.leader()], LEAST_CALLS)

    def test_leader_lost_at_each_snapshot_is_named(self) -> None:
        cut_until = [0.0]
        write = JobStateMachine.write_snapshot
        make_settings = _member.raft_settings

        def cutting_write(machine: JobStateMachine, path: Path) -> int:
            cut_until[0] = time.monotonic() + 3 * ELECTION_MS / 1_000
            time.sleep(3 * ELECTION_MS / 1_000)
            return write(machine, path)

        def often(settings: Any, member_id: str) -> RaftSettings:
            made = make_settings(settings, member_id)
            return made._replace(snapshot_every_entries=1, retained_entries=1)

        def passes(_sender: str, _receiver: str, message: Any) -> bool:
            is_raft = isinstance(message, RAFT_MESSAGES)
            return not is_raft or time.monotonic() >= cut_until[0]

        self.patch(JobStateMachine, "write_snapshot", cutting_write)
        self.patch(_member, "raft_settings", often)
        group = self.group(passes)
        group.start()
        cause = r"([2-9]|\d\d) leaders lost in 60 s, [1-9]\d* at a snapshot"
        counted = r"leaders_lost=([2-9]|\d\d) lost_at_snapshot=[1-9]"
        self.check_lines(group, {"a": rf"{cause}|{counted}", ENTRY: cause})


if __name__ == "__main__":
    unittest.main()
