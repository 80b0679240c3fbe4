"""Processes of a site that cannot listen are started again or reported."""

import os
import socket
import tempfile
import unittest
from pathlib import Path

from foxspring_testing._site import Site
from foxspring_testing._site_settings import SiteSize
from foxspring_testing._socket_owner import is_listening
from foxspring_testing._wait import NotReachedError, wait_until

SIZE = SiteSize(controls=3, entries=1, targets=1)


def occupy(address: str) -> socket.socket:
    """Return a foreign listener on an address of a site."""
    host, _, port = address.rpartition(":")
    return socket.create_server((host, int(port)))


class SiteStartTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.site = Site(Path(folder), SIZE)
        self.addCleanup(self.site.close)

    def addresses(self) -> list[tuple[str, str]]:
        daemons = self.site.daemons
        target = self.site.targets["target-1"]
        return [
            ("control-2", daemons["control-2"].link),
            ("entry-1", daemons["entry-1"].http),
            ("target-1", target.address),
            ("target-1", target.control_address),
        ]

    def test_process_that_can_never_listen_is_reported_with_the_reason(self) -> None:
        for name, address in self.addresses():
            with self.subTest(name=name, address=address), occupy(address):
                with self.assertRaises(NotReachedError) as raised:
                    self.start_all_and_kill()
                self.assertRegex(
                    str(raised.exception), f"{name} .*Address (already )?in use"
                )

    def test_process_that_could_not_listen_at_first_is_started_again(self) -> None:
        name, address = self.addresses()[0]
        with occupy(address):
            self.site.start(name)
            wait_until(
                lambda: self.site.processes[name].exit_code() is not None,
                f"the end of {name}",
            )
        for other in self.site.processes:
            if other != name:
                self.site.start(other)
        self.site.wait_ready()
        self.assertTrue(self.listens(name, address))

    def test_wait_ready_returns_only_when_a_restarted_process_listens(self) -> None:
        self.site.start_all()
        for name, address in self.addresses():
            with self.subTest(name=name, address=address):
                self.site.restart(name)
                self.site.wait_ready()
                self.assertTrue(self.listens(name, address))

    def start_all_and_kill(self) -> None:
        try:
            self.site.start_all()
        finally:
            for process in self.site.processes.values():
                process.kill()

    def listens(self, name: str, address: str) -> bool:
        return is_listening(self.site.processes[name].pid, address)


class IsListeningTest(unittest.TestCase):
    def test_only_the_listening_process_is_recognised(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            self.assertTrue(is_listening(os.getpid(), address))
            self.assertFalse(is_listening(os.getppid(), address))
            self.assertFalse(is_listening(0, address))
        self.assertFalse(is_listening(os.getpid(), address))
