"""Decision logic of an entry: a state machine without I/O or a clock."""

import logging
import random
from collections.abc import Callable
from typing import Any

from foxspring_model import (
    INVARIANT_CHECKS,
    AnnounceBody,
    Configuration,
    ConfigurationPush,
    EntryInfo,
    EntryLeaseGrant,
    EntryLoad,
    ForwardedReport,
    HeartbeatRejected,
    Invariant,
    OwnedTarget,
    OwnershipUpdate,
    RefusalReason,
    RelayAnswer,
    RelayRequest,
    ReportBody,
    RunTask,
    StopTask,
    TaskEventsAck,
    ThrottleTask,
    UsageBatch,
    Verdict,
)

from foxspring_entry._effects import DisconnectPeer, Effects, SendMessage
from foxspring_entry._heartbeats import Heartbeats, LoadReports
from foxspring_entry._lease import EntryLease, renew
from foxspring_entry._loads import OwnerLoads
from foxspring_entry._messages import ReportAcks, TargetReleased
from foxspring_entry._origin import Origin
from foxspring_entry._outbox import EventOutbox
from foxspring_entry._owner_requests import OwnerRequests, TargetOutcome
from foxspring_entry._owner_targets import CallResponse, OwnerTargets
from foxspring_entry._ownership import OwnershipTable
from foxspring_entry._reports import MalformedBodyError
from foxspring_entry._retries import RetryBudget
from foxspring_entry._settings import EntrySettings
from foxspring_entry._target_ingest import Acked, TargetIngest

_LOG = logging.getLogger(__name__)

Parse = Callable[[str], Configuration]


