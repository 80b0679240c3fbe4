"""The entry: its HTTP server, link, actor and connections to targets."""

import logging
import random
import threading
from collections.abc import Callable, Mapping, Sequence
from typing import Any, cast

from foxspring_link import Codec, Link, LinkCounters, SendResult
from foxspring_model import (
    INVARIANT_CHECKS,
    AnnounceBody,
    Answered,
    Clock,
    Configuration,
    EntryLeaseGrant,
    HeartbeatRejected,
    Invariant,
    Outcome,
    ProposalResult,
    QueryResult,
    RelayRequest,
    ReportBody,
    Service,
    Uncertain,
)

from foxspring_entry._actor import (
    Announced,
    BeginDrain,
    CallDone,
    EntryActor,
    GetStatus,
    IsIdle,
    Received,
    Reported,
    RequestDone,
    Submit,
    Ticker,
)
from foxspring_entry._caller_handoff import CallerHandoff, CallerReply
from foxspring_entry._control_client import ControlClient
from foxspring_entry._core import EntryCore
from foxspring_entry._http import HttpRequest, HttpResponse, Role, Route
from foxspring_entry._http_server import HttpServer
from foxspring_entry._service_routes import service_routes
from foxspring_entry._settings import EntrySettings
from foxspring_entry._status import EntryStatus
from foxspring_entry._target_client import TargetClient
from foxspring_entry._target_routes import target_routes

_LOG = logging.getLogger(__name__)
_ACTOR_TIMEOUT_S = 5.0
_REPLY_GRACE_MS = 2_000
_POLL_S = 0.05
_MS_PER_S = 1_000

Routes = Callable[["Entry"], Sequence[Route]]
Parse = Callable[[str], Configuration]


