"""Announcements and reports that violate the platform contract."""

import json
import unittest
from collections.abc import Callable, Iterator
from typing import Any

import msgspec
from foxspring_model import MAX_AMOUNT, MAX_INT64

from foxspring_entry._reports import (
    MalformedBodyError,
    decode_announcement,
    decode_report,
)
from foxspring_entry.tests import builders

Decode = Callable[[bytes], Any]


def bodies(number: int) -> Iterator[tuple[str, Decode, bytes]]:
    """Yield bodies with ``number`` in one of their fields, and their decoders."""
    yield "incarnation", decode_announcement, builders.announcement(incarnation=number)
    sizes = builders.CAPACITY._asdict()
    for field in sizes:
        body = builders.announcement(capacity={**sizes, field: number})
        yield f"capacity.{field}", decode_announcement, body
    for field in (
        "incarnation",
        "sequence",
        "measured_ms",
        "target_ms",
        "cores_milli",
        "memory_mb",
    ):
        yield f"report {field}", decode_report, report(**{field: number})
    for field in ("epoch", "cores_milli", "memory_mb"):
        status = builders.task_status("job-1/0", **{field: number})
        yield f"tasks.{field}", decode_report, report(tasks=[status])
    for field in sizes:
        resources = {**sizes, field: number}
        status = builders.task_status("job-1/0", resources=resources)
        yield f"tasks.resources.{field}", decode_report, report(tasks=[status])
    latency = {"service": "register", "count": 1, "p50_us": 1, "p99_us": 1}
    for field in ("count", "p50_us", "p99_us"):
        latencies = [{**latency, field: number}]
        yield f"latencies.{field}", decode_report, report(latencies=latencies)


def report(**changes: Any) -> bytes:
    """Return the body of a report."""
    return json.dumps({**builders.report(), **changes}).encode()


class AnnouncementTest(unittest.TestCase):
    def test_address_of_a_target_is_decoded(self) -> None:
        for address in ("127.0.0.1:1", "target-1.example:65535"):
            with self.subTest(address=address):
                body = decode_announcement(builders.announcement(address=address))
                self.assertEqual(body["address"], address)

    def test_address_that_no_connection_can_use_is_malformed(self) -> None:
        ports = ("0", "65536", "99999", "²", "٣", "-1", "", "9" * 5_000)
        for address in (*(f"127.0.0.1:{port}" for port in ports), ":80", "nowhere"):
            refused = self.assertRaisesRegex(MalformedBodyError, "address")
            with self.subTest(address=address[:20]), refused:
                decode_announcement(builders.announcement(address=address))

    def test_invalid_announcement_is_malformed(self) -> None:
        negative = {**builders.CAPACITY._asdict(), "memory_mb": -1}
        cases = (
            b"",
            b"\xff\xfe",
            b"[]",
            builders.announcement(target_id=""),
            builders.announcement(incarnation=-1),
            builders.announcement(capacity=negative),
            json.dumps({"target_id": "t-1"}).encode(),
        )
        for body in cases:
            with self.subTest(body=body[:60]), self.assertRaises(MalformedBodyError):
                decode_announcement(body)


class NumberTest(unittest.TestCase):
    """Numbers that messages, stored data or sums could not hold."""

    def test_number_that_no_message_can_hold_is_malformed(self) -> None:
        for number in (2**64, -(2**64), 10**30):
            for name, decode, body in bodies(number):
                refused = self.assertRaises(MalformedBodyError)
                with self.subTest(name, number=number), refused:
                    decode(body)

    def test_whatever_is_decoded_fits_into_a_message(self) -> None:
        for number in (MAX_AMOUNT, MAX_INT64, 2**63):
            for name, decode, body in bodies(number):
                with self.subTest(name, number=number):
                    try:
                        decoded = decode(body)
                    except MalformedBodyError:
                        continue
                    msgspec.msgpack.encode(decoded)

    def test_numbers_of_every_size_in_use_are_decoded(self) -> None:
        for number in (0, 1, 2**31):
            for name, decode, body in bodies(number):
                with self.subTest(name, number=number):
                    decode(body)

    def test_clocks_and_counters_may_be_any_64_bit_integer(self) -> None:
        wide = {"incarnation", "sequence", "measured_ms", "target_ms", "tasks.epoch"}
        for name, decode, body in bodies(MAX_INT64):
            if name.rpartition(" ")[2] in wide:
                with self.subTest(name):
                    decode(body)


if __name__ == "__main__":
    unittest.main()
