"""HTTP client that sends requests and API calls to targets on a thread pool."""

import logging
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from urllib.parse import quote

from foxspring_model import (
    HEADER_REQUEST_ID,
    Answered,
    Clock,
    Outcome,
    RefusalReason,
    Refused,
    Uncertain,
)
from urllib3.connection import HTTPConnection

from foxspring_entry._connections import ConnectFailedError, ConnectionPool
from foxspring_entry._deadlines import DeadlineGuard
from foxspring_entry._effects import CallTarget, SendRequest
from foxspring_entry._exchange import (
    ExchangeRequest,
    ExchangeResponse,
    IncompleteResponseError,
    exchange,
    strip_hop_by_hop,
)
from foxspring_entry._owner_requests import TargetOutcome
from foxspring_entry._owner_targets import CallResponse
from foxspring_entry._settings import EntrySettings

_LOG = logging.getLogger(__name__)
_MAX_THREADS = 512
_MAX_CALL_ANSWER_BYTES = 1024 * 1024
_NS_PER_US = 1_000

RequestDone = Callable[[str, TargetOutcome], None]
CallDone = Callable[[int, CallResponse], None]


class TargetClient:
    """Sends requests and platform API calls that the ledger has admitted."""

    def __init__(
        self,
        settings: EntrySettings,
        clock: Clock,
        on_request_done: RequestDone,
        on_call_done: CallDone,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._on_request_done = on_request_done
        self._on_call_done = on_call_done
        self._guard = DeadlineGuard(clock)
        self._threads = ThreadPoolExecutor(_MAX_THREADS, "target")
        self.pool = ConnectionPool(
            clock, settings.idle_connection_ms, settings.connect_timeout_ms
        )

    def send(self, effect: SendRequest) -> None:
        """Send a request on the pool; pass its outcome to ``on_request_done``."""
        self._threads.submit(self.send_blocking, effect)

    def send_blocking(self, effect: SendRequest) -> Outcome:
        """Send a request on the calling thread.

        Returns its outcome, which is also passed to ``on_request_done``.
        """
        try:
            result = self._request(effect)
        except Exception as error:
            _LOG.exception("event=send_failed target=%s", effect.target_id)
            result = TargetOutcome(Uncertain(str(error)))
        self._on_request_done(effect.reservation_id, result)
        return result.outcome

    def call(self, effect: CallTarget) -> None:
        """Make a platform API call; pass its response to ``on_call_done``."""
        self._threads.submit(self._call, effect)

    def abort(self, reservation_id: str) -> None:
        """Stop waiting for the response to a request."""
        self._guard.abort(reservation_id)

    def close(self) -> None:
        """Close idle connections and shut down the thread pool without waiting."""
        self._threads.shutdown(wait=False, cancel_futures=True)
        self.pool.close()
        self._guard.close()

    def _request(self, effect: SendRequest) -> TargetOutcome:
        try:
            connection = self.pool.acquire(effect.address)
        except ConnectFailedError as error:
            return TargetOutcome(Refused(RefusalReason.TARGET_UNREACHABLE, str(error)))
        if self._clock.lease_check_ms() >= effect.send_by_ms:
            self.pool.release(effect.address, connection)
            detail = "the request could not be sent while the ownership was guaranteed"
            return TargetOutcome(Refused(RefusalReason.STALE_OWNER, detail))
        started_ns = time.perf_counter_ns()
        try:
            request = self._exchange_of(effect)
            response = self._exchange(effect.reservation_id, connection, request)
        except IncompleteResponseError as error:
            connection.close()
            return TargetOutcome(Uncertain(str(error)))
        latency_us = (time.perf_counter_ns() - started_ns) // _NS_PER_US
        self._release_connection(effect.address, connection, response)
        outcome = Answered(response.status, response.headers, response.body)
        return TargetOutcome(outcome, latency_us)

    def _call(self, effect: CallTarget) -> None:
        try:
            response = self._post(effect)
        except Exception:
            _LOG.exception("event=call_failed target=%s", effect.target_id)
            response = CallResponse(None)
        self._on_call_done(effect.call_id, response)

    def _post(self, effect: CallTarget) -> CallResponse:
        try:
            connection = self.pool.acquire(effect.address)
        except ConnectFailedError:
            return CallResponse(None, sent=False)
        if self._clock.lease_check_ms() >= effect.send_by_ms:
            connection.close()
            return CallResponse(None, sent=False)
        request = ExchangeRequest(
            "POST",
            effect.path,
            (("Content-Type", "application/json"),),
            effect.body,
            self._clock.monotonic_ms() + effect.timeout_ms,
            _MAX_CALL_ANSWER_BYTES,
        )
        try:
            response = self._exchange(f"call:{effect.call_id}", connection, request)
        except IncompleteResponseError as error:
            connection.close()
            _LOG.info(
                "event=call_unanswered target=%s path=%s reason=%r",
                effect.target_id,
                effect.path,
                str(error),
            )
            return CallResponse(None)
        connection.close()
        return CallResponse(response.status, response.body)

    def _exchange(
        self, key: str, connection: HTTPConnection, request: ExchangeRequest
    ) -> ExchangeResponse:
        self._guard.add(key, connection, request.deadline_ms)
        try:
            return exchange(connection, request, self._clock)
        finally:
            self._guard.remove(key)

    def _exchange_of(self, effect: SendRequest) -> ExchangeRequest:
        relay = effect.relay
        service = quote(relay.service, safe="")
        headers = (
            *strip_hop_by_hop(relay.headers),
            (HEADER_REQUEST_ID, effect.reservation_id),
        )
        return ExchangeRequest(
            relay.method,
            f"/services/{service}{relay.path}",
            headers,
            relay.body,
            effect.deadline_ms,
            self._settings.max_answer_bytes,
            effect.reservation_id,
        )

    def _release_connection(
        self, address: str, connection: HTTPConnection, response: ExchangeResponse
    ) -> None:
        if response.reusable:
            self.pool.release(address, connection)
        else:
            connection.close()
