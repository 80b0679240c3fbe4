"""The way of one job through the logs of all daemons, and its likely cause."""

from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from foxspring_daemon._cli._log_lines import LogEvent

Finder = Callable[[Sequence[LogEvent]], str]


class Explanation(NamedTuple):
    """The events that touched an id, in order, and what probably decided it."""

    events: tuple[LogEvent, ...]
    cause: str


def explain(wanted: str, events: Iterable[LogEvent]) -> Explanation:
    """Follow an id: lines that name it, and what befell the targets it ran on."""
    everything = list(events)
    named = [event for event in everything if _names(event, wanted)]
    targets = {e.fields["target"] for e in named if "target" in e.fields}
    touched = [e for e in everything if _befell(e, targets, named)]
    way = sorted({*map(_key, named), *map(_key, touched)})
    chosen = [_from_key(key, everything) for key in way]
    return Explanation(tuple(chosen), likely_cause(chosen))


def _names(event: LogEvent, wanted: str) -> bool:
    return any(
        value == wanted or value.endswith(f"/{wanted}")
        for key, value in event.fields.items()
        if key in ("job", "path", "request", "id")
    )


def _befell(event: LogEvent, targets: set[str], named: Sequence[LogEvent]) -> bool:
    if event.name not in ("target_lost", "target_silent", "target_fenced"):
        return False
    if event.fields.get("target") not in targets:
        return False
    return named[0].time <= event.time


def _key(event: LogEvent) -> tuple[str, str]:
    return event.time, event.line


def _from_key(key: tuple[str, str], events: Sequence[LogEvent]) -> LogEvent:
    return next(event for event in events if _key(event) == key)


def _count(events: Sequence[LogEvent], name: str, **fields: str) -> int:
    return sum(
        event.name == name
        and all(event.fields.get(key) == value for key, value in fields.items())
        for event in events
    )


def _never_accepted(events: Sequence[LogEvent]) -> str:
    if _count(events, "job_submitted", committed="True"):
        return ""
    if _count(events, "job_malformed"):
        return "the body could not be read: see reason"
    if _count(events, "call_refused"):
        return "refused at once: its entry had lost control (see silent_ms)"
    if _count(events, "call_given_up", may_have_run="True"):
        return "no leader answered in time; it may have been accepted"
    return "never accepted: no leader committed it"


def _cancelled(events: Sequence[LogEvent]) -> str:
    if _count(events, "job_cancelled", committed="True"):
        return "its caller cancelled it"
    return ""


def _failed(events: Sequence[LogEvent]) -> str:
    failures = [e for e in events if e.name == "run_ended"]
    failures = [e for e in failures if e.fields.get("kind") == "failed"]
    if not failures:
        return ""
    targets = {e.fields.get("target") for e in failures}
    where = "one target" if len(targets) == 1 else f"{len(targets)} targets"
    return f"{len(failures)} runs failed on {where}"


def _target_lost(events: Sequence[LogEvent]) -> str:
    lost = [e for e in events if e.name == "target_lost"]
    if not lost:
        return ""
    why = ", ".join(sorted({e.fields.get("why", "") for e in lost}))
    return f"lost {len(lost)} targets it ran on ({why})"


def _stalled(events: Sequence[LogEvent]) -> str:
    stalls = _count(events, "run_stalled")
    return f"{stalls} runs stood still and were replaced" if stalls else ""


def _pressed(events: Sequence[LogEvent]) -> str:
    reliefs = _count(events, "fill_relieved")
    return f"paced or moved {reliefs} times for serving tasks" if reliefs else ""


def _unanswered(events: Sequence[LogEvent]) -> str:
    lost = _count(events, "order_unanswered")
    return f"{lost} orders were not answered and sent again" if lost else ""


_FINDERS: tuple[Finder, ...] = (
    _never_accepted,
    _cancelled,
    _failed,
    _target_lost,
    _stalled,
    _pressed,
    _unanswered,
)


def likely_cause(events: Sequence[LogEvent]) -> str:
    """Return what the events of one id point to, the strongest first."""
    if not events:
        return "no line names it: check the id, the time and that all logs are given"
    found = [text for text in (finder(events) for finder in _FINDERS) if text]
    return "; ".join(found) or "nothing unusual: it ran as planned or still waits"
