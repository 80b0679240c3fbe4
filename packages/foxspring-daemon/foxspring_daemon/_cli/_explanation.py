"""Traces a job through the logs of all daemons and infers the likely cause."""

from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from foxspring_daemon._cli._log_lines import LogEvent

TARGET_EVENTS = frozenset(
    {
        "target_lost",
        "target_silent",
        "target_fenced",
        "target_quarantined",
        "target_quarantine_ended",
    }
)
CauseFinder = Callable[[Sequence[LogEvent]], str]


class Explanation(NamedTuple):
    """The events related to an id, in order, and the likely cause of its outcome."""

    events: tuple[LogEvent, ...]
    cause: str


def explain(wanted_id: str, events: Iterable[LogEvent]) -> Explanation:
    """Collect the events that mention an id, and losses of the targets it ran on."""
    all_events = list(events)
    mentioning = [event for event in all_events if _mentions(event, wanted_id)]
    targets = {e.fields["target"] for e in mentioning if "target" in e.fields}
    target_events = [e for e in all_events if _affects_target(e, targets, mentioning)]
    keys = sorted({*map(_sort_key, mentioning), *map(_sort_key, target_events)})
    related = [_event_with_key(key, all_events) for key in keys]
    return Explanation(tuple(related), likely_cause(related))


def _mentions(event: LogEvent, wanted_id: str) -> bool:
    return any(
        value == wanted_id or value.endswith(f"/{wanted_id}")
        for key, value in event.fields.items()
        if key in ("job", "path", "request", "id")
    )


def _affects_target(
    event: LogEvent, targets: set[str], mentioning: Sequence[LogEvent]
) -> bool:
    if event.name not in TARGET_EVENTS:
        return False
    if event.fields.get("target") not in targets:
        return False
    return mentioning[0].time <= event.time


def _sort_key(event: LogEvent) -> tuple[str, str]:
    return event.time, event.line


def _event_with_key(key: tuple[str, str], events: Sequence[LogEvent]) -> LogEvent:
    return next(event for event in events if _sort_key(event) == key)


def _count(events: Sequence[LogEvent], name: str, **fields: str) -> int:
    return sum(
        event.name == name
        and all(event.fields.get(key) == value for key, value in fields.items())
        for event in events
    )


def _find_rejection(events: Sequence[LogEvent]) -> str:
    if _count(events, "job_submitted", committed="True"):
        return ""
    if _count(events, "job_malformed"):
        return "the body could not be read: see reason"
    if _count(events, "call_refused"):
        return (
            "refused at once: its entry had lost contact with control (see silent_ms)"
        )
    if _count(events, "call_given_up", may_have_run="True"):
        return "no leader answered in time; it may have been accepted"
    return "never accepted: no leader committed it"


def _find_cancellation(events: Sequence[LogEvent]) -> str:
    if _count(events, "job_cancelled", committed="True"):
        return "its caller cancelled it"
    return ""


def _find_giving_up(events: Sequence[LogEvent]) -> str:
    given_up = [e for e in events if e.name == "job_given_up"]
    if not given_up:
        return ""
    fields = given_up[0].fields
    return (
        f"given up: {fields.get('crashes')} targets crashed under its task "
        f"{fields.get('task')}"
    )


def _find_failures(events: Sequence[LogEvent]) -> str:
    failures = [e for e in events if e.name == "run_ended"]
    failures = [e for e in failures if e.fields.get("kind") == "failed"]
    if not failures:
        return ""
    targets = {e.fields.get("target") for e in failures}
    where = "one target" if len(targets) == 1 else f"{len(targets)} targets"
    return f"{len(failures)} runs failed on {where}"


def _find_failing_work(events: Sequence[LogEvent]) -> str:
    steps = [e for e in events if e.name == "step_fails_everywhere"]
    delays = [e for e in events if e.name == "restart_delayed"]
    if not steps and not delays:
        return ""
    found = "its runs fail wherever they start" if steps else "its runs end early"
    if not delays:
        return found
    fields = delays[-1].fields
    return (
        f"{found}: task {fields.get('task')} ended early {fields.get('early_ends')} "
        f"times in a row, then waited {fields.get('delay_ms')} ms"
    )


def _find_lost_targets(events: Sequence[LogEvent]) -> str:
    lost = [e for e in events if e.name == "target_lost"]
    if not lost:
        return ""
    why = ", ".join(sorted({e.fields.get("why", "") for e in lost}))
    return f"lost {len(lost)} targets it ran on ({why})"


def _find_stalls(events: Sequence[LogEvent]) -> str:
    stalls = _count(events, "run_stalled")
    return f"{stalls} runs made no progress and were replaced" if stalls else ""


def _find_mitigations(events: Sequence[LogEvent]) -> str:
    mitigations = _count(events, "fill_relieved")
    return (
        f"throttled or moved {mitigations} times for serving tasks"
        if mitigations
        else ""
    )


def _find_unanswered_orders(events: Sequence[LogEvent]) -> str:
    lost = _count(events, "order_unanswered")
    return f"{lost} orders got no answer and were sent again" if lost else ""


_CAUSE_FINDERS: tuple[CauseFinder, ...] = (
    _find_rejection,
    _find_cancellation,
    _find_giving_up,
    _find_failing_work,
    _find_failures,
    _find_lost_targets,
    _find_stalls,
    _find_mitigations,
    _find_unanswered_orders,
)


def likely_cause(events: Sequence[LogEvent]) -> str:
    """Return the likely causes that the events of one id show, strongest first."""
    if not events:
        return "no line mentions it: check the id, the time and that all logs are given"
    found = [text for text in (finder(events) for finder in _CAUSE_FINDERS) if text]
    return "; ".join(found) or "nothing unusual: it ran as planned or is still waiting"
