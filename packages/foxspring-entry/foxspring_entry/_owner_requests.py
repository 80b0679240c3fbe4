"""Requests at the entry that owns their targets."""

import random
from typing import NamedTuple

from foxspring_model import (
    INVARIANT_CHECKS,
    Answered,
    Configuration,
    Invariant,
    Outcome,
    RefusalReason,
    Refused,
    RelayAnswer,
    RelayRequest,
    Service,
    Uncertain,
)

from foxspring_entry._effects import AbortRequest, Effects, SendMessage, SendRequest
from foxspring_entry._health import may_eject
from foxspring_entry._ledger import ReservationKind
from foxspring_entry._queue import FairQueue, QueuedRequest, expected_wait_ms
from foxspring_entry._settings import EntrySettings
from foxspring_entry._target import ManagedTarget, choose_target

SHORTEST_RETRY_AFTER_MS = 50
LONGEST_RETRY_AFTER_MS = 5_000


class RunningRequest(NamedTuple):
    """A request that was sent to a target.

    ``caller_answered`` is set when the deadline passed without a response and
    the request was answered as uncertain.
    """

    item: QueuedRequest
    target: ManagedTarget
    sent_ms: int
    caller_answered: bool = False


class TargetOutcome(NamedTuple):
    """Outcome of a request at a target and its latency in microseconds."""

    outcome: Outcome
    latency_us: int = 0


