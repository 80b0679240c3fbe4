"""Runs requests on a stand-in target.

The path after the service's name holds instructions for the request as
``name=value`` segments: ``work_ms`` is its running time, ``bytes`` the size of
the answer's padding, ``status`` the answer's status and ``nonce`` identifies the
request, so that a test can distinguish requests without relying on headers.
"""

import threading
import time
from typing import NamedTuple, TypedDict

import msgspec
from foxspring_model import HEADER_KEY, HEADER_REQUEST_ID, ServiceLatencyBody

from foxspring_testing._behaviour import Behaviour
from foxspring_testing._events import EventWriter
from foxspring_testing._http_server import HttpReply, HttpRequest

SERVICES_PREFIX = "/services/"
_HANG_POLL_S = 0.05
_HANG_LIMIT_S = 60.0
_DEFAULT_WORK_MS = 5
_MS_PER_S = 1_000
_NS_PER_US = 1_000
_P99 = 0.99


class Instructions(NamedTuple):
    """Instructions in a request's path."""

    service: str
    work_ms: int = _DEFAULT_WORK_MS
    bytes: int = 0
    status: int = 200
    nonce: str = ""


class EchoBody(TypedDict):
    """A stand-in target's answer, which identifies the answered request."""

    target_id: str
    service: str
    nonce: str
    request_id: str
    run: int
    received: str
    padding: str


def request_path(
    nonce: str, work_ms: int = _DEFAULT_WORK_MS, padding_bytes: int = 0
) -> str:
    """Return the path after ``/services/NAME/`` with these instructions."""
    return f"work_ms={work_ms}/bytes={padding_bytes}/nonce={nonce}"


def parse_path(path: str) -> Instructions:
    """Parse the instructions of a path; unknown segments are ignored."""
    service, *segments = path.removeprefix(SERVICES_PREFIX).split("/")
    known = Instructions(service)._asdict()
    for segment in segments:
        name, _, value = segment.partition("=")
        if name in known and name != "service":
            known[name] = value if name == "nonce" else int(value)
    return Instructions(**known)


class RequestRunner:
    """Runs requests and records their start and end as events; thread-safe."""

    def __init__(self, target_id: str, events: EventWriter) -> None:
        self.target_id = target_id
        self.behaviour = Behaviour()
        self._events = events
        self._lock = threading.Lock()
        self._running: dict[int, str] = {}
        self._latencies_us: dict[str, list[int]] = {}

    def latencies(self) -> list[ServiceLatencyBody]:
        """Return each service's latency figures since the last call."""
        with self._lock:
            latencies_us, self._latencies_us = self._latencies_us, {}
        return [_latency(service, times) for service, times in latencies_us.items()]

    def running(self) -> list[str]:
        """Return the ids of the requests in progress."""
        with self._lock:
            return list(self._running.values())

    def run(self, received: HttpRequest, open_connections: int) -> HttpReply:
        """Run one request and return its answer."""
        instructions = parse_path(received.path)
        request_id = received.headers.get(HEADER_REQUEST_ID.lower(), "")
        run = self._events.next_run()
        started_ns = time.monotonic_ns()
        with self._lock:
            self._running[run] = request_id
        self._events.write(
            "request_started",
            run=run,
            request_id=request_id,
            key=received.headers.get(HEADER_KEY.lower(), ""),
            detail=instructions.nonce,
            slots=1,
            open_connections=open_connections,
        )
        try:
            self._work(instructions)
            return self._reply(instructions, received, request_id, run)
        finally:
            with self._lock:
                del self._running[run]
                elapsed_us = (time.monotonic_ns() - started_ns) // _NS_PER_US
                times = self._latencies_us.setdefault(instructions.service, [])
                times.append(elapsed_us)
            self._events.write(
                "request_ended",
                run=run,
                request_id=request_id,
                detail=instructions.nonce,
            )

    def _work(self, instructions: Instructions) -> None:
        time.sleep((instructions.work_ms + self.behaviour.slow_ms) / _MS_PER_S)
        deadline = time.monotonic() + _HANG_LIMIT_S
        while self.behaviour.hang and time.monotonic() < deadline:
            time.sleep(_HANG_POLL_S)

    def _reply(
        self,
        instructions: Instructions,
        received: HttpRequest,
        request_id: str,
        run: int,
    ) -> HttpReply:
        body = EchoBody(
            target_id=self.target_id,
            service=instructions.service,
            nonce=instructions.nonce,
            request_id=request_id,
            run=run,
            received=received.body.decode("utf-8", "replace"),
            padding="x" * instructions.bytes,
        )
        return HttpReply(
            instructions.status,
            msgspec.json.encode(body),
            (("Content-Type", "application/json"), (HEADER_REQUEST_ID, request_id)),
            cut_after=self.behaviour.cut_answer_after,
            twice=self.behaviour.answer_twice,
        )


def _latency(service: str, times_us: list[int]) -> ServiceLatencyBody:
    ordered = sorted(times_us)
    return ServiceLatencyBody(
        service=service,
        count=len(ordered),
        p50_us=ordered[len(ordered) // 2],
        p99_us=ordered[int((len(ordered) - 1) * _P99)],
    )
