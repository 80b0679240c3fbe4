"""Ports given out by the harness stay free until their listeners start."""

import os
import socket
import subprocess
import sys
import unittest
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

from foxspring_testing._ports import HOST, PortChooser, ports_outside
from foxspring_testing._process import package_path

ADDRESSES = 300
KERNEL_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
PRINT_ADDRESSES = """
import sys
from foxspring_testing._ports import PortChooser
chooser = PortChooser()
print(*(chooser.free_address() for _ in range(int(sys.argv[1]))), flush=True)
sys.stdin.read()
"""


def port_of(address: str) -> int:
    return int(address.rpartition(":")[2])


class PortChooserTest(unittest.TestCase):
    def chooser(self, ports: Sequence[int] | None = None) -> PortChooser:
        chooser = PortChooser(ports)
        self.addCleanup(chooser.close)
        return chooser

    def other_process(self) -> subprocess.Popen[str]:
        """Start a process that prints addresses and keeps their chooser."""
        child = subprocess.Popen(
            [sys.executable, "-c", PRINT_ADDRESSES, str(ADDRESSES)],
            env=os.environ | {"PYTHONPATH": package_path()},
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(child.communicate)
        return child

    def test_choosers_of_several_processes_return_no_address_twice(self) -> None:
        children = [self.other_process() for _ in range(3)]
        addresses: list[str] = []
        for child in children:
            assert child.stdout is not None
            addresses += child.stdout.readline().split()
        chooser = self.chooser()
        addresses += [chooser.free_address() for _ in range(ADDRESSES)]
        self.assertEqual((len(children) + 1) * ADDRESSES, len(addresses))
        repeated = sorted(each for each, n in Counter(addresses).items() if n > 1)
        self.assertEqual([], repeated)

    def test_kernel_does_not_choose_a_returned_port_for_another_socket(self) -> None:
        first, last = map(int, KERNEL_RANGE.read_text().split())
        chooser = self.chooser()
        ports = {port_of(chooser.free_address()) for _ in range(ADDRESSES)}
        self.assertEqual(set(), ports & set(range(first, last + 1)))

    def test_port_of_a_foreign_listener_is_not_returned(self) -> None:
        with socket.create_server((HOST, 0)) as listener:
            chooser = self.chooser((listener.getsockname()[1],))
            with self.assertRaises(OSError):
                chooser.free_address()

    def test_closed_chooser_releases_its_ports(self) -> None:
        first, second = self.chooser(), self.chooser()
        address = first.free_address()
        second.ports = (port_of(address),)
        with self.assertRaises(OSError):
            second.free_address()
        first.close()
        self.assertEqual(address, second.free_address())


class PortsOutsideTest(unittest.TestCase):
    def test_longest_range_outside_the_kernel_range_is_used(self) -> None:
        cases = [
            ((32_768, 60_999), range(10_000, 32_768)),
            ((10_000, 20_000), range(20_001, 65_536)),
            ((5_000, 8_000), range(10_000, 65_536)),
            ((1_024, 65_535), range(10_000, 65_536)),
        ]
        for kernel_range, expected in cases:
            with self.subTest(kernel_range=kernel_range):
                self.assertEqual(expected, ports_outside(*kernel_range))
