"""Log lines on their way out: bounded, within a budget, and never blocking."""

import logging
import re
import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import Protocol

QUEUE_LINES = 4_000
EVENT_LINES_A_SECOND = 300
CLOSE_WAIT_S = 0.5
# Lines of this long leave in one write.
GATHER_S = 0.02
_EVENT = re.compile(r"event=(\w+)")

MonotonicSeconds = Callable[[], float]


class Output(Protocol):
    """Where lines are written; may block."""

    def write(self, text: str, /) -> object:
        """Write a text."""

    def flush(self) -> object:
        """Pass on what was written."""


class EventBudget:
    """Lets a bounded number of lines of each event pass in a second."""

    def __init__(self, lines_a_second: int = EVENT_LINES_A_SECOND) -> None:
        self.lines_a_second = lines_a_second
        self.second = -1
        self.passed: Counter[str] = Counter()
        self.left_out: Counter[str] = Counter()

    def admit(self, event: str, now_s: float) -> dict[str, int] | None:
        """Count a line; return none if it is over the budget.

        Otherwise return how many lines of each event were left out in the
        second before, if that second has just ended.
        """
        ended: dict[str, int] = {}
        if int(now_s) != self.second:
            self.second = int(now_s)
            ended = dict(self.left_out)
            self.passed.clear()
            self.left_out.clear()
        self.passed[event] += 1
        if self.passed[event] > self.lines_a_second:
            self.left_out[event] += 1
            return None
        return ended


def _event_of(record: logging.LogRecord) -> str:
    """Return the event that a record names, without formatting it if possible."""
    found = _EVENT.search(str(record.msg)) or _EVENT.search(record.getMessage())
    return found.group(1) if found else "message"


class BoundedHandler(logging.Handler):
    """Writes lines on a thread of its own; drops and counts when it is behind.

    Errors are never held to the budget, only to the queue's bound.
    """

    def __init__(
        self,
        output: Output,
        budget: EventBudget | None = None,
        queue_lines: int = QUEUE_LINES,
        now_s: MonotonicSeconds = time.monotonic,
    ) -> None:
        super().__init__()
        self.output = output
        self.budget = budget or EventBudget()
        self.queue_lines = queue_lines
        self.now_s = now_s
        self.dropped = 0
        self._lines: list[str] = []
        self._closing = False
        self._wake = threading.Condition()
        self._writer = threading.Thread(target=self._write, name="log", daemon=True)
        self._writer.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record's line, or count it as left out; never waits."""
        event = _event_of(record)
        with self._wake:
            ended = self.budget.admit(event, self.now_s())
            if ended is None and record.levelno < logging.ERROR:
                return
            idle = not self._lines
            for name, count in (ended or {}).items():
                self._queue(f"event=lines_left_out of={name} count={count}")
            self._queue(self.format(record))
            if idle:
                self._wake.notify()

    def _queue(self, line: str) -> None:
        if len(self._lines) >= self.queue_lines:
            self.dropped += 1
            return
        if self.dropped:
            self._lines.append(f"event=lines_dropped count={self.dropped}")
            self.dropped = 0
        self._lines.append(line)

    def _write(self) -> None:
        while True:
            with self._wake:
                while not self._lines and not self._closing:
                    self._wake.wait()
                if not self._closing:
                    self._wake.wait(GATHER_S)
                lines, self._lines = self._lines, []
                if not lines:
                    return
            try:
                self.output.write("\n".join(lines) + "\n")
                self.output.flush()
            except (OSError, ValueError):
                # Nobody reads any more; there is no place left to say so.
                return

    def close(self) -> None:
        """Write what is queued, waiting only briefly for a slow reader."""
        with self._wake:
            self._closing = True
            self._wake.notify()
        self._writer.join(CLOSE_WAIT_S)
        super().close()
