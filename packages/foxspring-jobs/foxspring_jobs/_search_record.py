"""What members have answered to a daemon that looks for the leader."""

import threading
from typing import NamedTuple

from foxspring_jobs._log_text import log_text

MAX_MEMBERS = 8
MAX_ANSWER_CHARS = 250
NO_ANSWER = "no answer"
DECLINES = "declines"


class SearchSummary(NamedTuple):
    """How a search went.

    ``reasons`` has what each member has said of itself, or how it answered if it said
    nothing; it is bounded.
    """

    declined: int
    unanswered: int
    reasons: str


class SearchRecord:
    """Counts the answers to the attempts of a search; safe to use from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._declined = 0
        self._unanswered = 0
        self._answers: dict[str, str] = {}

    def note_declined(self, member: str, hint: str) -> None:
        """Record a decline; ``hint`` is the leader that the member named, if any."""
        with self._lock:
            self._declined += 1
            answer = f"names {hint}" if hint else DECLINES
            former = self._answers.get(member, NO_ANSWER)
            if former == NO_ANSWER or (hint and former == DECLINES):
                self._note(member, answer)

    def note_unanswered(self, member: str) -> None:
        """Record an attempt without an answer."""
        with self._lock:
            self._unanswered += 1
            if member not in self._answers:
                self._note(member, NO_ANSWER)

    def note_reason(self, member: str, reason: str) -> None:
        """Record why a member declines."""
        with self._lock:
            self._note(member, reason)

    def _note(self, member: str, answer: str) -> None:
        self._answers.pop(member, None)
        self._answers[member] = log_text(answer, MAX_ANSWER_CHARS)
        while len(self._answers) > MAX_MEMBERS:
            del self._answers[next(iter(self._answers))]

    def take(self) -> SearchSummary:
        """Return the summary and begin a new one."""
        with self._lock:
            answers = sorted(self._answers.items())
            reasons = " | ".join(f"{log_text(m, 60)}: {text}" for m, text in answers)
            summary = SearchSummary(self._declined, self._unanswered, reasons)
            self._declined = 0
            self._unanswered = 0
            self._answers.clear()
            return summary
