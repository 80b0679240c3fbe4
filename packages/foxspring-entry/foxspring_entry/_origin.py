"""Requests at their origin: the entry that received them from callers."""

import random
from collections.abc import Callable
from typing import NamedTuple

from foxspring_model import (
    INVARIANT_CHECKS,
    Answered,
    EntryInfo,
    Invariant,
    Outcome,
    RefusalReason,
    Refused,
    RelayAnswer,
    RelayRequest,
    Uncertain,
    Verdict,
)

from foxspring_entry._effects import Effects, ReplyToCaller, SendMessage
from foxspring_entry._loads import Candidate, OwnerLoads, ServiceLoad, choose_owner
from foxspring_entry._ownership import OwnershipTable
from foxspring_entry._retries import RetryBudget, consumes_budget, may_retry

ANSWER_GRACE_MS = 30
LocalLoad = Callable[[str, int], tuple[int, int, int]]
_NO_TARGET_RETRY_AFTER_MS = 1_000


class PendingRequest(NamedTuple):
    """A request that has not been answered; ``owner`` has the current attempt.

    ``may_have_run`` is set once any attempt may have reached a target.
    """

    relay: RelayRequest
    deadline_ms: int
    owner: EntryInfo | None = None
    tried_entries: tuple[str, ...] = ()
    may_have_run: bool = False


