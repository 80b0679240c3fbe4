"""A burst of lines or a blocked reader loses log lines but never blocks a caller."""

import logging
import re
import threading
import unittest

from foxspring_daemon._log_output import BoundedHandler, EventBudget


class BlockedReader:
    """An output whose writes block until ``resumed`` is set."""

    def __init__(self) -> None:
        self.resumed = threading.Event()
        self.text = ""

    def write(self, text: str) -> None:
        self.resumed.wait()
        self.text += text

    def flush(self) -> None:
        pass


def record(message: str, level: int = logging.INFO) -> logging.LogRecord:
    return logging.LogRecord("m", level, "f", 1, message, (), None)


class BoundedHandlerTest(unittest.TestCase):
    def handler(
        self, reader: BlockedReader, max_queued_lines: int = 50
    ) -> BoundedHandler:
        handler = BoundedHandler(
            reader, max_queued_lines=max_queued_lines, now_s=lambda: self.now_s
        )
        self.addCleanup(handler.close)
        self.addCleanup(reader.resumed.set)
        return handler

    def setUp(self) -> None:
        self.now_s = 5.0

    def test_blocked_reader_does_not_block_and_dropped_lines_are_counted(self) -> None:
        reader = BlockedReader()
        handler = self.handler(reader, max_queued_lines=10)
        for number in range(100):
            handler.emit(record(f"event=e{number}"))
        reader.resumed.set()
        handler.close()
        # If the writer takes lines in between, a line tells what was dropped before.
        told = re.findall(r"event=lines_dropped count=(\d+)", reader.text)
        self.assertGreaterEqual(handler.dropped + sum(map(int, told)), 80)
        self.assertIn("event=e0", reader.text)

    def test_burst_of_one_event_stays_within_its_budget(self) -> None:
        reader = BlockedReader()
        reader.resumed.set()
        handler = self.handler(reader)
        handler.budget = EventBudget(5)
        for _ in range(50):
            handler.emit(record("event=storm"))
        handler.emit(record("event=other"))
        handler.emit(record("event=storm", logging.ERROR))
        self.now_s = 6.0
        handler.emit(record("event=storm"))
        handler.close()
        lines = reader.text.splitlines()
        self.assertEqual(lines.count("event=storm"), 7)
        self.assertIn("event=other", lines)
        self.assertIn("event=lines_left_out of=storm count=46", lines)


if __name__ == "__main__":
    unittest.main()
