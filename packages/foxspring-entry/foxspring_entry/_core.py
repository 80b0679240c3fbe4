"""Every decision of an entry: events in, effects out, no I/O and no clock."""

import logging
import random
from collections.abc import Callable
from typing import Any

from foxspring_model import (
    CHECKS,
    AnnounceBody,
    Configuration,
    ConfigurationPush,
    EntryHeartbeat,
    EntryInfo,
    EntryLeaseGrant,
    EntryLoad,
    ForwardedReport,
    HeartbeatRejected,
    Invariant,
    OwnershipUpdate,
    RefusalReason,
    RelayAnswer,
    RelayRequest,
    ReportBody,
    RunTask,
    StopTask,
    TargetSeen,
    TaskEventsAck,
    ThrottleTask,
    UsageBatch,
    UsageSample,
    Verdict,
)

from foxspring_entry._effects import Effects, SendMessage
from foxspring_entry._lease import EntryLease, renew
from foxspring_entry._loads import LoadBook
from foxspring_entry._messages import ReportAcks
from foxspring_entry._origin import Origin
from foxspring_entry._outbox import EventOutbox
from foxspring_entry._owner_requests import OwnerRequests, TargetOutcome
from foxspring_entry._owner_targets import CallAnswer, OwnerTargets
from foxspring_entry._ownership import OwnershipTable
from foxspring_entry._reports import (
    MalformedBodyError,
    decode_report,
    target_info,
    usage_sample,
)
from foxspring_entry._retries import RetryBudget
from foxspring_entry._settings import EntrySettings

_LOG = logging.getLogger(__name__)
_USAGE_INTERVAL_MS = 1_000
_LOAD_REFRESH_MS = 600

Parse = Callable[[str], Configuration]


