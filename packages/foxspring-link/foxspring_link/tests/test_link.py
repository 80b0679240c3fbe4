"""The message codec, and a link between two ends in one process."""

import threading
import unittest
from typing import Any

from foxspring_model import MESSAGES, ForwardedReport, TargetSeen

from foxspring_link import Codec, Link, MalformedMessageError, SystemClock

_DEADLINE_S = 20


class CodecTest(unittest.TestCase):
    def test_decodes_what_it_encoded(self) -> None:
        codec = Codec(b"secret", MESSAGES)
        message = ForwardedReport("target-1", b"{}")
        self.assertEqual(codec.decode(codec.encode("a:1", message)), ("a:1", message))

    def test_rejects_malformed_frames(self) -> None:
        codec = Codec(b"secret", MESSAGES)
        valid_frame = codec.encode("a:1", ForwardedReport("target-1", b"{}"))
        cases = {
            "other secret": Codec(b"x", MESSAGES).encode(
                "a:1", ForwardedReport("t", b"")
            ),
            "flipped bit": valid_frame[:-1] + bytes([valid_frame[-1] ^ 1]),
            "cut short": valid_frame[:-1],
            "empty": b"",
            "unknown kind": Codec(b"secret", [TargetSeen]).encode("a:1", (1, 2)),
        }
        for name, frame in cases.items():
            with self.subTest(name), self.assertRaises(MalformedMessageError):
                codec.decode(frame)


class LinkTest(unittest.TestCase):
    def test_message_reaches_the_peer_and_its_reply_returns(self) -> None:
        codec = Codec(b"secret", MESSAGES)
        answered = threading.Event()
        received: list[Any] = []

        def on_reply(_sender: str, message: Any) -> None:
            received.append(message)
            answered.set()

        first = Link("127.0.0.1:0", codec, on_reply, SystemClock())
        second = Link(
            "127.0.0.1:0",
            codec,
            lambda sender, message: echo(sender, message),
            SystemClock(),
        )

        def echo(sender: str, message: Any) -> None:
            second.send(sender, message)

        for link in (first, second):
            link.start()
            self.addCleanup(link.close)
        message = ForwardedReport("target-1", b"{}")
        first.send(second.address, message)
        self.assertTrue(answered.wait(_DEADLINE_S))
        self.assertEqual(received, [message])
