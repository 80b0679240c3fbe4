"""An event is formatted as one line, whatever its values contain."""

import logging
import sys
import threading
import unittest
from unittest import mock

from foxspring_daemon._logging import KeyValueFormatter, log_thread_failure, quote


def format_line(message: str, *values: object, failing: bool = False) -> str:
    record = logging.LogRecord("m", logging.INFO, "f", 1, message, values, None)
    if failing:
        try:
            raise ValueError("first\nsecond")
        except ValueError:
            record.exc_info = sys.exc_info()
    return KeyValueFormatter("entry-1").format(record)


class FormatterTest(unittest.TestCase):
    def test_lines(self) -> None:
        cases = [
            (format_line("event=started id=%s", "a"), "event=started id=a"),
            (format_line("event=x v=%s", "a\nlevel=error"), "v=a\\nlevel=error"),
            (
                format_line("a library's words"),
                'event=message text="a library\'s words"',
            ),
            (format_line("event=failed", failing=True), "ValueError: first\\nsecond"),
        ]
        for line, expected in cases:
            with self.subTest(expected):
                self.assertIn(expected, line)
                self.assertNotIn("\n", line)
                self.assertIn(" daemon=entry-1 ", line)

    def test_each_line_shows_its_own_time(self) -> None:
        formatter = KeyValueFormatter("entry-1")
        cases = [
            (0.25, "time=1970-01-01T00:00:00.250Z "),
            (0.75, "time=1970-01-01T00:00:00.750Z "),
            (61.5, "time=1970-01-01T00:01:01.500Z "),
            (0.5, "time=1970-01-01T00:00:00.500Z "),
        ]
        for created, expected in cases:
            record = logging.LogRecord("m", logging.INFO, "f", 1, "event=x", (), None)
            record.created = created
            record.msecs = created % 1 * 1_000
            with self.subTest(created):
                self.assertTrue(formatter.format(record).startswith(expected))

    def test_quote(self) -> None:
        cases = {"plain": "plain", "": '""', 'a "b"': '"a \\"b\\""', "a\tb": '"a\\tb"'}
        for value, expected in cases.items():
            with self.subTest(value):
                self.assertEqual(quote(value), expected)


class ThreadFailureTest(unittest.TestCase):
    # Issue 52: a thread of every daemon had ended, and no log line showed it.
    def test_exception_that_ends_a_thread_is_logged(self) -> None:
        def fail() -> None:
            raise ValueError("no address")

        with (
            mock.patch.object(threading, "excepthook", log_thread_failure),
            self.assertLogs("foxspring_daemon", logging.CRITICAL) as logs,
        ):
            thread = threading.Thread(target=fail, name="ping")
            thread.start()
            thread.join()
        self.assertIn("event=thread_failed thread=ping", logs.output[0])
        self.assertIn("ValueError: no address", logs.output[0])
