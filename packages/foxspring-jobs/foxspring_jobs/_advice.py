"""Advice on which targets a step may use, asked of a placement service.

Load pattern: a queue's steps may only start where the service allows it; a call
takes longer the more targets it names, and one call is handled at a time.
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from foxspring_jobs._commands import TargetLife
from foxspring_jobs._rooms import StepPlace
from foxspring_jobs._specs import Queue

MOST_TARGETS_A_CALL = 30
RETRY_MS = 300
VALIDITY_MARGIN_PERCENT = 80
PERCENT = 100


class AdviceCall(NamedTuple):
    """A question about one step and the targets it might use."""

    job_id: str
    occurrence: int
    step: int
    targets: tuple[TargetLife, ...]

    def place(self) -> StepPlace:
        """Return the step that the question is about."""
        return self.job_id, self.occurrence, self.step


class Ticket(NamedTuple):
    """Leave to start a step's tasks on one life of a target."""

    life: TargetLife
    text: str
    until_ms: int


class AdviceBook:
    """The tickets held, and the one question that is under way."""

    def __init__(self) -> None:
        self.tickets: dict[StepPlace, dict[str, Ticket]] = {}
        self.asking: AdviceCall | None = None
        self.retry_ms: dict[StepPlace, int] = {}

    def next_call(
        self,
        steps: Iterable[tuple[StepPlace, Sequence[TargetLife]]],
        now_ms: int,
    ) -> AdviceCall | None:
        """Return the next question for steps in their order, if none is open.

        Each step comes with the targets that have room for it, best first.
        """
        if self.asking is not None:
            return None
        for place, targets in steps:
            if not targets or now_ms < self.retry_ms.get(place, 0):
                continue
            if self.valid(place, now_ms):
                continue
            chosen = tuple(targets[:MOST_TARGETS_A_CALL])
            self.asking = AdviceCall(*place, chosen)
            return self.asking
        return None

    def take(
        self,
        call: AdviceCall,
        queue: Queue,
        allowed: Iterable[tuple[str, str]] | None,
        now_ms: int,
    ) -> None:
        """Take the answer: target ids with tickets, or none without an answer."""
        self.asking = None
        place = call.place()
        self.retry_ms[place] = now_ms + RETRY_MS
        if allowed is None:
            return
        until = now_ms + queue.advice_validity_ms * VALIDITY_MARGIN_PERCENT // PERCENT
        lives = {life.target_id: life for life in call.targets}
        self.tickets[place] = {
            target_id: Ticket(lives[target_id], text, until)
            for target_id, text in allowed
            if target_id in lives
        }

    def valid(self, place: StepPlace, now_ms: int) -> dict[str, Ticket]:
        """Return the tickets of a step that may still be used."""
        held = self.tickets.get(place, {})
        return {name: t for name, t in held.items() if now_ms < t.until_ms}

    def ticket(self, place: StepPlace, life: TargetLife) -> str:
        """Return the ticket for a start, empty if there is none."""
        held = self.tickets.get(place, {}).get(life.target_id)
        return held.text if held is not None and held.life == life else ""

    def drop(self, place: StepPlace) -> None:
        """Forget a step's tickets: a target refused one, or the step is over."""
        self.tickets.pop(place, None)
        self.retry_ms.pop(place, None)
