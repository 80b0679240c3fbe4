"""Links whose open connections fall silent in both directions."""

import unittest

from foxspring_link import Codec, Link, LinkSettings, SystemClock
from foxspring_model import MESSAGES, TaskEventsAck

from foxspring_testing._fault_network import ANYONE, FaultNetwork
from foxspring_testing._ports import PortChooser
from foxspring_testing._wait import wait_until

EAGER = LinkSettings(ping_interval_ms=50, silence_limit_ms=200)
PATIENT = LinkSettings(ping_interval_ms=50, silence_limit_ms=600)


class LinkSilenceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.network = FaultNetwork(lambda _: {})
        self.addCleanup(self.network.stop)
        self.ports = PortChooser()
        self.heard: set[tuple[str, str]] = set()
        self.eager = self.link("eager", EAGER)
        self.patient = self.link("patient", PATIENT)

    def link(self, name: str, settings: LinkSettings) -> Link:
        address = self.ports.free_address()
        link = Link(
            address,
            Codec(b"secret", MESSAGES),
            lambda _sender, message: self.heard.add((name, message.batch_id)),
            SystemClock(),
            settings,
            self.network.add_proxy(name, address),
        )
        link.start()
        self.addCleanup(link.close)
        return link

    def wait_both_ways(self, word: str) -> None:
        def heard_both() -> bool:
            self.eager.send(self.patient.address, TaskEventsAck(word))
            self.patient.send(self.eager.address, TaskEventsAck(word))
            return {("eager", word), ("patient", word)} <= self.heard

        wait_until(heard_both, f"{word!r} heard at both ends", within_s=10)

    def test_both_directions_recover_though_one_end_redials_first(self) -> None:
        self.wait_both_ways("before")
        self.assertGreater(self.network.silence(ANYONE, ANYONE), 0)
        self.wait_both_ways("after")