class Entry:
    """One entry: ``start`` it, and stop it with ``drain`` (graceful) or ``close``.

    ``parse`` converts the INI text of a configuration, ``routes`` returns
    additional HTTP routes, and ``seed`` makes the random choices reproducible.
    """

    def __init__(
        self,
        settings: EntrySettings,
        clock: Clock,
        codec: Codec,
        parse: Parse,
        routes: Routes = lambda entry: (),
        seed: int | None = None,
    ) -> None:
        self.settings = settings
        self._clock = clock
        self._codec = codec
        self._parse = parse
        self._routes = routes
        self._rng = random.Random(seed)
        self._drain_lock = threading.Lock()
        self._drained = False
        self._closed = threading.Event()
        self._live = False

    def start(self) -> None:
        """Bind the link and HTTP addresses and start to serve.

        Raises:
            OSError: an address is in use; configure another one.
        """
        self._link = Link(
            self.settings.link_address,
            self._codec,
            self._on_message,
            self._clock,
            advertised_address=self.settings.advertised_link_address,
        )
        self.link_address = self._link.address
        self.control = ControlClient(
            self.settings.control_addresses,
            self.link_address,
            self._send_to_control,
            self._clock,
        )
        self._http_server = HttpServer(self.settings, self._all_routes())
        self.http_address = self._http_server.bind()
        self._start_actor()
        self._link.start()
        self._http_server.start()
        self._ticker.start()
        self._live = True
        _LOG.info(
            "event=entry_started entry=%s link=%s http=%s",
            self.settings.entry_id,
            self.link_address,
            self.http_address,
        )

    def drain(self) -> None:
        """Stop gracefully, without interrupting requests; block until done.

        Becomes unready, waits for the load balancer to notice, hands over the
        targets, finishes the requests in flight, then closes; closes after
        ``drain_limit_ms`` in any case. A second call waits for the first.
        """
        with self._drain_lock:
            if self._drained:
                return
            self._actor.tell(BeginDrain())
            grace_ms, limit_ms = (
                self.settings.drain_grace_ms,
                self.settings.drain_limit_ms,
            )
            started_ms = self._clock.monotonic_ms()
            while self._clock.monotonic_ms() - started_ms < limit_ms:
                waited_ms = self._clock.monotonic_ms() - started_ms
                if waited_ms >= grace_ms and self._is_idle():
                    break
                if self._closed.wait(_POLL_S):
                    return
            else:
                _LOG.error("event=drain_limit_reached limit_ms=%d", limit_ms)
            INVARIANT_CHECKS.check(
                Invariant.STOP_CUTS_NOTHING, self._is_idle(), "drain"
            )
            self._drained = True
            self.close()

    def close(self) -> None:
        """Stop immediately; requests in flight are interrupted."""
        if self._closed.is_set():
            return
        self._closed.set()
        self._live = False
        self._http_server.stop()
        self._ticker.stop()
        self._link.close()
        self._client.close()
        self._actor.stop()
        _LOG.info("event=entry_stopped entry=%s", self.settings.entry_id)

    def set_tokens(self, settings: EntrySettings) -> None:
        """Replace the accepted tokens with those of ``settings``."""
        self._http_server.set_tokens(settings)

    def is_live(self) -> bool:
        """Return whether the entry has been started and not closed."""
        return self._live

    def status(self) -> EntryStatus:
        """Return the current status of the entry."""
        return cast(EntryStatus, self._ask_actor(GetStatus()))

    def serving(self, service: str) -> tuple[str, ...]:
        """Return the ids of targets that run a service and are not leaving."""
        return self._core.table.serving(service)

    def link_counters(self) -> LinkCounters:
        """Return the traffic counters of the links to other daemons."""
        return self._link.counters()

    def submit(self, relay: RelayRequest) -> tuple[Outcome, str]:
        """Run a request; return its outcome and the id of the target that ran it."""
        handoff = CallerHandoff()
        self._actor.tell(Submit(relay, handoff))
        limit_s = (relay.remaining_ms + _REPLY_GRACE_MS) / _MS_PER_S
        while (item := handoff.next(limit_s)) is not None:
            if isinstance(item, CallerReply):
                return item.outcome, item.target_id
            outcome = self._client.send_blocking(item)
            if isinstance(outcome, Answered):
                return outcome, item.target_id
        _LOG.error("event=reply_overdue request=%s", relay.request_id)
        return Uncertain("the entry did not decide in time"), ""

    def _start_actor(self) -> None:
        core = EntryCore(
            self.settings, self.link_address, self.http_address, self._parse, self._rng
        )
        self._core = core
        self._client = TargetClient(
            self.settings,
            self._clock,
            lambda reservation_id, result: self._tell_actor(
                RequestDone(reservation_id, result)
            ),
            lambda call_id, response: self._tell_actor(CallDone(call_id, response)),
        )
        self._actor = EntryActor.start(core, self._link, self._client, self._clock)
        self._ticker = Ticker(self._actor, self.settings.tick_ms)

    def _ask_actor(self, message: Any) -> Any:
        return self._actor.ask(message, timeout=_ACTOR_TIMEOUT_S)

    def _tell_actor(self, message: Any) -> None:
        if not self._closed.is_set():
            self._actor.tell(message)

    def _on_message(self, sender: str, message: Any) -> None:
        if isinstance(message, ProposalResult | QueryResult):
            self.control.on_reply(message)
            return
        if isinstance(message, EntryLeaseGrant):
            self.control.record_leader(message.leader_id, sender)
        elif isinstance(message, HeartbeatRejected):
            self.control.record_member(message.member_id, sender)
        self._tell_actor(Received(sender, message))

    def _send_to_control(self, address: str, message: Any) -> bool:
        return self._link.send(address, message) is SendResult.QUEUED

    def _all_routes(self) -> list[Route]:
        return [
            Route("GET", "/healthz", Role.ANYONE, self._healthz),
            Route("GET", "/readyz", Role.ANYONE, self._readyz),
            *target_routes(self._announced, self._reported, self._owner_address),
            *service_routes(
                self.settings, self.control, self._clock, self._services, self.submit
            ),
            *self._routes(self),
        ]

    def _services(self) -> Mapping[str, Service]:
        return self._core.requests.services

    def _announced(self, body: AnnounceBody) -> None:
        self._tell_actor(Announced(body))

    def _reported(self, report: ReportBody, raw: bytes) -> list[list[str | int]]:
        message = Reported(report, raw)
        return cast(list[list[str | int]], self._ask_actor(message) or [])

    def _owner_address(self, target_id: str) -> str:
        owner = self._core.table.owner_of(target_id)
        return owner.http_address if owner is not None else ""

    def _healthz(self, _request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, b"live\n", (("Content-Type", "text/plain"),))

    def _readyz(self, _request: HttpRequest) -> HttpResponse:
        ready = self._live and self._core.is_ready(self._clock.monotonic_ms())
        status, body = (200, b"ready\n") if ready else (503, b"not ready\n")
        return HttpResponse(status, body, (("Content-Type", "text/plain"),))

    def _is_idle(self) -> bool:
        return bool(self._ask_actor(IsIdle()))
