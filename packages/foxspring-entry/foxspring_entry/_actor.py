"""Actor that owns an entry's state: processes events and executes effects."""

import logging
import queue
import threading
from typing import Any, NamedTuple

import pykka
from foxspring_link import Link, SendResult
from foxspring_model import AnnounceBody, Clock, RelayRequest, ReportBody

from foxspring_entry._caller_handoff import CallerHandoff, CallerReply
from foxspring_entry._core import EntryCore
from foxspring_entry._effects import (
    AbortRequest,
    CallTarget,
    CloseConnections,
    DisconnectPeer,
    Effects,
    ReplyToCaller,
    SendMessage,
    SendRequest,
)
from foxspring_entry._owner_requests import TargetOutcome
from foxspring_entry._owner_targets import CallResponse
from foxspring_entry._status import EntryStatus, OutcomeCounters
from foxspring_entry._status_of import status_of
from foxspring_entry._target_client import TargetClient

_LOG = logging.getLogger(__name__)


class Submit(NamedTuple):
    """A caller's request; its outcome goes to ``handoff``."""

    relay: RelayRequest
    handoff: CallerHandoff


class Received(NamedTuple):
    """A message received over the link."""

    sender: str
    message: Any


class RequestDone(NamedTuple):
    """The outcome of a request at a target."""

    reservation_id: str
    result: TargetOutcome


class CallDone(NamedTuple):
    """The response to a platform API call."""

    call_id: int
    response: CallResponse


class Announced(NamedTuple):
    """An announcement that a target sent to this entry."""

    body: AnnounceBody


class Reported(NamedTuple):
    """A report that a target sent to this entry; the reply is the acked tasks."""

    report: ReportBody
    raw: bytes


class Tick(NamedTuple):
    """Triggers the periodic work."""


class BeginDrain(NamedTuple):
    """Become unready and hand over the targets."""


class IsIdle(NamedTuple):
    """Query whether the entry is idle; see :meth:`EntryCore.is_idle`."""


class GetStatus(NamedTuple):
    """Query for the :class:`EntryStatus`."""


class EntryActor(pykka.ThreadingActor):
    """Passes each event to the core and executes the resulting effects."""

    use_daemon_thread = True

    @staticmethod
    def _create_actor_inbox() -> Any:
        # pykka's default inbox takes several locks for each message.
        return queue.SimpleQueue()

    def __init__(
        self, core: EntryCore, link: Link, client: TargetClient, clock: Clock
    ) -> None:
        super().__init__()
        self.core = core
        self._link = link
        self._client = client
        self._clock = clock
        self._handoffs: dict[str, tuple[CallerHandoff, int]] = {}
        self.counters = OutcomeCounters()

    def on_receive(self, message: Any) -> Any:
        """Process one event; return a reply if the event is a query or a report."""
        now_ms = self._clock.monotonic_ms()
        try:
            return self._handle(message, now_ms)
        except Exception:
            _LOG.exception("event=event_failed kind=%s", type(message).__name__)
            return None

    def _handle(self, message: Any, now_ms: int) -> Any:
        match message:
            case Received(sender, received):
                self._apply_all(self.core.on_message(sender, received, now_ms))
            case RequestDone(reservation_id, result):
                self._apply_all(
                    self.core.on_request_done(reservation_id, result, now_ms)
                )
            case CallDone(call_id, response):
                self._apply_all(self.core.on_call_done(call_id, response, now_ms))
            case Submit(relay, handoff):
                self._handoffs[relay.request_id] = (handoff, now_ms)
                self._apply_all(self.core.submit(relay, now_ms))
            case Tick():
                self._apply_all(self.core.tick(now_ms))
            case Announced(body):
                self._apply_all(self.core.on_announcement(body, now_ms))
            case Reported(report, raw):
                effects, acked = self.core.on_report(report, raw, now_ms)
                self._apply_all(effects)
                return acked
            case BeginDrain():
                self._apply_all(self.core.drain(now_ms))
            case IsIdle():
                return self.core.is_idle(now_ms)
            case GetStatus():
                return self._status(now_ms)
        return None

    def _status(self, now_ms: int) -> EntryStatus:
        return status_of(self.core, self.counters, now_ms)

    def _apply_all(self, effects: Effects) -> None:
        pending: queue.SimpleQueue[Any] = queue.SimpleQueue()
        for effect in effects:
            pending.put(effect)
        while not pending.empty():
            for further in self._apply(pending.get()):
                pending.put(further)

    def _apply(self, effect: Any) -> Effects:
        match effect:
            case SendMessage(address, message):
                return self._send(address, message)
            case ReplyToCaller():
                self._reply(effect)
            case SendRequest():
                self._send_request(effect)
            case CallTarget():
                self._client.call(effect)
            case AbortRequest(reservation_id):
                self._client.abort(reservation_id)
            case DisconnectPeer(address):
                self._link.disconnect(address)
            case CloseConnections(address):
                self._client.pool.close_idle(address)
        return []

    def _send(self, address: str, message: Any) -> Effects:
        if self._link.send(address, message) is SendResult.QUEUED:
            return []
        return self.core.on_not_sent(message, self._clock.monotonic_ms())

    def _reply(self, effect: ReplyToCaller) -> None:
        pending = self._handoffs.pop(effect.request_id, None)
        if pending is None:
            return
        handoff, submitted_ms = pending
        reason = str(getattr(effect.outcome, "reason", ""))
        latency_ms = self._clock.monotonic_ms() - submitted_ms
        self.counters.record(str(effect.outcome.verdict), reason, latency_ms)
        handoff.offer(CallerReply(effect.outcome, effect.target_id))

    def _send_request(self, effect: SendRequest) -> None:
        pending = self._handoffs.get(effect.relay.request_id)
        if pending is None or not pending[0].offer(effect):
            self._client.send(effect)


class Ticker:
    """Sends ``Tick`` to an actor at a fixed interval."""

    def __init__(self, actor: "pykka.ActorRef[EntryActor]", interval_ms: int) -> None:
        self._actor = actor
        self._every_s = interval_ms / 1_000
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="ticker", daemon=True)

    def start(self) -> None:
        """Start the ticker thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the ticker thread and wait for its end."""
        self._stopping.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopping.wait(self._every_s):
            try:
                self._actor.tell(Tick())
            except pykka.ActorDeadError:
                return
