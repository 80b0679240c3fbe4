"""Owned targets: takeovers, reports, lease renewals and task calls."""

import logging
from collections.abc import Set
from typing import NamedTuple

import msgspec
from foxspring_model import (
    UNDECODABLE,
    OwnedTarget,
    RenewAnswerBody,
    RenewBody,
    ReportBody,
    ReportedEvent,
    Resources,
    RunTask,
    StopTask,
    TaskStatusBody,
    ThrottleTask,
)

from foxspring_entry._effects import CallTarget, CloseConnections, Effects
from foxspring_entry._ledger import ReservationKind
from foxspring_entry._ownership import TargetChange
from foxspring_entry._settings import EntrySettings
from foxspring_entry._target import CONTROL_CONNECTIONS, ManagedTarget
from foxspring_entry._target_restart import carry_over_tasks
from foxspring_entry._task_state import (
    OwnedTask,
    TaskCall,
    TaskCallKind,
    lease_upper_bound_ms,
)

_LOG = logging.getLogger(__name__)

SETTLE_TIME_MS = 300
_RENEW_PATH = "/v1/leases"
_UNKNOWN_REQUEST = Resources(slots=1, connections=1)


class CallResponse(NamedTuple):
    """Result of a platform API call.

    ``status`` is ``None`` if no complete response was received; ``sent`` is
    false if no byte of the call left for the target.
    """

    status: int | None
    body: bytes = b""
    sent: bool = True


class _Renewal(NamedTuple):
    target: ManagedTarget
    tasks: list[OwnedTask]
    requested_ms: int


class _TaskCallInFlight(NamedTuple):
    target: ManagedTarget
    call: TaskCall


