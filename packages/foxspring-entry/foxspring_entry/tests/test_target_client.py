"""Targets that truncate, duplicate, delay or withhold their responses."""

import queue
import socket
import struct
import threading
import unittest
from typing import Any

from foxspring_link import ManualClock, SystemClock
from foxspring_model import Answered, RefusalReason, Refused, Uncertain, Verdict

from foxspring_entry._effects import CallTarget, SendRequest
from foxspring_entry._owner_requests import TargetOutcome
from foxspring_entry._owner_targets import CallResponse
from foxspring_entry._target_client import TargetClient
from foxspring_entry.tests import builders
from foxspring_entry.tests.raw_target import RawTarget, Script, request_id_of

_LONG_TIMEOUT_MS = 10_000
UNUSABLE_ADDRESSES = ("127.0.0.1:99999", "127.0.0.1:²", "nowhere", f"{'x' * 64}:80")
_RESET = struct.pack("ii", 1, 0)


def _answer(request: bytes, body: bytes = b"hello", extra: bytes = b"") -> bytes:
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % len(body)
    return (
        head + extra + b"Foxspring-Request-Id: " + request_id_of(request) + b"\r\n\r\n"
    )


def _respond_with(data: bytes, then_close: bool = True) -> Script:
    def script(connection: socket.socket, _request: bytes) -> None:
        connection.sendall(data)
        if then_close:
            connection.shutdown(socket.SHUT_RDWR)

    return script


def _respond_completely(connection: socket.socket, request: bytes) -> None:
    connection.sendall(_answer(request) + b"hello")


def _reset_connection(connection: socket.socket, _request: bytes) -> None:
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    connection.close()


