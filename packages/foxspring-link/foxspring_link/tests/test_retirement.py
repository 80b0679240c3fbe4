"""A socket is not closed while it may be trying to connect."""

import socket
import threading
import time
import unittest
from typing import Any
from unittest import mock

from foxspring_model import MESSAGES, ForwardedReport

from foxspring_link import Codec, Link, LinkSettings, SystemClock
from foxspring_link import _retirement as retirement
from foxspring_link._nng import pynng

DEADLINE_S = 20.0
ATTEMPT_S = 1.0
NO_THREADS = RuntimeError("can't start new thread")
MESSAGE = ForwardedReport("target-1", b"{}")


class RetirementTest(unittest.TestCase):
    def setUp(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as probe:
            self.address = f"127.0.0.1:{probe.getsockname()[1]}"
        self.closed: list[float] = []
        self.closing = threading.Event()
        self.received = threading.Event()
        self.dialled: list[str] = []
        dial = pynng.Push0.dial

        def record_dial(push: Any, url: str, block: bool) -> Any:
            if url.endswith(self.address):
                self.dialled.append(url)
            return dial(push, url, block=block)

        self.enterContext(mock.patch.object(pynng.Push0, "dial", record_dial))
        close = pynng.Push0.close

        def record_close(push: Any) -> None:
            own = any(dialer.url.endswith(self.address) for dialer in push.dialers)
            close(push)
            if own:
                self.closed.append(time.monotonic())
                self.closing.set()

        self.enterContext(mock.patch.object(pynng.Push0, "close", record_close))

    def link(
        self, settings: LinkSettings | None = None, address: str = "127.0.0.1:0"
    ) -> Link:
        codec = Codec(b"secret", MESSAGES)
        link = Link(
            address,
            codec,
            lambda _sender, _message: self.received.set(),
            SystemClock(),
            settings or LinkSettings(),
        )
        self.addCleanup(link.close)
        link.start()
        return link

    def assert_closed_after_last_attempt(self, since_s: float) -> None:
        self.assertTrue(self.closing.wait(DEADLINE_S))
        self.assertGreaterEqual(self.closed[0] - since_s, retirement.LAST_ATTEMPT_S)

    def test_closed_link_closes_the_socket_of_a_peer_that_is_down_later(self) -> None:
        link = self.link()
        link.send(self.address, MESSAGE)
        began_s = time.monotonic()
        link.close()
        self.assert_closed_after_last_attempt(began_s)

    def test_removed_peer_that_is_down(self) -> None:
        link = self.link()
        link.send(self.address, MESSAGE)
        began_s = time.monotonic()
        link.disconnect(self.address)
        self.assert_closed_after_last_attempt(began_s)

    def test_redialled_peer_that_is_down(self) -> None:
        link = self.link(LinkSettings(ping_interval_ms=20, silence_limit_ms=100))
        link.send(self.address, MESSAGE)
        began_s = time.monotonic()
        self.assert_closed_after_last_attempt(began_s)
        self.assertGreater(link.counters().redials, 0)

    def test_connected_socket_is_closed_at_once(self) -> None:
        sender, receiver = self.link(), self.link()
        self.address = receiver.address
        sender.send(receiver.address, MESSAGE)
        deadline_s = time.monotonic() + DEADLINE_S
        while not receiver.counters().bytes_received:
            self.assertLess(time.monotonic(), deadline_s)
            time.sleep(0.01)
        sender.close()
        self.assertTrue(self.closing.is_set())

    def test_socket_is_replaced_once_its_connection_has_ended(self) -> None:
        address = self.address
        sender = self.link(LinkSettings(silence_limit_ms=60_000))
        counts = []
        for _ in range(3):
            receiver = self.link(address=address)
            received = threading.Event()
            self.received = received
            deadline_s = time.monotonic() + DEADLINE_S
            while not received.is_set():
                self.assertLess(time.monotonic(), deadline_s)
                sender.send(address, MESSAGE)
                received.wait(0.05)
            receiver.close()
            counts.append(len(self.dialled))
        self.assertEqual([1, 2, 3], counts)

    # Soak 50105: without a thread to close a socket, sends raised.
    def test_send_replaces_an_ended_connection_when_there_are_no_threads(self) -> None:
        sender = self.link(LinkSettings(silence_limit_ms=60_000))
        receiver = self.link(address=self.address)
        self.send_until_received(sender)
        receiver.close()
        self.received.clear()
        with mock.patch.object(threading.Timer, "start", side_effect=NO_THREADS):
            deadline_s = time.monotonic() + DEADLINE_S
            while len(self.dialled) < 2:
                self.assertLess(time.monotonic(), deadline_s)
                sender.send(self.address, MESSAGE)
                time.sleep(0.01)
        self.link(address=self.address)
        self.send_until_received(sender)

    def test_socket_without_a_thread_is_closed_together_with_the_next_one(self) -> None:
        sockets = [pynng.Push0(), pynng.Push0()]
        for push in sockets:
            push.dial(f"tcp://{self.address}", block=False)
        began_s = time.monotonic()
        with mock.patch.object(threading.Timer, "start", side_effect=NO_THREADS):
            retirement.retire(sockets[0])
        self.assertEqual(self.closed, [])
        retirement.retire(sockets[1])
        while len(self.closed) < len(sockets):
            self.assertLess(time.monotonic() - began_s, DEADLINE_S)
            time.sleep(0.01)

    # Soak 50105: an exception while a message was handled left the process deaf.
    def test_link_receives_on_after_an_exception(self) -> None:
        sender, receiver = self.link(), self.link()
        self.address = receiver.address
        failures = [NO_THREADS]
        handle = receiver._handle_frame

        def fail_once(frame: bytes) -> None:
            if failures:
                raise failures.pop()
            handle(frame)

        with (
            mock.patch.object(receiver, "_handle_frame", fail_once),
            self.assertLogs("foxspring_link", "ERROR"),
        ):
            self.send_until_received(sender)

    def send_until_received(self, sender: Link) -> None:
        """Send messages to the address until one has been received."""
        deadline_s = time.monotonic() + DEADLINE_S
        while not self.received.is_set():
            self.assertLess(time.monotonic(), deadline_s)
            sender.send(self.address, MESSAGE)
            self.received.wait(0.05)

    def test_retired_socket_makes_no_attempt_after_its_last_one(self) -> None:
        push = pynng.Push0(
            reconnect_time_min=retirement.RECONNECT_MIN_MS,
            reconnect_time_max=retirement.RECONNECT_MAX_MS,
        )
        push.dial(f"tcp://{self.address}", block=False)
        with mock.patch.object(retirement, "LAST_ATTEMPT_S", DEADLINE_S):
            timer = mock.Mock()
            with mock.patch.object(threading, "Timer", timer):
                retirement.retire(push)
        timer.return_value.start.assert_called_once_with()
        time.sleep(retirement.RECONNECT_MAX_MS / 1_000 + ATTEMPT_S)
        host, _, port = self.address.rpartition(":")
        with socket.create_server((host, int(port))) as server:
            server.settimeout(2 * retirement.RECONNECT_MAX_MS / 1_000)
            with self.assertRaises(TimeoutError):
                server.accept()
        push.close()
