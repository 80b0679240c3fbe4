"""Links recover after their open connections drop all bytes in both directions."""

import unittest

from foxspring_link import Codec, Link, LinkSettings, SystemClock
from foxspring_model import MESSAGES, TaskEventsAck

from foxspring_testing._fault_network import ANY_PROCESS, FaultNetwork
from foxspring_testing._ports import PortChooser
from foxspring_testing._wait import wait_until

SHORT_SILENCE_LIMIT = LinkSettings(ping_interval_ms=50, silence_limit_ms=200)
LONG_SILENCE_LIMIT = LinkSettings(ping_interval_ms=50, silence_limit_ms=600)


class LinkSilenceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.network = FaultNetwork(lambda _: {})
        self.addCleanup(self.network.stop)
        self.ports = PortChooser()
        self.addCleanup(self.ports.close)
        self.received: set[tuple[str, str]] = set()
        self.short_limit_link = self.link("short-limit", SHORT_SILENCE_LIMIT)
        self.long_limit_link = self.link("long-limit", LONG_SILENCE_LIMIT)

    def link(self, name: str, settings: LinkSettings) -> Link:
        address = self.ports.free_address()
        link = Link(
            address,
            Codec(b"secret", MESSAGES),
            lambda _sender, message: self.received.add((name, message.batch_id)),
            SystemClock(),
            settings,
            self.network.add_proxy(name, address),
        )
        link.start()
        self.addCleanup(link.close)
        return link

    def wait_both_ways(self, text: str) -> None:
        def received_both() -> bool:
            self.short_limit_link.send(
                self.long_limit_link.address, TaskEventsAck(text)
            )
            self.long_limit_link.send(
                self.short_limit_link.address, TaskEventsAck(text)
            )
            return {("short-limit", text), ("long-limit", text)} <= self.received

        wait_until(received_both, f"{text!r} received at both ends", timeout_s=10)

    def test_both_directions_recover_when_one_end_redials_first(self) -> None:
        self.wait_both_ways("before")
        self.assertGreater(
            self.network.drop_open_connections(ANY_PROCESS, ANY_PROCESS), 0
        )
        self.wait_both_ways("after")
