"""Parsing of the daemons' log lines into events."""

import pathlib
import re
from collections.abc import Iterable, Iterator
from typing import NamedTuple

_PAIR_PATTERN = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\'[^\']*\'|\S*)')
_EVENT_LIST = pathlib.Path(__file__).with_name("event_list.txt")
COMMON_FIELDS = frozenset({"time", "level", "daemon", "module", "event", "exception"})


class LogEvent(NamedTuple):
    """One log line: its time, daemon, event name, fields and raw text."""

    time: str
    daemon: str
    name: str
    fields: dict[str, str]
    line: str


def parse_line(line: str) -> LogEvent | None:
    """Return the event of a line, or None if the line is not an event."""
    fields = {key: value.strip("\"'") for key, value in _PAIR_PATTERN.findall(line)}
    if "event" not in fields or "time" not in fields:
        return None
    return LogEvent(
        fields["time"],
        fields.get("daemon", ""),
        fields["event"],
        fields,
        line.rstrip(),
    )


def read_events(paths: Iterable[pathlib.Path]) -> Iterator[LogEvent]:
    """Yield the events of several log files."""
    for path in paths:
        with path.open(errors="replace") as file:
            for line in file:
                event = parse_line(line)
                if event is not None:
                    yield event


def load_event_list() -> dict[str, frozenset[str]]:
    """Return the fields of each published event, by event name."""
    rows = (line.split() for line in _EVENT_LIST.read_text().splitlines())
    return {name: frozenset(fields) for name, *fields in rows}


def find_problem(event: LogEvent, known: dict[str, frozenset[str]]) -> str:
    """Return how an event differs from the published list, or an empty string."""
    if event.name not in known:
        return f"event {event.name} is not in the list"
    extra = set(event.fields) - COMMON_FIELDS - known[event.name]
    if extra:
        return f"event {event.name} has no field {', '.join(sorted(extra))}"
    return ""