class EntryCore:
    """State machine of one entry: turns events into effects.

    Event methods take the entry's monotonic time as ``now_ms``; the effects
    that they return must be executed in order. Not thread-safe.
    """

    def __init__(
        self,
        settings: EntrySettings,
        link_address: str,
        http_address: str,
        parse: Parse,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.parse = parse
        self.info = EntryInfo(
            settings.entry_id,
            settings.incarnation,
            link_address,
            http_address,
            settings.failure_domain,
        )
        self.lease = EntryLease()
        self.lease_was_valid = False
        self.revision = 0
        self.table = OwnershipTable()
        self.loads = OwnerLoads(settings.load_max_age_ms)
        self.requests = OwnerRequests(settings, rng)
        self.targets = OwnerTargets(settings)
        self.requests.targets = self.targets.targets
        self.outbox = EventOutbox(settings.entry_id, settings.incarnation)
        self.origin = Origin(
            settings.entry_id,
            link_address,
            settings.failure_domain,
            self.table,
            self.loads,
            RetryBudget(settings.retry_budget_percent),
            settings.max_attempts,
            self.requests.current_load,
            rng,
        )
        self.heartbeats = Heartbeats(settings)
        self.load_reports = LoadReports(settings)
        self.ingest = TargetIngest(
            settings.entry_id,
            settings.incarnation,
            self.table,
            self.targets,
            settings.announcement_interval_ms,
        )

    def is_ready(self, now_ms: int) -> bool:
        """Return whether the entry is ready to accept requests from callers."""
        return (
            self.lease.is_valid(now_ms)
            and not self.info.draining
            and self.table.version > 0
        )

    def submit(self, relay: RelayRequest, now_ms: int) -> Effects:
        """Process a caller's request; the outcome is a ``ReplyToCaller`` effect."""
        if not self.lease.is_valid(now_ms):
            return self.origin.refuse(relay, self._lease_refusal(relay))
        return self._deliver_local(self.origin.submit(relay, now_ms), now_ms)

    def on_message(self, sender: str, message: Any, now_ms: int) -> Effects:
        """Process a message from another process."""
        handler = self._handlers().get(type(message))
        if handler is None:
            _LOG.warning("event=message_ignored kind=%s", type(message).__name__)
            return []
        effects = handler(sender, message, now_ms)
        return self._deliver_local(effects, now_ms)

    def on_not_sent(self, message: Any, now_ms: int) -> Effects:
        """Handle a message that is known not to have reached its receiver."""
        if not isinstance(message, RelayRequest):
            return []
        return self._deliver_local(self.origin.on_not_sent(message, now_ms), now_ms)

    def on_request_done(
        self, reservation_id: str, result: TargetOutcome, now_ms: int
    ) -> Effects:
        """Process the outcome of a request that was sent to a target."""
        running = self.requests.running.get(reservation_id)
        effects = self.requests.on_outcome(reservation_id, result, now_ms)
        if running is not None and self.lease.is_valid(now_ms):
            service = running.item.relay.service
            effects.extend(self.requests.dispatch_queued(service, now_ms))
        return self._deliver_local(effects, now_ms)

    def on_call_done(
        self, call_id: int, response: CallResponse, now_ms: int
    ) -> Effects:
        """Process the response to a platform API call."""
        self.targets.on_call_done(call_id, response, now_ms)
        return self._send_events(now_ms)

    def on_announcement(self, body: AnnounceBody, now_ms: int) -> Effects:
        """Process a target's announcement and forward it to control."""
        seen = self.ingest.on_announcement(body, now_ms)
        return self._to_leader(seen) if seen is not None else []

    def on_report(
        self, report: ReportBody, raw: bytes, now_ms: int
    ) -> tuple[Effects, Acked]:
        """Process a target's report; also return the tasks that it may discard."""
        effects, acked = self.ingest.on_report(report, raw, now_ms)
        return effects + self._send_events(now_ms), acked

    def tick(self, now_ms: int) -> Effects:
        """Perform the periodic work that is due at ``now_ms``."""
        effects: Effects = []
        valid = self.lease.is_valid(now_ms)
        if self.lease_was_valid and not valid:
            effects.extend(self._on_lease_lost())
        self.lease_was_valid = valid
        effects.extend(self._send_heartbeat(now_ms))
        if valid:
            effects.extend(self.requests.tick(now_ms))
        else:
            effects.extend(self.requests.expire(now_ms))
        effects.extend(self.origin.tick(now_ms))
        effects.extend(self.targets.tick(self.lease.until_ms, now_ms))
        effects.extend(self._send_load(now_ms))
        effects.extend(self._send_usage(now_ms))
        effects.extend(self._send_events(now_ms))
        return self._deliver_local(effects, now_ms)

    def drain(self, now_ms: int) -> Effects:
        """Become unready and ask control to reassign the targets."""
        self.info = self.info._replace(draining=True)
        self.heartbeats.pace.make_due()
        return self._send_heartbeat(now_ms)

    def is_idle(self, now_ms: int) -> bool:
        """Return whether the entry can stop without cutting off any work.

        That is the case when it owns no targets and has no requests in flight
        or pending and no unacknowledged task events. Without control no other
        entry takes over the targets, so ``drain_without_control_ms`` after the
        lease ended they no longer count; their next owner learns about the
        unacknowledged events from the targets' reports.
        """
        if self.requests.running or self.origin.pending:
            return False
        if now_ms - self.lease.until_ms >= self.settings.drain_without_control_ms:
            return True
        return not self.targets.targets and self.outbox.is_empty()

    def _handlers(self) -> dict[type, Callable[[str, Any, int], Effects]]:
        return {
            EntryLeaseGrant: self._on_grant,
            HeartbeatRejected: lambda *_: [],
            ConfigurationPush: self._on_configuration,
            OwnershipUpdate: self._on_ownership,
            RelayRequest: self._on_relay,
            RelayAnswer: lambda _s, answer, now: self.origin.on_answer(answer, now),
            EntryLoad: self._on_load,
            ForwardedReport: self._on_forwarded,
            ReportAcks: lambda _s, acks, _now: self.ingest.on_acks(acks),
            TargetReleased: self._on_released,
            RunTask: self._on_run,
            StopTask: self._on_stop,
            ThrottleTask: self._on_throttle,
            TaskEventsAck: self._on_events_ack,
        }

    def _deliver_local(self, effects: Effects, now_ms: int) -> Effects:
        """Handle messages addressed to this entry directly, without the link."""
        own = self.info.link_address
        result: Effects = []
        undelivered = list(effects)
        while undelivered:
            effect = undelivered.pop(0)
            if isinstance(effect, SendMessage) and effect.address == own:
                handler = self._handlers()[type(effect.message)]
                undelivered.extend(handler(own, effect.message, now_ms))
            else:
                result.append(effect)
        return result

    def _on_grant(self, sender: str, grant: EntryLeaseGrant, now_ms: int) -> Effects:
        self.lease = renew(self.lease, grant, sender, now_ms)
        self.requests.lease_until_ms = self.lease.until_ms
        if self.lease.leader_address == sender:
            self.heartbeats.last_grant_ms = now_ms
        return []

    def _on_configuration(
        self, _sender: str, push: ConfigurationPush, now_ms: int
    ) -> Effects:
        if push.revision <= self.revision:
            return []
        try:
            configuration = self.parse(push.text)
        except ValueError as error:
            _LOG.error("event=configuration_unreadable reason=%r", str(error))
            return []
        INVARIANT_CHECKS.check(
            Invariant.REVISION_NEVER_FALLS, push.revision > self.revision
        )
        self.revision = push.revision
        self.requests.configure(configuration)
        self.heartbeats.pace.make_due()
        return self._send_heartbeat(now_ms)

    def _on_ownership(
        self, _sender: str, update: OwnershipUpdate, now_ms: int
    ) -> Effects:
        change = self.table.apply(update)
        self.ingest.remove_absent_targets()
        effects: Effects = []
        for changed in change.changed:
            if changed.owned.owner == self.info.entry_id:
                self.targets.assign(changed, now_ms)
            else:
                effects.extend(self._hand_over(changed.owned))
        for owned in change.removed:
            effects.extend(self._stop_owning(owned.info.target_id))
        if change.removed:
            self.targets.retain_releases(self.table.targets.keys())
        if change.entries_changed:
            effects.extend(self.origin.on_entries_changed(now_ms))
        for entry in change.departed:
            self.loads.remove(entry.entry_id)
            effects.append(DisconnectPeer(entry.link_address))
        return effects

    def _hand_over(self, owned: OwnedTarget) -> Effects:
        """Stop owning a target and notify the next owner, which waits for this."""
        target_id = owned.info.target_id
        owner = self.table.entries.get(owned.owner)
        if target_id not in self.targets.targets or owner is None:
            return self._stop_owning(target_id)
        released = TargetReleased(target_id, owned.owner_epoch)
        message = SendMessage(owner.link_address, released)
        return [*self._stop_owning(target_id), message]

    def _on_released(
        self, _sender: str, message: TargetReleased, now_ms: int
    ) -> Effects:
        self.targets.on_released(message.target_id, message.owner_epoch, now_ms)
        return []

    def _stop_owning(self, target_id: str) -> Effects:
        self.outbox.add(self.targets.pop_events())
        return self.targets.stop_owning(target_id)

    def _on_relay(self, sender: str, relay: RelayRequest, now_ms: int) -> Effects:
        if self.lease.is_valid(now_ms):
            return self.requests.on_request(relay, sender, now_ms)
        return [SendMessage(sender, self._lease_refusal(relay))]

    def _lease_refusal(self, relay: RelayRequest) -> RelayAnswer:
        return RelayAnswer(
            relay.request_id,
            relay.attempt,
            Verdict.NOT_RUN,
            RefusalReason.LEASE_EXPIRED,
            f"entry {self.info.entry_id} has no lease from control; use another entry",
            self.settings.heartbeat_ms,
        )

    def _on_load(self, _sender: str, load: EntryLoad, now_ms: int) -> Effects:
        self.loads.store(load, now_ms)
        return []

    def _on_forwarded(
        self, sender: str, forwarded: ForwardedReport, now_ms: int
    ) -> Effects:
        try:
            effects = self.ingest.on_forwarded_report(sender, forwarded, now_ms)
        except MalformedBodyError as error:
            _LOG.warning("event=report_refused reason=%r", str(error))
            return []
        return effects + self._send_events(now_ms)

    def _on_run(self, _sender: str, run: RunTask, now_ms: int) -> Effects:
        if self.lease.is_valid(now_ms):
            self.targets.run(run, now_ms)
        return self._send_events(now_ms)

    def _on_stop(self, _sender: str, stop: StopTask, now_ms: int) -> Effects:
        if self.lease.is_valid(now_ms):
            self.targets.stop(stop, now_ms)
        return self._send_events(now_ms)

    def _on_throttle(self, _sender: str, throttle: ThrottleTask, _ms: int) -> Effects:
        self.targets.throttle(throttle)
        return []

    def _on_events_ack(self, _sender: str, ack: TaskEventsAck, now_ms: int) -> Effects:
        self.targets.commit(self.outbox.acknowledge(ack.batch_id))
        return self._send_events(now_ms)

    def _on_lease_lost(self) -> Effects:
        _LOG.warning("event=lease_lost entry=%s", self.info.entry_id)
        effects = self.requests.refuse_queued(
            RefusalReason.LEASE_EXPIRED,
            "the owner's lease expired while the request was queued",
        )
        return effects + self.targets.on_lease_lost()

    def _send_heartbeat(self, now_ms: int) -> Effects:
        due = self.heartbeats.due(
            self.info,
            self.revision,
            self.table.version,
            self.lease.leader_address,
            now_ms,
        )
        if due is None:
            return []
        receivers, heartbeat = due
        return [SendMessage(address, heartbeat) for address in receivers]

    def _send_load(self, now_ms: int) -> Effects:
        if not self.load_reports.pace.is_due(now_ms):
            return []
        names = sorted(
            {name for t in self.targets.targets.values() for name in t.owned.services}
        )
        services = tuple(
            (name, *self.requests.current_load(name, now_ms)) for name in names
        )
        load = self.load_reports.next_report(services)
        self.loads.store(load, now_ms)
        if not self.load_reports.should_send(services, now_ms):
            return []
        return [
            SendMessage(entry.link_address, load)
            for entry in self.table.entries.values()
            if entry.entry_id != self.info.entry_id
        ]

    def _send_usage(self, now_ms: int) -> Effects:
        samples = self.ingest.usage.pop_due(self.lease.leader_address, now_ms)
        if not samples:
            return []
        return self._to_leader(UsageBatch(self.info.entry_id, samples))

    def _send_events(self, now_ms: int) -> Effects:
        self.outbox.add(self.targets.pop_events())
        if not self.lease.leader_address:
            return []
        batch = self.outbox.due(now_ms)
        return self._to_leader(batch) if batch is not None else []

    def _to_leader(self, message: Any) -> Effects:
        if not self.lease.leader_address:
            return []
        return [SendMessage(self.lease.leader_address, message)]