class OwnerTargets:
    """The targets that this entry owns, and the API calls to them."""

    def __init__(self, settings: EntrySettings) -> None:
        self.settings = settings
        self.targets: dict[str, ManagedTarget] = {}
        self._calls: dict[int, _Renewal | _TaskCallInFlight] = {}
        self._next_call_id = 0
        self._send_by_ms = 0
        self._released_epochs: dict[str, int] = {}

    def assign(self, change: TargetChange, now_ms: int) -> None:
        """Start to own a target, or update one that is already owned."""
        owned = change.owned
        target = self.targets.get(owned.info.target_id)
        if target is None or target.owned.owner_epoch != owned.owner_epoch:
            wait_ms = SETTLE_TIME_MS
            if change.previous_owner_may_send and not self._is_released(owned):
                wait_ms = self.settings.takeover_wait_ms
            _LOG.info(
                "event=target_owned target=%s epoch=%d wait_ms=%d",
                owned.info.target_id,
                owned.owner_epoch,
                wait_ms,
            )
            target = self._new(owned, now_ms + wait_ms, now_ms)
            self.targets[owned.info.target_id] = target
            return
        if target.owned.info.incarnation != owned.info.incarnation:
            self._replace(target, owned, now_ms)
            return
        target.owned = owned
        target.ledger.capacity = owned.info.capacity

    def stop_owning(self, target_id: str) -> Effects:
        """Stop owning a target; work in flight there is not interrupted."""
        target = self.targets.pop(target_id, None)
        if target is None:
            return []
        return [CloseConnections(target.owned.info.address)]

    def on_lease_lost(self) -> Effects:
        """Close idle connections, since another entry may now own the targets."""
        return [
            CloseConnections(target.owned.info.address)
            for target in self.targets.values()
        ]

    def on_released(self, target_id: str, owner_epoch: int, now_ms: int) -> None:
        """Record that the previous owner sends nothing more to a target."""
        self._released_epochs[target_id] = owner_epoch
        target = self.targets.get(target_id)
        if target is not None and target.owned.owner_epoch == owner_epoch:
            target.record_release(now_ms + SETTLE_TIME_MS)

    def retain_releases(self, target_ids: Set[str]) -> None:
        """Drop the recorded releases of all targets but these.

        Only call it when a target was removed: a release may arrive before the
        first ownership table that has its target.
        """
        for target_id in self._released_epochs.keys() - target_ids:
            del self._released_epochs[target_id]

    def run(self, run: RunTask, now_ms: int) -> bool:
        """Start a task that control placed on a target.

        Returns false if this entry does not own the target at the task's owner
        epoch, or if a takeover is in progress and the task is not known yet.
        """
        target = self._owned(run.target_id)
        if target is None or run.owner_epoch != target.owned.owner_epoch:
            return False
        if target.takeover is not None and run.task_id not in target.tasks.tasks:
            return False
        refusal = target.admission_refusal(
            self.settings.target_contact_timeout_ms, now_ms
        )
        target.tasks.offer(run, refusal, now_ms)
        return True

    def stop(self, stop: StopTask, now_ms: int) -> None:
        """Start to stop a task."""
        target = self._owned(stop.target_id)
        if target is not None:
            target.tasks.stop(stop, target.takeover is None, now_ms)

    def throttle(self, throttle: ThrottleTask) -> None:
        """Set a task's CPU share."""
        target = self._owned(throttle.target_id)
        if target is not None:
            target.tasks.throttle(throttle)

    def on_report(
        self, report: ReportBody, now_ms: int
    ) -> tuple[bool, list[list[str | int]]]:
        """Process a report of a target.

        Returns whether its measurements are newer than those known so far, and
        the ended tasks that the target may discard.
        """
        target = self._owned(report["target_id"])
        if target is None or report["incarnation"] != target.owned.info.incarnation:
            return False, []
        if report["sequence"] <= target.last_sequence:
            return False, []
        target.last_sequence = report["sequence"]
        target.last_contact_ms = now_ms
        target.clock = target.clock.newer(report["target_ms"], now_ms)
        self._complete_takeover(target, report, now_ms)
        target.ledger.release_absent(report["target_ms"], frozenset(report["requests"]))
        target.tasks.on_report(report["tasks"], report["target_ms"], now_ms)
        newer = report["measured_ms"] > target.last_measured_ms
        target.last_measured_ms = max(target.last_measured_ms, report["measured_ms"])
        return newer, self._acknowledgeable(target, report["tasks"], now_ms)

    def on_call_done(self, call_id: int, response: CallResponse, now_ms: int) -> None:
        """Process the response to an API call."""
        pending = self._calls.pop(call_id, None)
        if isinstance(pending, _Renewal):
            self._renewal_done(pending, response, now_ms)
        elif pending is not None:
            self._task_call_done(pending, response, now_ms)

    def tick(self, lease_until_ms: int, now_ms: int) -> Effects:
        """Renew leases, make the task calls that are due and expire tasks.

        Makes no calls unless this entry's lease is valid after ``now_ms``.
        """
        self._send_by_ms = min(lease_until_ms, now_ms + self.settings.max_send_delay_ms)
        effects: Effects = []
        for target in self.targets.values():
            target.tasks.expire(now_ms)
            if lease_until_ms <= now_ms:
                continue
            effects.extend(self._renew(target, now_ms))
            effects.extend(self._task_calls(target, now_ms))
        return effects

    def pop_events(self) -> list[ReportedEvent]:
        """Remove and return the task events since the previous call."""
        return [
            event
            for target in self.targets.values()
            for event in target.tasks.pop_events()
        ]

    def commit(self, events: tuple[ReportedEvent, ...]) -> None:
        """Record that these events are committed in the replicated log."""
        for event in events:
            target = self.targets.get(event.target_id)
            if target is not None:
                target.tasks.ended.commit(event)

    def _new(
        self, owned: OwnedTarget, exclusive_from_ms: int, now_ms: int
    ) -> ManagedTarget:
        return ManagedTarget(
            owned, self.settings.task_lease_ms, exclusive_from_ms, now_ms
        )

    def _is_released(self, owned: OwnedTarget) -> bool:
        return self._released_epochs.get(owned.info.target_id) == owned.owner_epoch

    def _replace(self, old: ManagedTarget, owned: OwnedTarget, now_ms: int) -> None:
        target = self._new(owned, now_ms + SETTLE_TIME_MS, now_ms)
        carry_over_tasks(old.tasks, target.tasks)
        self.targets[owned.info.target_id] = target

    def _owned(self, target_id: str) -> ManagedTarget | None:
        return self.targets.get(target_id)

    def _complete_takeover(
        self, target: ManagedTarget, report: ReportBody, now_ms: int
    ) -> None:
        takeover = target.takeover
        if takeover is None or takeover.fence_ms is None:
            return
        if report["target_ms"] < takeover.fence_ms:
            return
        for request_id in report["requests"]:
            if request_id not in target.ledger.reservations:
                target.ledger.reserve_existing(
                    request_id, ReservationKind.REQUEST, _UNKNOWN_REQUEST
                )
                target.ledger.abandon(request_id, now_ms)
        target.takeover = None
        _LOG.info("event=takeover_done target=%s", target.target_id)

    def _acknowledgeable(
        self, target: ManagedTarget, statuses: list[TaskStatusBody], now_ms: int
    ) -> list[list[str | int]]:
        """Return the ended tasks that the target may discard.

        There are none during a takeover: the previous owner may still send starts,
        which run again what the target has discarded.
        """
        if target.takeover is not None:
            return []
        after_ms = lease_upper_bound_ms(self.settings.task_lease_ms)
        return target.tasks.ended.acknowledgeable(statuses, after_ms, now_ms)

    def _renew(self, target: ManagedTarget, now_ms: int) -> Effects:
        uncertain = target.takeover is not None or bool(target.ledger.abandoned())
        interval_ms = SETTLE_TIME_MS if uncertain else self.settings.renew_interval_ms
        if target.renewal_in_flight or now_ms - target.last_renewal_ms < interval_ms:
            return []
        if target.takeover and now_ms < target.takeover.exclusive_from_ms:
            return []
        tasks = target.tasks.renewals(now_ms)
        end_ms = target.clock.lease_end_ms(self.settings.task_lease_ms)
        target.tasks.record_renewal_sent(tasks, end_ms)
        target.renewal_in_flight, target.last_renewal_ms = True, now_ms
        body = RenewBody(
            lease_until_ms=target.clock.reading_ms + self.settings.task_lease_ms,
            tasks=[(task.task_id, task.epoch) for task in tasks],
        )
        pending = _Renewal(target, tasks, now_ms)
        timeout_ms = self.settings.task_call_timeout_ms
        return [self._call(pending, _RENEW_PATH, msgspec.json.encode(body), timeout_ms)]

    def _task_calls(self, target: ManagedTarget, now_ms: int) -> Effects:
        if target.takeover is not None:
            return []
        max_calls = CONTROL_CONNECTIONS - 1 - target.task_calls_in_flight
        calls = target.tasks.next_calls(target.clock, max_calls, now_ms)
        target.task_calls_in_flight += len(calls)
        return [self._task_call(target, call) for call in calls]

    def _task_call(self, target: ManagedTarget, call: TaskCall) -> CallTarget:
        timeout_ms = self.settings.task_call_timeout_ms
        if call.kind is TaskCallKind.STOP:
            timeout_ms = self.settings.stop_timeout_ms
        pending = _TaskCallInFlight(target, call)
        return self._call(pending, call.kind, call.body, timeout_ms)

    def _call(
        self,
        pending: _Renewal | _TaskCallInFlight,
        path: str,
        body: bytes,
        timeout_ms: int,
    ) -> CallTarget:
        self._next_call_id += 1
        self._calls[self._next_call_id] = pending
        info = pending.target.owned.info
        return CallTarget(
            self._next_call_id,
            info.target_id,
            info.address,
            path,
            body,
            timeout_ms,
            self._send_by_ms,
        )

    def _renewal_done(
        self, pending: _Renewal, response: CallResponse, now_ms: int
    ) -> None:
        target = pending.target
        target.renewal_in_flight = False
        target.record_renewal_end(response.status is not None, now_ms)
        if response.status != 200:
            return
        try:
            renewed = msgspec.json.decode(response.body, type=RenewAnswerBody)
        except UNDECODABLE:
            return
        reading_ms = renewed["target_ms"]
        target.clock = target.clock.newer(reading_ms, now_ms)
        target.last_contact_ms = now_ms
        if target.answers_since(pending.requested_ms - SETTLE_TIME_MS):
            target.ledger.record_reading(
                pending.requested_ms, reading_ms, SETTLE_TIME_MS
            )
            target.fence_takeover(pending.requested_ms, reading_ms)
        for task_id, epoch in renewed["unknown"]:
            target.tasks.record_unknown(task_id, epoch, reading_ms)

    def _task_call_done(
        self, pending: _TaskCallInFlight, response: CallResponse, now_ms: int
    ) -> None:
        pending.target.task_calls_in_flight -= 1
        tasks, call = pending.target.tasks, pending.call
        if call.kind is TaskCallKind.START:
            tasks.on_start(call, response.status, response.sent, now_ms)
        elif call.kind is TaskCallKind.STOP:
            tasks.on_stop(call, _status_of(response), now_ms)


def _status_of(response: CallResponse) -> TaskStatusBody | None:
    if response.status != 200:
        return None
    try:
        return msgspec.json.decode(response.body, type=TaskStatusBody)
    except UNDECODABLE:
        return None
