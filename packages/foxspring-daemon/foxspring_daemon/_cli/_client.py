"""HTTP client that tries the entries in turn until one responds."""

import secrets
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace
from typing import Any, NamedTuple, TypeVar

import msgspec
import urllib3
from foxspring_model import UNDECODABLE, Verdict

CONNECT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 15.0
ROUNDS = 4
ROUND_DELAY_S = 0.3
HTTP_UNAUTHORIZED = 401
HTTP_UNAVAILABLE = 503


@dataclass(frozen=True)
class Reply:
    """A complete response of an entry; ``verdict`` is empty if it has none."""

    status: int
    verdict: str
    body: bytes

    def json(self) -> Any:
        """Return the decoded JSON body, or an empty object if it is not JSON."""
        try:
            return msgspec.json.decode(self.body)
        except UNDECODABLE:
            return {}


@dataclass(frozen=True)
class RequestFailure:
    """No final response was received; ``verdict`` says if the request may have run."""

    verdict: str
    detail: str


OutcomeT = TypeVar("OutcomeT", Reply, RequestFailure)


class _Request(NamedTuple):
    method: str
    path: str
    body: bytes
    headers: dict[str, str]
    timeout_s: float


class Client:
    """Sends a request to one entry after another until one responds.

    An idempotent request (such as a read, or a change with a change id) is retried
    at the next entry after any failure; any other request is retried only if
    nothing was sent or the entry responded that it was not run.
    """

    def __init__(
        self, addresses: Sequence[str], token: str, rounds: int = ROUNDS
    ) -> None:
        self.addresses = list(addresses)
        self.token = token
        self.rounds = rounds
        self._pool = urllib3.PoolManager(retries=False)

    def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        idempotent: bool = True,
        timeout_s: float = READ_TIMEOUT_S,
    ) -> Reply | RequestFailure:
        """Return the first complete response, or the reason why there is none.

        The verdict is ``not_run`` only if no attempt may have run.
        """
        request = _Request(method, path, body, headers or {}, timeout_s)
        failure = RequestFailure(Verdict.NOT_RUN, "no entry address; give --entry")
        for address in self._addresses_in_turn():
            outcome = self._attempt(address, request)
            may_repeat = idempotent or outcome.verdict == Verdict.NOT_RUN
            if isinstance(outcome, Reply):
                if outcome.status != HTTP_UNAVAILABLE or not may_repeat:
                    return _with_worst_verdict(outcome, failure)
                outcome = _failure_of(outcome, address)
            failure = _with_worst_verdict(outcome, failure)
            if not may_repeat:
                break
        return failure

    def _addresses_in_turn(self) -> Iterator[str]:
        """Yield the addresses in each round, with a pause between two rounds."""
        for number, address in enumerate(self.addresses * self.rounds):
            if number and number % len(self.addresses) == 0:
                time.sleep(ROUND_DELAY_S)
            yield address

    def _attempt(self, address: str, request: _Request) -> Reply | RequestFailure:
        try:
            return self._send(address, request)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return RequestFailure(Verdict.NOT_RUN, f"{address}: {error}")
        except urllib3.exceptions.HTTPError as error:
            return RequestFailure(Verdict.MAY_HAVE_RUN, f"{address}: {error}")

    def _send(self, address: str, request: _Request) -> Reply:
        response = self._pool.request(
            request.method,
            f"http://{address}{request.path}",
            body=request.body,
            headers={"Authorization": f"Bearer {self.token}", **request.headers},
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=request.timeout_s),
        )
        verdict = response.headers.get("Foxspring-Verdict", "")
        return Reply(response.status, verdict, response.data)


def _failure_of(reply: Reply, address: str) -> RequestFailure:
    """Return the failure that a rejection by one entry is, if no other responds."""
    not_run = reply.verdict == Verdict.NOT_RUN
    verdict = Verdict.NOT_RUN if not_run else Verdict.MAY_HAVE_RUN
    return RequestFailure(verdict, f"{address}: {reply.body.decode(errors='replace')}")


def _with_worst_verdict(outcome: OutcomeT, earlier: RequestFailure) -> OutcomeT:
    """Return the outcome, not as not run if an earlier attempt may have run."""
    if outcome.verdict == Verdict.NOT_RUN:
        return replace(outcome, verdict=earlier.verdict)
    return outcome


def new_id(prefix: str) -> str:
    """Return a new random id that starts with ``prefix``."""
    return f"{prefix}-{secrets.token_hex(8)}"
