"""A group of control members in one process, with their own links, logs and disks."""

import pathlib
import socket
import tempfile
import time
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

from foxspring_link import SystemClock

from foxspring_jobs._leader_context import LeaderSettings
from foxspring_jobs._member import ControlMember, MemberSettings
from foxspring_jobs._operations import Answer

DEADLINE_S = 15.0
CALL_TIMEOUT_MS = 3_000


def free_addresses(count: int) -> tuple[str, ...]:
    """Return addresses that nothing listens on."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    addresses = tuple(f"127.0.0.1:{s.getsockname()[1]}" for s in sockets)
    for opened in sockets:
        opened.close()
    return addresses


class RealGroup:
    """Founding members that are stopped with their test."""

    def __init__(self, test: unittest.TestCase, count: int) -> None:
        self.test = test
        folder = tempfile.TemporaryDirectory()
        test.addCleanup(folder.cleanup)
        seeds = free_addresses(count)
        self.members = []
        for number, address in enumerate(seeds):
            settings = MemberSettings(
                address,
                pathlib.Path(folder.name) / str(number),
                f"fd-{number}",
                seeds,
                True,
                LeaderSettings(),
            )
            member = ControlMember(settings, b"", mock.Mock(), SystemClock())
            member.start()
            test.addCleanup(member.stop)
            self.members.append(member)
        self.wait_until(self.leads)

    def wait_until(self, condition: Callable[[], bool]) -> None:
        """Fail the test unless a condition holds before the deadline."""
        deadline = time.monotonic() + DEADLINE_S
        while not condition():
            self.test.assertLess(time.monotonic(), deadline, "not in time")
            time.sleep(0.02)

    def call(self, operation: Any, member: int = 0) -> Answer:
        """Call the leader through a member."""
        return self.members[member].caller.call(operation, CALL_TIMEOUT_MS)

    def leader(self) -> ControlMember | None:
        """Return the member that has taken the state over, if there is one."""
        for member in self.members:
            if member.service.leader is not None:
                return member
        return None

    def leads(self) -> bool:
        """Return whether a member has taken the state over."""
        return self.leader() is not None
