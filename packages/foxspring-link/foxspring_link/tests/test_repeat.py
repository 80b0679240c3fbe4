"""Periodic work goes on after an exception."""

import threading
import unittest

from foxspring_link import repeat

FAILURES = 9
CALLS = 12


class RepeatTest(unittest.TestCase):
    # Issue 52: one exception ended the search for a leader for good.
    def test_exception_ends_only_one_call(self) -> None:
        closing = threading.Event()
        calls: list[int] = []

        def work() -> None:
            calls.append(1)
            if len(calls) == CALLS:
                closing.set()
            if len(calls) <= FAILURES:
                raise ZeroDivisionError

        with self.assertLogs("foxspring_link", "ERROR") as logs:
            repeat(work, 0, closing)
        self.assertEqual(len(calls), CALLS)
        logged = [
            record.getMessage().partition("failures=")[2] for record in logs.records
        ]
        self.assertEqual(logged, ["1", "2", "4", "8"])


if __name__ == "__main__":
    unittest.main()