class OwnerRequests:
    """Admits, queues, dispatches and answers requests for owned targets."""

    def __init__(self, settings: EntrySettings, rng: random.Random) -> None:
        self.contact_timeout_ms = settings.target_contact_timeout_ms
        self.max_send_delay_ms = settings.max_send_delay_ms
        self.lease_until_ms = 0
        self.rng = rng
        self.configuration = Configuration()
        self.services: dict[str, Service] = {}
        self.targets: dict[str, ManagedTarget] = {}
        self.queues: dict[str, FairQueue] = {}
        self.running: dict[str, RunningRequest] = {}
        self.late_answers = 0

    def configure(self, configuration: Configuration) -> None:
        """Apply the services of a new configuration."""
        self.configuration = configuration
        self.services = {service.name: service for service in configuration.services}

    def on_request(self, relay: RelayRequest, reply_to: str, now_ms: int) -> Effects:
        """Dispatch a request immediately, queue it or refuse it."""
        item = QueuedRequest(relay, reply_to, now_ms, now_ms + relay.remaining_ms)
        service = self.services.get(relay.service)
        if service is None:
            detail = f"no service {relay.service!r} is configured"
            return [self._refuse(item, RefusalReason.UNKNOWN_SERVICE, detail)]
        if attempt_id(relay) in self.running:
            return []
        queue = self.queues.setdefault(relay.service, FairQueue())
        if queue.size == 0:
            sent = self._dispatch(item, service, now_ms)
            if sent is not None:
                return [sent]
        return self._enqueue(item, service, queue, now_ms)

    def on_outcome(
        self, reservation_id: str, result: TargetOutcome, now_ms: int
    ) -> Effects:
        """Process the outcome of a dispatched request."""
        running = self.running.pop(reservation_id, None)
        if running is None:
            return []
        effects: Effects = []
        self._record_outcome(reservation_id, running, result, now_ms)
        if running.caller_answered:
            self.late_answers += 1
        else:
            target_id = running.target.target_id
            effects.append(relay_answer(running.item, result.outcome, target_id))
        return effects

    def tick(self, now_ms: int) -> Effects:
        """Answer expired requests and dispatch queued ones to free targets."""
        effects = self.expire(now_ms)
        for service in self.queues:
            effects.extend(self.dispatch_queued(service, now_ms))
        effects.extend(self._refuse_without_targets())
        return effects

    def expire(self, now_ms: int) -> Effects:
        """Answer running and queued requests whose deadline has passed."""
        effects: Effects = []
        for reservation_id, running in list(self.running.items()):
            if not running.caller_answered and running.item.deadline_ms <= now_ms:
                effects.extend(self._abandon(reservation_id, running, now_ms))
        detail = "no target had free capacity before the deadline"
        for queue in self.queues.values():
            for item in queue.expire(now_ms):
                effects.append(self._refuse(item, RefusalReason.DEADLINE, detail))
        return effects

    def dispatch_queued(self, name: str, now_ms: int) -> Effects:
        """Dispatch queued requests of a service while targets have capacity."""
        queue, service = self.queues.get(name), self.services.get(name)
        effects: Effects = []
        while queue is not None and queue.size:
            item = queue.pop()
            if item is None:
                break
            if service is None:
                detail = f"service {name!r} was removed"
                effects.append(
                    self._refuse(item, RefusalReason.UNKNOWN_SERVICE, detail)
                )
                continue
            sent = self._dispatch(item, service, now_ms)
            if sent is None:
                queue.requeue(item)
                break
            effects.append(sent)
        return effects

    def refuse_queued(self, reason: RefusalReason, detail: str) -> Effects:
        """Refuse all queued requests, because none may be dispatched any more."""
        return [
            self._refuse(item, reason, detail)
            for queue in self.queues.values()
            for item in queue.remove_all()
        ]

    def current_load(self, name: str, now_ms: int) -> tuple[int, int, int]:
        """Return a service's load at this owner.

        Returns the number of further requests that fit, the number of queued
        requests and the mean latency in microseconds.
        """
        service = self.services.get(name)
        queue = self.queues.get(name)
        if service is None:
            return 0, 0, 0
        available_targets = self._available_targets(name, now_ms)
        free = sum(
            target.available_requests(name, service.per_request)
            for target in available_targets
        )
        latencies = [target.latency_us(name) for target in available_targets]
        mean = sum(latencies) // len(latencies) if latencies else 0
        return free, queue.size if queue else 0, mean

    def _available_targets(self, name: str, now_ms: int) -> list[ManagedTarget]:
        return [
            target
            for target in self.targets.values()
            if name in target.owned.services
            and not target.health.is_ejected(now_ms)
            and not target.admission_refusal(self.contact_timeout_ms, now_ms)
        ]

    def _refuse_without_targets(self) -> Effects:
        owned = {
            service
            for target in self.targets.values()
            for service in target.owned.services
        }
        detail = "this entry no longer owns a target of the service"
        return [
            self._refuse(item, RefusalReason.NO_TARGET, detail)
            for service, queue in self.queues.items()
            if service not in owned
            for item in queue.remove_all()
        ]

    def _has_pending_takeover(self, name: str) -> bool:
        return any(
            name in target.owned.services and target.takeover is not None
            for target in self.targets.values()
        )

    def _dispatch(
        self, item: QueuedRequest, service: Service, now_ms: int
    ) -> SendRequest | None:
        relay = item.relay
        candidates = [
            target
            for target in self._available_targets(service.name, now_ms)
            if target.can_admit(service.name, service.per_request, now_ms)
        ]
        target = choose_target(
            candidates,
            service.name,
            service.per_request,
            relay.avoided_targets,
            self.rng,
        )
        if target is None or not self._admit(item, service, target):
            return None
        reservation_id = attempt_id(relay)
        self.running[reservation_id] = RunningRequest(item, target, now_ms)
        return SendRequest(
            reservation_id,
            target.target_id,
            target.owned.info.address,
            relay,
            item.deadline_ms,
            min(self.lease_until_ms, now_ms + self.max_send_delay_ms),
        )

    def _admit(
        self, item: QueuedRequest, service: Service, target: ManagedTarget
    ) -> bool:
        leaving = target.owned.info.leaving
        if not INVARIANT_CHECKS.check(
            Invariant.LEAVING_GETS_NOTHING, not leaving, f"target={target.target_id}"
        ):
            return False
        admitted = target.ledger.reserve(
            attempt_id(item.relay), ReservationKind.REQUEST, service.per_request
        )
        if admitted:
            target.begin_request(service.name)
        return admitted

    def _enqueue(
        self, item: QueuedRequest, service: Service, queue: FairQueue, now_ms: int
    ) -> Effects:
        available_targets = self._available_targets(service.name, now_ms)
        if not available_targets and not self._has_pending_takeover(service.name):
            detail = "this entry owns no ready target of the service"
            return [self._refuse(item, RefusalReason.NO_TARGET, detail, 500)]
        wait_ms = self._expected_wait_ms(service, queue, available_targets)
        if wait_ms > item.relay.remaining_ms:
            detail = f"expected wait of {wait_ms} ms is past the deadline"
            return [self._refuse(item, RefusalReason.OVERLOADED, detail, wait_ms)]
        displaced = queue.push(item, service.queue_limit)
        if displaced is None:
            return []
        detail = "the queue is full and this caller has used its share of it"
        return [self._refuse(displaced, RefusalReason.OVERLOADED, detail, wait_ms)]

    def _expected_wait_ms(
        self, service: Service, queue: FairQueue, targets: list[ManagedTarget]
    ) -> int:
        in_flight = sum(target.in_flight.get(service.name, 0) for target in targets)
        free = sum(
            target.available_requests(service.name, service.per_request)
            for target in targets
        )
        latencies = [target.latency_us(service.name) for target in targets]
        mean_us = sum(latencies) // max(1, len(latencies))
        return expected_wait_ms(queue.size, in_flight, in_flight + free, mean_us)

    def _record_outcome(
        self,
        reservation_id: str,
        running: RunningRequest,
        result: TargetOutcome,
        now_ms: int,
    ) -> None:
        target, service = running.target, running.item.relay.service
        before = target.end_request(service) if not running.caller_answered else 0
        if isinstance(result.outcome, Uncertain):
            target.ledger.abandon(reservation_id, now_ms)
        else:
            target.ledger.release(reservation_id)
        if isinstance(result.outcome, Answered):
            target.record_response(service, result.latency_us, before)
        elif not running.caller_answered:
            target.record_failure(now_ms, self._may_eject(service, now_ms))

    def _abandon(
        self, reservation_id: str, running: RunningRequest, now_ms: int
    ) -> Effects:
        target, service = running.target, running.item.relay.service
        self.running[reservation_id] = running._replace(caller_answered=True)
        target.end_request(service)
        target.ledger.abandon(reservation_id, now_ms)
        target.record_failure(now_ms, self._may_eject(service, now_ms))
        outcome = Uncertain("the target did not answer within the deadline")
        return [
            relay_answer(running.item, outcome, target.target_id),
            AbortRequest(reservation_id),
        ]

    def _refuse(
        self,
        item: QueuedRequest,
        reason: RefusalReason,
        detail: str,
        retry_after_ms: int = 0,
    ) -> SendMessage:
        reservation_id = attempt_id(item.relay)
        INVARIANT_CHECKS.check(
            Invariant.NOT_RUN_IS_TRUE,
            reservation_id not in self.running,
            f"request={reservation_id} was sent",
        )
        after_ms = min(
            LONGEST_RETRY_AFTER_MS, max(SHORTEST_RETRY_AFTER_MS, retry_after_ms)
        )
        return relay_answer(item, Refused(reason, detail, after_ms))

    def _may_eject(self, service: str, now_ms: int) -> bool:
        targets = [t for t in self.targets.values() if service in t.owned.services]
        ejected = sum(1 for target in targets if target.health.is_ejected(now_ms))
        return may_eject(ejected, len(targets))


def attempt_id(relay: RelayRequest) -> str:
    """Return the id under which the target receives and reports an attempt."""
    if relay.attempt == 1:
        return relay.request_id
    return f"{relay.request_id}.{relay.attempt}"


def relay_answer(
    item: QueuedRequest, outcome: Outcome, target_id: str = ""
) -> SendMessage:
    """Return the message that sends an outcome to the origin entry."""
    relay = item.relay
    message = RelayAnswer(relay.request_id, relay.attempt, outcome.verdict)
    if isinstance(outcome, Answered):
        message = message._replace(
            status=outcome.status, headers=outcome.headers, body=outcome.body
        )
    elif isinstance(outcome, Refused):
        message = message._replace(
            reason=outcome.reason,
            detail=outcome.detail,
            retry_after_ms=outcome.retry_after_ms,
        )
    else:
        message = message._replace(detail=outcome.detail)
    return SendMessage(item.reply_to, message._replace(target_id=target_id))
