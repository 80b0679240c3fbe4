"""HTTP client that tries the entries in turn until one responds."""

import secrets
import time
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Any

import msgspec
import urllib3
from foxspring_model import Verdict

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
        except msgspec.DecodeError:
            return {}


@dataclass(frozen=True)
class RequestFailure:
    """No final response was received; ``verdict`` says if the request may have run."""

    verdict: str
    detail: str


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
        may_have_run = False
        detail = "no entry address; give --entry"
        for number, address in enumerate(self.addresses * self.rounds):
            if number and number % len(self.addresses) == 0:
                time.sleep(ROUND_DELAY_S)
            try:
                reply = self._send(address, method, path, body, headers, timeout_s)
            except (
                urllib3.exceptions.NewConnectionError,
                urllib3.exceptions.ConnectTimeoutError,
            ) as error:
                detail = f"{address}: {error}"
                continue
            except urllib3.exceptions.HTTPError as error:
                detail = f"{address}: {error}"
                may_have_run = True
                if not idempotent:
                    break
                continue
            surely_not_run = reply.verdict == Verdict.NOT_RUN
            if reply.status == HTTP_UNAVAILABLE and (idempotent or surely_not_run):
                detail = f"{address}: {reply.body.decode(errors='replace')}"
                may_have_run = may_have_run or not surely_not_run
                continue
            if may_have_run and surely_not_run:
                return replace(reply, verdict=Verdict.MAY_HAVE_RUN)
            return reply
        verdict = Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN
        return RequestFailure(verdict, detail)

    def _send(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str] | None,
        timeout_s: float,
    ) -> Reply:
        response = self._pool.request(
            method,
            f"http://{address}{path}",
            body=body,
            headers={"Authorization": f"Bearer {self.token}", **(headers or {})},
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s),
        )
        verdict = response.headers.get("Foxspring-Verdict", "")
        return Reply(response.status, verdict, response.data)


def new_id(prefix: str) -> str:
    """Return a new random id that starts with ``prefix``."""
    return f"{prefix}-{secrets.token_hex(8)}"
