"""A stand-in target: the platform's contract without any admission control."""

import threading
import time
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
from foxspring_link import SystemClock
from foxspring_model import (
    AnnounceBody,
    RenewBody,
    ReportBody,
    StartTaskBody,
    StopTaskBody,
    ThrottleBody,
)

from foxspring_testing._announcer import Announcer, PostIntervals
from foxspring_testing._behaviour import Behaviour
from foxspring_testing._events import EventWriter, read_events
from foxspring_testing._http_server import HttpReply, HttpRequest, HttpServer
from foxspring_testing._requests_run import SERVICES_PREFIX, RequestRunner
from foxspring_testing._standin_settings import StandInSettings
from foxspring_testing._task_table import TaskTable

_TICK_S = 0.01
_SAMPLES_KEPT = 1_000
# Tests and the harness set one behaviour at a time.
_CONTROL_THREADS = 4
_JSON = (("Content-Type", "application/json"),)


class _Usage(NamedTuple):
    measured_ms: int
    cores_milli: int
    memory_mb: int


class StandIn:
    """Serves, announces and reports until stopped; also usable within a test."""

    def __init__(self, settings: StandInSettings) -> None:
        self.settings = settings
        self.behaviour = Behaviour()
        clock = SystemClock()
        self._events = EventWriter(
            Path(settings.events), settings.target_id, settings.incarnation, clock
        )
        self.tasks = TaskTable(clock, settings.clock_offset_ms, self._events)
        self.requests = RequestRunner(settings.target_id, self._events)
        self._sequence = 0
        self._samples: deque[_Usage] = deque(maxlen=_SAMPLES_KEPT)
        self._stopping = threading.Event()
        self._ticker = threading.Thread(target=self._tick, daemon=True)
        self.platform = HttpServer(settings.address, self._serve_platform)
        self.control = HttpServer(
            settings.control_address, self._serve_control, _CONTROL_THREADS
        )
        self._announcer = Announcer(
            tuple(settings.entries.split()),
            settings.token,
            PostIntervals(settings.announce_ms, settings.report_ms),
            self._announcement,
            self._report,
            self.tasks.remove_acked,
            lambda: self.behaviour.silent,
        )

    def start(self) -> None:
        """Start serving, announcing and reporting.

        Raises:
            OSError: an address of the settings is in use.
        """
        self.platform.start()
        try:
            self.control.start()
        except OSError:
            # Its worker threads would keep the process running.
            self.platform.stop()
            raise
        self._events.write("process_started")
        self._ticker.start()
        self._announcer.start()

    def stop(self) -> None:
        """Stop announcing, reporting and serving."""
        self._stopping.set()
        self._announcer.stop()
        self._ticker.join()
        self.platform.stop()
        self.control.stop()
        self._events.write("process_ended")
        self._events.close()

    def set_behaviour(self, behaviour: Behaviour) -> None:
        """Replace the current behaviour."""
        if behaviour.leaving != self.behaviour.leaving:
            self._events.write("leaving" if behaviour.leaving else "staying")
        self.behaviour = behaviour
        self.tasks.behaviour = behaviour
        self.requests.behaviour = behaviour

    def _serve_platform(self, received: HttpRequest) -> HttpReply:
        if received.path.startswith(SERVICES_PREFIX):
            open_connections = self.platform.connections.open
            return self.requests.run(received, open_connections)
        if (received.method, received.path) == ("GET", "/health"):
            return HttpReply(200, b"{}", _JSON)
        if received.method != "POST":
            return _error(405, "only POST is supported on this path")
        self._hang()
        try:
            return self._serve_task(received)
        except (msgspec.MsgspecError, ValueError) as error:
            return _error(400, str(error))

    def _serve_task(self, received: HttpRequest) -> HttpReply:
        body = received.body
        if received.path == "/v1/tasks":
            started = self.tasks.start(_decode(body, StartTaskBody))
            return (
                _json(started)
                if started
                else _error(409, "the lease has already expired")
            )
        if received.path == "/v1/leases":
            return _json(self.tasks.renew(_decode(body, RenewBody)))
        if received.path == "/v1/tasks/stop":
            return _json(self.tasks.stop(_decode(body, StopTaskBody)))
        if received.path == "/v1/tasks/throttle":
            return _json(self.tasks.throttle(_decode(body, ThrottleBody)))
        return _error(404, f"no such path: {received.path}")

    def _serve_control(self, received: HttpRequest) -> HttpReply:
        if (received.method, received.path) == ("GET", "/events"):
            events = read_events(Path(self.settings.events))
            return _json([event._asdict() for event in events])
        if (received.method, received.path) == ("POST", "/behaviour"):
            fields = msgspec.json.decode(received.body, type=dict[str, Any])
            self.set_behaviour(Behaviour()._replace(**fields))
            return _json(self.behaviour._asdict())
        return _error(404, f"no such path: {received.path}")

    def _hang(self) -> None:
        while self.behaviour.hang and not self._stopping.is_set():
            time.sleep(_TICK_S)

    def _tick(self) -> None:
        while not self._stopping.wait(_TICK_S):
            self.tasks.advance()
            self._samples.append(self._measure())

    def _measure(self) -> _Usage:
        statuses = self.tasks.statuses()
        return _Usage(
            self.tasks.target_ms(),
            sum(status["cores_milli"] for status in statuses),
            sum(status["memory_mb"] for status in statuses),
        )

    def _announcement(self) -> AnnounceBody:
        settings = self.settings
        return AnnounceBody(
            target_id=settings.target_id,
            incarnation=settings.incarnation,
            address=settings.advertised_address or self.platform.address,
            failure_domain=settings.failure_domain,
            rack=settings.rack,
            capacity=settings.capacity(),
            leaving=self.behaviour.leaving,
        )

    def _report(self) -> ReportBody:
        self._sequence += 1
        # Read the clock before the lists, so the lists are at least as new as it.
        target_ms = self.tasks.target_ms()
        usage = self._sample_of_age(self.behaviour.report_lag_ms)
        return ReportBody(
            target_id=self.settings.target_id,
            incarnation=self.settings.incarnation,
            sequence=self._sequence,
            measured_ms=usage.measured_ms,
            target_ms=target_ms,
            cores_milli=usage.cores_milli,
            memory_mb=usage.memory_mb,
            latencies=self.requests.latencies(),
            tasks=self.tasks.statuses(),
            requests=self.requests.running(),
        )

    def _sample_of_age(self, age_ms: int) -> _Usage:
        newest_ms = self.tasks.target_ms() - age_ms
        for usage in reversed(self._samples):
            if usage.measured_ms <= newest_ms:
                return usage
        return self._measure()


def _decode(body: bytes, kind: Callable[..., Any]) -> Any:
    return msgspec.json.decode(body, type=kind)


def _json(value: Any) -> HttpReply:
    if value is None:
        return _error(404, "this target has no such task and epoch")
    return HttpReply(200, msgspec.json.encode(value), _JSON)


def _error(status: int, detail: str) -> HttpReply:
    body = {"verdict": "not_run", "reason": "malformed", "detail": detail}
    return HttpReply(status, msgspec.json.encode(body), _JSON)
