"""Reasons of declined calls: bounded in length and rate, and harmless in upgrades."""

import unittest
from typing import Any, NamedTuple

import msgspec
from foxspring_link import Codec, ManualClock

from foxspring_jobs._decline_reasons import (
    MAX_ADDRESSES,
    REASON_INTERVAL_MS,
    DeclineReasons,
)
from foxspring_jobs._log_text import log_text
from foxspring_jobs._operations import DeclineReason, NotLeading
from foxspring_jobs._search_record import MAX_ANSWER_CHARS, MAX_MEMBERS, SearchRecord

DECLINES = 600
SECRET = b"secret"


class FormerNotLeading(NamedTuple):
    """The message as the version before issue 55 reads it."""

    call_id: int
    leader_address: str
    members: tuple[str, ...] = ()


class DeclineReasonsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.sent: list[tuple[str, Any]] = []
        self.asked = 0
        self.reasons = DeclineReasons(
            lambda address, message: self.sent.append((address, message)), self.clock
        )
        self.reasons.reason = self.reason

    def reason(self) -> str:
        self.asked += 1
        return "no quorum"

    def test_hundreds_of_declines_send_one_reason_a_second_to_each_caller(self) -> None:
        for _ in range(DECLINES):
            self.reasons.explain_to("e1", "a")
            self.reasons.explain_to("e2", "a")
            self.clock.advance(REASON_INTERVAL_MS // DECLINES)
        message = DeclineReason("a", "no quorum")
        self.assertEqual(self.sent, [("e1", message), ("e2", message)])
        self.clock.advance(REASON_INTERVAL_MS)
        self.reasons.explain_to("e1", "a")
        self.assertEqual(len(self.sent), 3)
        self.assertEqual(self.asked, 3)

    def test_many_callers_leave_little_in_memory(self) -> None:
        for number in range(10 * MAX_ADDRESSES):
            self.reasons.explain_to(f"e{number}", "a")
        kept: dict[str, int] = self.reasons.sent_ms
        self.assertLessEqual(len(kept), MAX_ADDRESSES)

    # Issue 55: a field more would have kept entries of the version before from
    # following the leader that a new member names.
    def test_decline_is_read_by_the_version_before(self) -> None:
        encoded = msgspec.msgpack.encode(NotLeading(7, "a:1", ("a:1",)))
        decoded = msgspec.msgpack.decode(encoded, type=FormerNotLeading)
        self.assertEqual(decoded.leader_address, "a:1")

    def test_reason_passes_the_codec(self) -> None:
        codec = Codec(SECRET, (DeclineReason,))
        message = DeclineReason("a:1", "no quorum")
        frame = codec.encode("a:1", message)
        self.assertEqual(codec.decode(frame), ("a:1", message))


class SearchRecordTest(unittest.TestCase):
    def test_summary_is_bounded_and_on_one_line(self) -> None:
        record = SearchRecord()
        for number in range(3 * MAX_MEMBERS):
            record.note_reason(f"m{number}", 'it\'s\n"odd" x=1 ' * 1_000)
        reasons = record.take().reasons
        self.assertLess(len(reasons), MAX_MEMBERS * (MAX_ANSWER_CHARS + 20))
        for character in "'\"\n=":
            self.assertNotIn(character, reasons)

    def test_reason_stays_beside_declines_and_silence(self) -> None:
        record = SearchRecord()
        record.note_declined("a", "")
        record.note_reason("a", "no quorum")
        record.note_declined("a", "b")
        record.note_unanswered("a")
        record.note_unanswered("b")
        record.note_declined("c", "")
        record.note_declined("c", "b")
        record.note_declined("c", "")
        summary = record.take()
        self.assertEqual(summary.reasons, "a: no quorum | b: no answer | c: names b")
        self.assertEqual((summary.declined, summary.unanswered), (5, 2))
        self.assertEqual(record.take().reasons, "")

    def test_text_is_cut(self) -> None:
        self.assertEqual(log_text("a" * 100, 10), "aaaaaaa...")


if __name__ == "__main__":
    unittest.main()