class ClientCase(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = SystemClock()
        self.done: queue.SimpleQueue[tuple[str, TargetOutcome]] = queue.SimpleQueue()
        self.responses: queue.SimpleQueue[CallResponse] = queue.SimpleQueue()
        self.client = TargetClient(
            builders.settings("e-1", "c:1", max_answer_bytes=1_000),
            self.clock,
            lambda reservation_id, result: self.done.put((reservation_id, result)),
            lambda call_id, response: self.responses.put(response),
        )
        self.addCleanup(self.client.close)

    def target(self, script: Script) -> RawTarget:
        target = RawTarget(script)
        self.addCleanup(target.close)
        return target

    def start(
        self,
        address: str,
        request_id: str = "r-1",
        within_ms: int = _LONG_TIMEOUT_MS,
        **more: Any,
    ) -> None:
        now_ms = self.clock.monotonic_ms()
        relay = builders.relay(request_id, **more)
        self.client.send(
            SendRequest(
                request_id,
                "t-1",
                address,
                relay,
                now_ms + within_ms,
                now_ms + _LONG_TIMEOUT_MS,
            )
        )

    def outcome(self) -> TargetOutcome:
        return self.done.get(timeout=builders.DEADLINE_S)[1]


class AnswerTest(ClientCase):
    def test_only_complete_responses_count(self) -> None:
        start = b"HTTP/1.1 200 OK\r\n"
        chunked = start + b"Transfer-Encoding: chunked\r\n\r\n"
        cases: dict[str, tuple[Script, type]] = {
            "whole": (_respond_completely, Answered),
            "terminal chunk": (
                _respond_with(chunked + b"5\r\nhello\r\n0\r\n\r\n"),
                Answered,
            ),
            "cut body": (
                _respond_with(start + b"Content-Length: 9\r\n\r\nhell"),
                Uncertain,
            ),
            "cut head": (_respond_with(start + b"Content-Le"), Uncertain),
            "no terminal chunk": (
                _respond_with(chunked + b"5\r\nhello\r\n"),
                Uncertain,
            ),
            "cut chunk": (_respond_with(chunked + b"5\r\nhe"), Uncertain),
            "no length": (_respond_with(start + b"\r\nhello"), Uncertain),
            "not HTTP": (_respond_with(b"what?\r\n\r\n"), Uncertain),
            "closed": (_respond_with(b""), Uncertain),
            "reset": (_reset_connection, Uncertain),
            "too long": (
                _respond_with(start + b"Content-Length: 2000\r\n\r\n" + b"x" * 2_000),
                Uncertain,
            ),
            "of another request": (
                _respond_with(
                    start + b"Content-Length: 0\r\nFoxspring-Request-Id: r-0\r\n\r\n"
                ),
                Uncertain,
            ),
        }
        for name, (script, expected) in cases.items():
            with self.subTest(name):
                self.start(self.target(script).address)
                outcome = self.outcome().outcome
                self.assertIsInstance(outcome, expected)
                if isinstance(outcome, Answered):
                    self.assertEqual(outcome.body, b"hello")

    def test_slow_response_ends_at_the_deadline(self) -> None:
        stop = threading.Event()
        self.addCleanup(stop.set)

        def respond_slowly(connection: socket.socket, request: bytes) -> None:
            connection.sendall(_answer(request, b"x" * 900))
            while not stop.wait(0.02):
                connection.sendall(b"x")

        self.start(self.target(respond_slowly).address, within_ms=300)
        self.assertIsInstance(self.outcome().outcome, Uncertain)

    def test_abort_ends_the_wait(self) -> None:
        request_received = threading.Event()
        target = self.target(lambda connection, request: request_received.set())
        self.start(target.address)
        self.assertTrue(request_received.wait(builders.DEADLINE_S))
        self.client.abort("r-1")
        self.assertIsInstance(self.outcome().outcome, Uncertain)


class ConnectionTest(ClientCase):
    def test_refused_connection_did_not_run(self) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        host, port = listener.getsockname()
        listener.close()
        self.start(f"{host}:{port}")
        outcome = self.outcome().outcome
        assert isinstance(outcome, Refused)
        self.assertEqual(
            (outcome.reason, outcome.verdict),
            (RefusalReason.TARGET_UNREACHABLE, Verdict.NOT_RUN),
        )

    def test_request_to_an_address_that_cannot_be_used_did_not_run(self) -> None:
        for address in UNUSABLE_ADDRESSES:
            with self.subTest(address=address):
                self.start(address)
                outcome = self.outcome().outcome
                assert isinstance(outcome, Refused), outcome
                self.assertEqual(outcome.verdict, Verdict.NOT_RUN)

    def test_call_to_an_address_that_cannot_be_used_was_not_sent(self) -> None:
        send_by_ms = self.clock.monotonic_ms() + _LONG_TIMEOUT_MS
        for address in UNUSABLE_ADDRESSES:
            with self.subTest(address=address):
                self.client.call(
                    CallTarget(1, "t-1", address, "/v1/tasks", b"{}", 900, send_by_ms)
                )
                response = self.responses.get(timeout=builders.DEADLINE_S)
                self.assertEqual((response.status, response.sent), (None, False))

    def test_no_request_is_sent_after_its_send_deadline(self) -> None:
        target = self.target(_respond_completely)
        now_ms = self.clock.monotonic_ms()
        relay = builders.relay()
        self.client.send(
            SendRequest(
                "r-1", "t-1", target.address, relay, now_ms + _LONG_TIMEOUT_MS, now_ms
            )
        )
        outcome = self.outcome().outcome
        assert isinstance(outcome, Refused)
        self.assertEqual(outcome.reason, RefusalReason.STALE_OWNER)
        self.assertEqual(target.requests, [])

    def test_no_call_is_sent_after_its_send_deadline(self) -> None:
        target = self.target(_respond_completely)
        now_ms = self.clock.monotonic_ms()
        address = target.address
        self.client.call(CallTarget(1, "t-1", address, "/v1/tasks", b"{}", 900, now_ms))
        response = self.responses.get(timeout=builders.DEADLINE_S)
        self.assertEqual((response.status, response.sent), (None, False))
        self.assertEqual(target.requests, [])

    def test_duplicate_response_reaches_no_other_request(self) -> None:
        def respond_twice(connection: socket.socket, request: bytes) -> None:
            connection.sendall((_answer(request) + b"hello") * 2)

        target = self.target(respond_twice)
        for number in range(5):
            self.start(target.address, f"r-{number}")
            outcome = self.outcome().outcome
            assert isinstance(outcome, Answered)
            named = dict(outcome.headers)["Foxspring-Request-Id"]
            self.assertEqual(named, f"r-{number}")

    def test_connection_is_reused_only_if_the_response_has_the_request_id(self) -> None:
        unnamed = _respond_with(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", False)
        for script, connections in ((_respond_completely, 1), (unnamed, 3)):
            target = self.target(script)
            for _ in range(3):
                self.start(target.address)
                self.outcome()
            with self.subTest(connections=connections):
                self.assertEqual(target.connections, connections)

    def test_a_long_idle_connection_is_not_used(self) -> None:
        manual_clock = ManualClock()
        client = TargetClient(
            builders.settings("e-1", "c:1"),
            manual_clock,
            lambda reservation_id, result: self.done.put((reservation_id, result)),
            lambda call_id, response: None,
        )
        self.addCleanup(client.close)
        target = self.target(_respond_completely)
        relay = builders.relay(method="POST", idempotent=False)
        for idle_ms, connections in ((0, 1), (1_000, 1), (1_001, 2)):
            manual_clock.advance(idle_ms)
            until_ms = manual_clock.monotonic_ms() + _LONG_TIMEOUT_MS
            effect = SendRequest("r", "t-1", target.address, relay, until_ms, until_ms)
            client.send(effect)
            self.assertIsInstance(self.outcome().outcome, Answered)
            with self.subTest(idle_ms=idle_ms):
                self.assertEqual(target.connections, connections)


if __name__ == "__main__":
    unittest.main()