class EntryCore:
    """The state of one entry and its reactions to events.

    Every method takes the entry's clock as ``now_ms`` and returns effects to
    be carried out in order. Only one thread may use it.
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
        self.lease_held = False
        self.revision = 0
        self.table = OwnershipTable()
        self.loads = LoadBook(settings.load_max_age_ms)
        self.requests = OwnerRequests(settings.target_silence_ms, rng)
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
            rng,
        )
        self.acks: dict[str, tuple[tuple[str, int], ...]] = {}
        self._samples: list[UsageSample] = []
        self._seen: dict[str, tuple[AnnounceBody, int]] = {}
        self._sequence = 0
        self._last_load: tuple[tuple[str, int, int, int], ...] = ()
        self._sent_ms = dict.fromkeys(("heartbeat", "load", "usage"), -1_000_000)
        self._granted_ms = -1_000_000

    def is_ready(self, now_ms: int) -> bool:
        """Tell whether callers should be sent here."""
        return (
            self.lease.is_valid(now_ms)
            and not self.info.draining
            and self.table.version > 0
        )

    def submit(self, relay: RelayRequest, now_ms: int) -> Effects:
        """Take a caller's request; its outcome comes as ``ReplyToCaller``."""
        if not self.lease.is_valid(now_ms):
            refusal = RelayAnswer(
                relay.request_id,
                relay.attempt,
                Verdict.NOT_RUN,
                RefusalReason.LEASE_EXPIRED,
                "this entry has no lease from control; use another entry",
                self.settings.heartbeat_ms,
            )
            return self.origin.refuse(relay, refusal)
        return self._own(self.origin.submit(relay, now_ms), now_ms)

    def message(self, sender: str, message: Any, now_ms: int) -> Effects:
        """Take a message from another process."""
        handler = self._handlers().get(type(message))
        if handler is None:
            _LOG.warning("event=message_ignored kind=%s", type(message).__name__)
            return []
        effects = handler(sender, message, now_ms)
        return self._own(effects, now_ms)

    def not_sent(self, message: Any, now_ms: int) -> Effects:
        """Take note that a message surely did not reach its receiver."""
        if not isinstance(message, RelayRequest):
            return []
        return self._own(self.origin.not_sent(message, now_ms), now_ms)

    def request_done(self, hold_id: str, result: TargetOutcome, now_ms: int) -> Effects:
        """Take what became of a request at a target."""
        running = self.requests.running.get(hold_id)
        effects = self.requests.done(hold_id, result, now_ms)
        if running is not None and self.lease.is_valid(now_ms):
            service = running.item.relay.service
            effects.extend(self.requests.pump(service, now_ms))
        return self._own(effects, now_ms)

    def call_done(self, call_id: int, answer: CallAnswer, now_ms: int) -> Effects:
        """Take what became of a call of the platform contract."""
        self.targets.call_done(call_id, answer, now_ms)
        return self._send_events(now_ms)

    def announce(self, body: AnnounceBody, now_ms: int) -> Effects:
        """Take a target's announcement and pass it on to control."""
        held = self._seen.get(body["target_id"])
        every_ms = self.settings.seen_interval_ms
        if held and held[0] == body and now_ms - held[1] < every_ms:
            return []
        self._seen[body["target_id"]] = (body, now_ms)
        seen = TargetSeen(self.info.entry_id, target_info(body))
        return self._to_leader(seen)

    def report(
        self, report: ReportBody, raw: bytes, now_ms: int
    ) -> tuple[Effects, list[list[str | int]]]:
        """Take a target's report here or pass it to the target's owner.

        Returns the effects and the ended tasks that the target may forget.
        """
        target_id = report["target_id"]
        owner = self.table.owner_of(target_id)
        if owner is None:
            return [], []
        if owner.entry_id == self.info.entry_id:
            acked = self._take_report(report, now_ms)
            return self._send_events(now_ms), acked
        held = self.acks.pop(target_id, ())
        forward = SendMessage(owner.link_address, ForwardedReport(target_id, raw))
        return [forward], [list(pair) for pair in held]

    def tick(self, now_ms: int) -> Effects:
        """Do what is due at ``now_ms``."""
        effects: Effects = []
        valid = self.lease.is_valid(now_ms)
        if self.lease_held and not valid:
            effects.extend(self._lease_lost(now_ms))
        self.lease_held = valid
        effects.extend(self._heartbeat(now_ms))
        if valid:
            effects.extend(self.requests.tick(now_ms))
        else:
            effects.extend(self.requests.expire(now_ms))
        effects.extend(self.origin.tick(now_ms))
        effects.extend(self.targets.tick(valid, now_ms))
        effects.extend(self._load(now_ms))
        effects.extend(self._usage(now_ms))
        effects.extend(self._send_events(now_ms))
        return self._own(effects, now_ms)

    def drain(self, now_ms: int) -> Effects:
        """Turn unready and ask control to give the targets to others."""
        self.info = self.info._replace(draining=True)
        self._sent_ms["heartbeat"] = -1_000_000
        return self._heartbeat(now_ms)

    def is_idle(self) -> bool:
        """Tell whether nothing is owned, in flight, waiting or unsaid."""
        return (
            not self.targets.targets
            and not self.requests.running
            and not self.origin.pending
            and self.outbox.is_empty()
        )

    def _handlers(self) -> dict[type, Callable[[str, Any, int], Effects]]:
        return {
            EntryLeaseGrant: self._on_grant,
            HeartbeatRejected: self._on_rejected,
            ConfigurationPush: self._on_configuration,
            OwnershipUpdate: self._on_ownership,
            RelayRequest: self._on_relay,
            RelayAnswer: lambda _s, answer, now: self.origin.answered(answer, now),
            EntryLoad: self._on_load,
            ForwardedReport: self._on_forwarded,
            ReportAcks: self._on_acks,
            RunTask: self._on_run,
            StopTask: self._on_stop,
            ThrottleTask: self._on_throttle,
            TaskEventsAck: self._on_events_ack,
        }

    def _own(self, effects: Effects, now_ms: int) -> Effects:
        """Carry out messages to this entry itself, without the link."""
        own = self.info.link_address
        result: Effects = []
        waiting = list(effects)
        while waiting:
            effect = waiting.pop(0)
            if isinstance(effect, SendMessage) and effect.address == own:
                handler = self._handlers()[type(effect.message)]
                waiting.extend(handler(own, effect.message, now_ms))
            else:
                result.append(effect)
        return result

    def _on_grant(self, sender: str, grant: EntryLeaseGrant, now_ms: int) -> Effects:
        self.lease = renew(self.lease, grant, sender, now_ms)
        if self.lease.leader_address == sender:
            self._granted_ms = now_ms
        return []

    def _on_rejected(
        self, _sender: str, _message: HeartbeatRejected, _now_ms: int
    ) -> Effects:
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
        CHECKS.check(Invariant.REVISION_NEVER_FALLS, push.revision > self.revision)
        self.revision = push.revision
        self.requests.configure(configuration)
        self._sent_ms["heartbeat"] = -1_000_000
        return self._heartbeat(now_ms)

    def _on_ownership(
        self, _sender: str, update: OwnershipUpdate, now_ms: int
    ) -> Effects:
        change = self.table.apply(update)
        effects: Effects = []
        for owned in change.changed:
            if owned.owner == self.info.entry_id:
                self.targets.assign(owned, now_ms)
            else:
                effects.extend(self._give_away(owned.info.target_id))
        for owned in change.removed:
            effects.extend(self._give_away(owned.info.target_id))
        if change.entries_changed:
            effects.extend(self.origin.entries_changed(now_ms))
        return effects

    def _give_away(self, target_id: str) -> Effects:
        self.outbox.add(self.targets.take_events())
        return self.targets.give_away(target_id)

    def _on_relay(self, sender: str, relay: RelayRequest, now_ms: int) -> Effects:
        if self.lease.is_valid(now_ms):
            return self.requests.request(relay, sender, now_ms)
        answer = RelayAnswer(
            relay.request_id,
            relay.attempt,
            Verdict.NOT_RUN,
            RefusalReason.LEASE_EXPIRED,
            "the owner has no lease from control",
            self.settings.heartbeat_ms,
        )
        return [SendMessage(sender, answer)]

    def _on_load(self, _sender: str, load: EntryLoad, now_ms: int) -> Effects:
        self.loads.store(load, now_ms)
        return []

    def _on_forwarded(
        self, sender: str, forwarded: ForwardedReport, now_ms: int
    ) -> Effects:
        try:
            report = decode_report(forwarded.report)
        except MalformedBodyError as error:
            _LOG.warning("event=report_refused reason=%r", str(error))
            return []
        acked = self._take_report(report, now_ms)
        effects = self._send_events(now_ms)
        if acked:
            pairs = tuple((str(task_id), int(epoch)) for task_id, epoch in acked)
            acks = ReportAcks(report["target_id"], pairs)
            effects.append(SendMessage(sender, acks))
        return effects

    def _on_acks(self, _sender: str, acks: ReportAcks, _now_ms: int) -> Effects:
        if acks.target_id in self.table.targets:
            self.acks[acks.target_id] = acks.acked
        return []

    def _on_run(self, _sender: str, run: RunTask, now_ms: int) -> Effects:
        if self.lease.is_valid(now_ms):
            self.targets.run(run, now_ms)
        return self._send_events(now_ms)

    def _on_stop(self, _sender: str, stop: StopTask, now_ms: int) -> Effects:
        if self.lease.is_valid(now_ms):
            self.targets.stop(stop, now_ms)
        return self._send_events(now_ms)

    def _on_throttle(
        self, _sender: str, throttle: ThrottleTask, _now_ms: int
    ) -> Effects:
        self.targets.throttle(throttle)
        return []

    def _on_events_ack(self, _sender: str, ack: TaskEventsAck, now_ms: int) -> Effects:
        self.targets.commit(self.outbox.acknowledge(ack.batch_id))
        return self._send_events(now_ms)

    def _take_report(self, report: ReportBody, now_ms: int) -> list[list[str | int]]:
        newer, acked = self.targets.report(report, now_ms)
        if newer:
            self._samples.append(usage_sample(report))
        return acked

    def _lease_lost(self, now_ms: int) -> Effects:
        _LOG.warning("event=lease_lost entry=%s", self.info.entry_id)
        effects = self.requests.refuse_queued(
            RefusalReason.LEASE_EXPIRED, "the owner's lease ended while it waited"
        )
        return effects + self.targets.lease_lost(now_ms)

    def _heartbeat(self, now_ms: int) -> Effects:
        if not self._is_due("heartbeat", self.settings.heartbeat_ms, now_ms):
            return []
        heartbeat = EntryHeartbeat(self.info, now_ms, self.revision, self.table.version)
        fresh = now_ms - self._granted_ms <= 2 * self.settings.heartbeat_ms
        if fresh and self.lease.leader_address:
            return [SendMessage(self.lease.leader_address, heartbeat)]
        return [
            SendMessage(address, heartbeat)
            for address in self.settings.control_addresses
        ]

    def _load(self, now_ms: int) -> Effects:
        if not self._is_due("load", self.settings.load_interval_ms, now_ms):
            return []
        names = sorted(
            {name for t in self.targets.targets.values() for name in t.owned.services}
        )
        services = tuple(
            (name, *self.requests.free_and_queued(name, now_ms)) for name in names
        )
        self._sequence += 1
        load = EntryLoad(
            self.info.entry_id, self.info.incarnation, self._sequence, services
        )
        self.loads.store(load, now_ms)
        refresh = self._sequence % (_LOAD_REFRESH_MS // self.settings.load_interval_ms)
        if services == self._last_load and refresh:
            return []
        self._last_load = services
        return [
            SendMessage(entry.link_address, load)
            for entry in self.table.entries.values()
            if entry.entry_id != self.info.entry_id
        ]

    def _usage(self, now_ms: int) -> Effects:
        if not self._is_due("usage", _USAGE_INTERVAL_MS, now_ms) or not self._samples:
            return []
        samples, self._samples = tuple(self._samples), []
        return self._to_leader(UsageBatch(self.info.entry_id, samples))

    def _send_events(self, now_ms: int) -> Effects:
        self.outbox.add(self.targets.take_events())
        if not self.lease.leader_address:
            return []
        batch = self.outbox.due(now_ms)
        return self._to_leader(batch) if batch is not None else []

    def _to_leader(self, message: Any) -> Effects:
        if not self.lease.leader_address:
            return []
        return [SendMessage(self.lease.leader_address, message)]

    def _is_due(self, name: str, every_ms: int, now_ms: int) -> bool:
        if now_ms - self._sent_ms[name] < every_ms:
            return False
        self._sent_ms[name] = now_ms
        return True