class Origin:
    """Routes callers' requests to owners and decides about retries."""

    def __init__(
        self,
        local_id: str,
        local_address: str,
        failure_domain: str,
        table: OwnershipTable,
        loads: OwnerLoads,
        budget: RetryBudget,
        max_attempts: int,
        local_load: LocalLoad,
        rng: random.Random,
    ) -> None:
        self.local_id = local_id
        self.local_address = local_address
        self.failure_domain = failure_domain
        self.table = table
        self.loads = loads
        self.budget = budget
        self.max_attempts = max_attempts
        self.local_load = local_load
        self.rng = rng
        self.pending: dict[str, PendingRequest] = {}
        self.late_answers = 0
        self.retries = 0

    def submit(self, relay: RelayRequest, now_ms: int) -> Effects:
        """Start the first attempt of a caller's request."""
        self.budget.record_request()
        pending = PendingRequest(relay, now_ms + relay.remaining_ms)
        return self._send_attempt(pending, now_ms)

    def refuse(self, relay: RelayRequest, answer: RelayAnswer) -> Effects:
        """Refuse a caller's request without an attempt."""
        return [ReplyToCaller(relay.request_id, outcome_of(answer))]

    def on_answer(self, answer: RelayAnswer, now_ms: int) -> Effects:
        """Process an owner's answer: retry, or return the outcome to the caller."""
        pending = self.pending.get(answer.request_id)
        if pending is None or pending.relay.attempt != answer.attempt:
            self.late_answers += 1
            return []
        if pending.owner is not None:
            self.loads.record_answer(pending.owner.entry_id, pending.relay.service)
        if answer.verdict == Verdict.MAY_HAVE_RUN:
            pending = pending._replace(may_have_run=True)
        if self._may_retry(pending, answer, now_ms):
            self.retries += 1
            return self._retry(pending, answer, now_ms)
        return [self._finish(pending, outcome_of(answer), answer.target_id)]

    def on_not_sent(self, relay: RelayRequest, now_ms: int) -> Effects:
        """Handle an attempt that was not sent to its owner."""
        return self.on_answer(
            RelayAnswer(
                relay.request_id,
                relay.attempt,
                Verdict.NOT_RUN,
                RefusalReason.LINK_DOWN,
                "the owner could not be reached",
            ),
            now_ms,
        )

    def on_entries_changed(self, now_ms: int) -> Effects:
        """End the attempts at owners that were removed or have restarted."""
        effects: Effects = []
        for pending in list(self.pending.values()):
            if pending.owner is None or pending.owner.entry_id == self.local_id:
                continue
            current = self.table.entries.get(pending.owner.entry_id)
            if current and current.incarnation == pending.owner.incarnation:
                continue
            effects.extend(self._on_owner_lost(pending, now_ms))
        return effects

    def tick(self, now_ms: int) -> Effects:
        """Answer requests whose owner did not answer before the deadline."""
        return [
            self._finish(
                pending,
                Uncertain("no answer within the deadline"),
            )
            for pending in list(self.pending.values())
            if pending.deadline_ms + ANSWER_GRACE_MS <= now_ms
        ]

    def _on_owner_lost(self, pending: PendingRequest, now_ms: int) -> Effects:
        relay = pending.relay
        answer = RelayAnswer(
            relay.request_id,
            relay.attempt,
            Verdict.MAY_HAVE_RUN,
            detail="the owner of the target was removed or restarted",
        )
        return self.on_answer(answer, now_ms)

    def _may_retry(
        self, pending: PendingRequest, answer: RelayAnswer, now_ms: int
    ) -> bool:
        relay = pending.relay
        left = self.max_attempts - relay.attempt
        remaining = pending.deadline_ms - now_ms
        if not may_retry(answer, relay.idempotent, remaining, left):
            return False
        if not self._candidates(pending, answer, now_ms):
            return False
        return not consumes_budget(answer) or self.budget.try_spend()

    def _retry(
        self, pending: PendingRequest, answer: RelayAnswer, now_ms: int
    ) -> Effects:
        relay = pending.relay
        INVARIANT_CHECKS.check(
            Invariant.AT_MOST_ONCE,
            relay.idempotent or answer.verdict == Verdict.NOT_RUN,
            f"request={relay.request_id} verdict={answer.verdict}",
        )
        avoided_targets = relay.avoided_targets + (
            (answer.target_id,) if answer.target_id else ()
        )
        tried_entries = pending.tried_entries
        if pending.owner is not None and not answer.target_id:
            tried_entries = (*tried_entries, pending.owner.entry_id)
        relay = relay._replace(
            attempt=relay.attempt + 1, avoided_targets=avoided_targets
        )
        return self._send_attempt(
            pending._replace(relay=relay, tried_entries=tried_entries), now_ms
        )

    def _send_attempt(self, pending: PendingRequest, now_ms: int) -> Effects:
        candidates = self._candidates(pending, None, now_ms)
        if not candidates:
            self.pending[pending.relay.request_id] = pending
            refusal = Refused(
                RefusalReason.NO_TARGET,
                f"no target runs service {pending.relay.service!r}",
                _NO_TARGET_RETRY_AFTER_MS,
            )
            return [self._finish(pending, refusal)]
        chosen = choose_owner(candidates, self.rng)
        owner = self.table.entries[chosen.entry_id]
        remaining_ms = pending.deadline_ms - now_ms
        relay = pending.relay._replace(remaining_ms=remaining_ms)
        self.pending[relay.request_id] = pending._replace(relay=relay, owner=owner)
        self.loads.record_send(owner.entry_id, relay.service)
        address = self.local_address
        if owner.entry_id != self.local_id:
            address = owner.link_address
        return [SendMessage(address, relay)]

    def _candidates(
        self, pending: PendingRequest, answer: RelayAnswer | None, now_ms: int
    ) -> list[Candidate]:
        excluded = set(pending.tried_entries)
        if answer is not None and pending.owner is not None and not answer.target_id:
            excluded.add(pending.owner.entry_id)
        service = pending.relay.service
        return [
            self._candidate(entry_id, count, service, now_ms)
            for entry_id, count in self.table.owners_of(service).items()
            if entry_id not in excluded
        ]

    def _candidate(
        self, entry_id: str, count: int, service: str, now_ms: int
    ) -> Candidate:
        service_load = self.loads.service_load(entry_id, service, now_ms)
        domain = self.table.entries[entry_id].failure_domain
        is_local = entry_id == self.local_id
        if is_local:
            service_load = ServiceLoad(*self.local_load(service, now_ms), now_ms)
        return Candidate(
            entry_id, count, service_load, domain == self.failure_domain, is_local
        )

    def _finish(
        self, pending: PendingRequest, outcome: Outcome, target_id: str = ""
    ) -> ReplyToCaller:
        self.pending.pop(pending.relay.request_id, None)
        if pending.may_have_run and isinstance(outcome, Refused):
            outcome = Uncertain(
                f"an earlier attempt may have run; the last one: {outcome.detail}"
            )
        return ReplyToCaller(pending.relay.request_id, outcome, target_id)


def outcome_of(answer: RelayAnswer) -> Outcome:
    """Return the outcome contained in an owner's answer."""
    if answer.verdict == Verdict.RAN:
        return Answered(answer.status, answer.headers, answer.body)
    if answer.verdict == Verdict.NOT_RUN:
        reason = RefusalReason(answer.reason)
        return Refused(reason, answer.detail, answer.retry_after_ms)
    return Uncertain(answer.detail)
