"""Advice of a placement service on which targets a step may use.

Load pattern: steps of some queues may start only on targets that the service allows. A
call takes longer the more targets it names, and the service handles one call at a time.
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from foxspring_jobs._candidates import StepKey
from foxspring_jobs._commands import TargetIncarnation
from foxspring_jobs._specs import Queue

MAX_TARGETS_PER_CALL = 30
RETRY_MS = 300
VALIDITY_MARGIN_PERCENT = 80
PERCENT = 100


class AdviceCall(NamedTuple):
    """A request about one step and the targets that it might use."""

    job_id: str
    occurrence: int
    step: int
    targets: tuple[TargetIncarnation, ...]

    def step_key(self) -> StepKey:
        """Return the key of the step that the request is about."""
        return self.job_id, self.occurrence, self.step


class Ticket(NamedTuple):
    """Permission to start a step's tasks on one incarnation of a target."""

    incarnation: TargetIncarnation
    text: str
    until_ms: int


class AdviceTickets:
    """The valid tickets and the one call to the placement service in flight.

    ``excluded`` are the targets that a step may not use. They are asked about again
    only once no other target is left.
    """

    def __init__(self) -> None:
        self.tickets: dict[StepKey, dict[str, Ticket]] = {}
        self.excluded: dict[StepKey, set[TargetIncarnation]] = {}
        self.pending_call: AdviceCall | None = None
        self.retry_ms: dict[StepKey, int] = {}

    def next_call(
        self,
        steps: Iterable[tuple[StepKey, Sequence[TargetIncarnation]]],
        now_ms: int,
    ) -> AdviceCall | None:
        """Return the next call for the steps, tried in order, or None.

        There is none while another call is in flight. Each step comes with the targets
        that have capacity for it, best first.
        """
        if self.pending_call is not None:
            return None
        for step_key, targets in steps:
            if not targets or now_ms < self.retry_ms.get(step_key, 0):
                continue
            if self.valid_tickets(step_key, now_ms):
                continue
            chosen = self._targets_to_ask(step_key, targets)
            self.pending_call = AdviceCall(*step_key, chosen)
            return self.pending_call
        return None

    def _targets_to_ask(
        self, step_key: StepKey, targets: Sequence[TargetIncarnation]
    ) -> tuple[TargetIncarnation, ...]:
        excluded = self.excluded.get(step_key, set())
        remaining = [target for target in targets if target not in excluded]
        if not remaining:
            self.excluded.pop(step_key, None)
        return tuple((remaining or targets)[:MAX_TARGETS_PER_CALL])

    def record_answer(
        self,
        call: AdviceCall,
        queue: Queue,
        allowed: Iterable[tuple[str, str]] | None,
        now_ms: int,
    ) -> None:
        """Record the answer: target ids with tickets, or None if the call failed."""
        self.pending_call = None
        step_key = call.step_key()
        self.retry_ms[step_key] = now_ms + RETRY_MS
        if allowed is None:
            return
        until = now_ms + queue.advice_validity_ms * VALIDITY_MARGIN_PERCENT // PERCENT
        targets_by_id = {
            incarnation.target_id: incarnation for incarnation in call.targets
        }
        self.tickets[step_key] = {
            target_id: Ticket(targets_by_id[target_id], text, until)
            for target_id, text in allowed
            if target_id in targets_by_id
        }
        usable = {ticket.incarnation for ticket in self.tickets[step_key].values()}
        excluded = self.excluded.setdefault(step_key, set())
        excluded.update(set(call.targets) - usable)

    def valid_tickets(self, step_key: StepKey, now_ms: int) -> dict[str, Ticket]:
        """Return the tickets of a step that have not expired, by target id."""
        tickets = self.tickets.get(step_key, {})
        return {name: t for name, t in tickets.items() if now_ms < t.until_ms}

    def ticket(self, step_key: StepKey, incarnation: TargetIncarnation) -> str:
        """Return the ticket text for a start, or an empty string without a ticket."""
        found = self.tickets.get(step_key, {}).get(incarnation.target_id)
        return (
            found.text if found is not None and found.incarnation == incarnation else ""
        )

    def drop(self, step_key: StepKey) -> None:
        """Drop a step's tickets, for instance after a target rejected one."""
        self.tickets.pop(step_key, None)
        self.retry_ms.pop(step_key, None)
