"""Lines of the daemons' logs, read back into events."""

import pathlib
import re
from collections.abc import Iterable, Iterator
from typing import NamedTuple

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\'[^\']*\'|\S*)')
_LIST = pathlib.Path(__file__).with_name("event_list.txt")
COMMON = frozenset({"time", "level", "daemon", "module", "event", "exception"})


class LogEvent(NamedTuple):
    """One line: when, at which daemon, what, and its fields."""

    time: str
    daemon: str
    name: str
    fields: dict[str, str]
    line: str


def parse_line(line: str) -> LogEvent | None:
    """Return the event of a line, or none if the line is no event."""
    fields = {key: value.strip("\"'") for key, value in _PAIR.findall(line)}
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
    """Yield the events of several logs."""
    for path in paths:
        with path.open(errors="replace") as file:
            for line in file:
                event = parse_line(line)
                if event is not None:
                    yield event


def known_events() -> dict[str, frozenset[str]]:
    """Return the published events and their fields."""
    rows = (line.split() for line in _LIST.read_text().splitlines())
    return {name: frozenset(fields) for name, *fields in rows}


def problem_of(event: LogEvent, known: dict[str, frozenset[str]]) -> str:
    """Return how a line breaks the published list, or an empty text."""
    if event.name not in known:
        return f"event {event.name} is not in the list"
    extra = set(event.fields) - COMMON - known[event.name]
    if extra:
        return f"event {event.name} has no field {', '.join(sorted(extra))}"
    return ""
