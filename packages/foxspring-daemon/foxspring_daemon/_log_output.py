"""Non-blocking log output with a bounded queue and a rate limit per event."""

import functools
import logging
import re
import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import Protocol

MAX_QUEUED_LINES = 4_000
MAX_EVENT_LINES_PER_SECOND = 300
CLOSE_TIMEOUT_S = 0.5
# Lines queued within this time after the first are written in one call.
BATCH_DELAY_S = 0.02
MAX_CACHED_FORMATS = 256
_EVENT_PATTERN = re.compile(r"event=(\w+)")

MonotonicSeconds = Callable[[], float]


class Output(Protocol):
    """A text stream that lines are written to; its methods may block."""

    def write(self, text: str, /) -> object:
        """Write ``text``."""

    def flush(self) -> object:
        """Flush what was written."""


class EventBudget:
    """Rate limit on log lines: a fixed number per event and second."""

    def __init__(self, lines_per_second: int = MAX_EVENT_LINES_PER_SECOND) -> None:
        self.lines_per_second = lines_per_second
        self.current_second = -1
        self.line_counts: Counter[str] = Counter()
        self.suppressed: Counter[str] = Counter()

    def admit(self, event: str, now_s: float) -> dict[str, int] | None:
        """Count a line of ``event``; return None if it is over the budget.

        Otherwise return how many lines of each event were suppressed before, if
        this line is the first of a new second, else an empty dictionary.
        """
        previous_suppressed: dict[str, int] = {}
        if int(now_s) != self.current_second:
            self.current_second = int(now_s)
            previous_suppressed = dict(self.suppressed)
            self.line_counts.clear()
            self.suppressed.clear()
        self.line_counts[event] += 1
        if self.line_counts[event] > self.lines_per_second:
            self.suppressed[event] += 1
            return None
        return previous_suppressed


def _event_name(record: logging.LogRecord) -> str:
    """Return the event name of a record, formatting the message only if needed."""
    name = _find_event(str(record.msg)) or _find_event(record.getMessage())
    return name or "message"


@functools.lru_cache(maxsize=MAX_CACHED_FORMATS)
def _find_event(text: str) -> str:
    """Return the event name in a message or its format, or an empty string."""
    found = _EVENT_PATTERN.search(text)
    return found.group(1) if found else ""


class BoundedHandler(logging.Handler):
    """Writes lines on a separate thread; drops and counts them if the queue is full.

    Errors are exempt from the budget but not from the bound of the queue.
    """

    def __init__(
        self,
        output: Output,
        budget: EventBudget | None = None,
        max_queued_lines: int = MAX_QUEUED_LINES,
        now_s: MonotonicSeconds = time.monotonic,
    ) -> None:
        super().__init__()
        self.output = output
        self.budget = budget or EventBudget()
        self.max_queued_lines = max_queued_lines
        self.now_s = now_s
        self.dropped = 0
        self._lines: list[str] = []
        self._closing = False
        self._state_changed = threading.Condition()
        self._writer = threading.Thread(
            target=self._write_queued, name="log", daemon=True
        )
        self._writer.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record's line, or count it as suppressed or dropped; never block."""
        event = _event_name(record)
        with self._state_changed:
            previous_suppressed = self.budget.admit(event, self.now_s())
            if previous_suppressed is None and record.levelno < logging.ERROR:
                return
            was_empty = not self._lines
            for name, count in (previous_suppressed or {}).items():
                self._queue(f"event=lines_left_out of={name} count={count}")
            self._queue(self.format(record))
            if was_empty:
                self._state_changed.notify()

    def _queue(self, line: str) -> None:
        if len(self._lines) >= self.max_queued_lines:
            self.dropped += 1
            return
        if self.dropped:
            self._lines.append(f"event=lines_dropped count={self.dropped}")
            self.dropped = 0
        self._lines.append(line)

    def _write_queued(self) -> None:
        while True:
            with self._state_changed:
                while not self._lines and not self._closing:
                    self._state_changed.wait()
                if not self._closing:
                    self._state_changed.wait(BATCH_DELAY_S)
                lines, self._lines = self._lines, []
                if not lines:
                    return
            try:
                self.output.write("\n".join(lines) + "\n")
                self.output.flush()
            except (OSError, ValueError):
                # The reader is gone, and there is nowhere else to report the error.
                return

    def close(self) -> None:
        """Write the queued lines, waiting up to ``CLOSE_TIMEOUT_S`` for the reader."""
        with self._state_changed:
            self._closing = True
            self._state_changed.notify()
        self._writer.join(CLOSE_TIMEOUT_S)
        super().close()
