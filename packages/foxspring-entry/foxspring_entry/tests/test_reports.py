"""Announcements and reports that violate the platform contract."""

import json
import unittest

from foxspring_entry._reports import MalformedBodyError, decode_announcement
from foxspring_entry.tests import builders


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


if __name__ == "__main__":
    unittest.main()
