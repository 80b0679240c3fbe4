"""Control members with real threads, links and files."""

import socket
import tempfile
import time
import unittest
from collections.abc import Callable
from pathlib import Path
from unittest import mock

from foxspring_link import SystemClock

from foxspring_jobs._leader_context import LeaderSettings
from foxspring_jobs._member import ControlMember, MemberSettings

TIMEOUT_S = 20.0


def free_addresses(count: int) -> tuple[str, ...]:
    """Return addresses on the loopback interface that were free just now."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    addresses = [f"127.0.0.1:{found.getsockname()[1]}" for found in sockets]
    for found in sockets:
        found.close()
    return tuple(addresses)


class MemberTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.addresses = free_addresses(4)
        self.founders = self.addresses[:3]

    def start(self, address: str, founding: bool) -> ControlMember:
        settings = MemberSettings(
            address,
            self.folder / address.replace(":", "-"),
            address,
            self.founders,
            founding,
            LeaderSettings(),
            group_size=3,
        )
        member = ControlMember(settings, b"", mock.Mock(), SystemClock())
        self.addCleanup(member.stop)
        member.start()
        return member

    def wait(self, condition: Callable[[], object]) -> None:
        end_s = time.monotonic() + TIMEOUT_S
        while not condition():
            self.assertLess(time.monotonic(), end_s)
            time.sleep(0.02)

    def wait_for_voters(self, members: list[ControlMember], count: int) -> None:
        self.wait(
            lambda: all(len(m.log.membership().voters()) == count for m in members)
        )
        self.wait(lambda: any(m.log.lease_valid() for m in members))

    # Issue 55: a planned stop left its voter in the group.
    def test_replaced_member_has_left_when_it_has_handed_over(self) -> None:
        members = [self.start(address, True) for address in self.founders]
        self.wait(lambda: any(m.log.lease_valid() for m in members))
        joining = self.addresses[3]
        for leads in (False, True):
            members.append(self.start(joining, False))
            self.wait_for_voters(members, 4)
            old = next(m for m in members if m.log.lease_valid() is leads)
            members.remove(old)
            old.hand_over()
            voters = [m.log.membership().voters() for m in members]
            self.assertTrue(any(old.member_id not in found for found in voters))
            old.stop()
            self.wait_for_voters(members, 3)
            joining = old.settings.link_address


if __name__ == "__main__":
    unittest.main()
