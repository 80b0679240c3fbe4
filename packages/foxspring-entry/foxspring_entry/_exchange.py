"""A single HTTP exchange with a target: a complete response or an error."""

import http.client
from typing import NamedTuple

from foxspring_model import HEADER_REQUEST_ID, INVARIANT_CHECKS, Clock, Invariant
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.response import BaseHTTPResponse

_CHUNK_BYTES = 64 * 1024
_BODYLESS_STATUSES = frozenset({204, 304})
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
    }
)

HeaderPairs = tuple[tuple[str, str], ...]


class IncompleteResponseError(Exception):
    """The request may have been sent, but no complete response was received."""


class ExchangeRequest(NamedTuple):
    """A request to a target; ``deadline_ms`` is a time of the clock passed with it."""

    method: str
    path: str
    headers: HeaderPairs
    body: bytes
    deadline_ms: int
    max_answer_bytes: int
    request_id: str = ""


class ExchangeResponse(NamedTuple):
    """A complete response; ``reusable`` if its connection may be used again."""

    status: int
    headers: HeaderPairs
    body: bytes
    reusable: bool


def strip_hop_by_hop(headers: HeaderPairs) -> HeaderPairs:
    """Return the end-to-end headers, without the hop-by-hop ones."""
    return tuple(pair for pair in headers if pair[0].lower() not in _HOP_BY_HOP)


def exchange(
    connection: HTTPConnection, request: ExchangeRequest, clock: Clock
) -> ExchangeResponse:
    """Send a request and return the complete response.

    Raises:
        IncompleteResponseError: the exchange failed or passed its deadline, or
            the response was truncated, too long, or for another request.
    """
    try:
        _set_timeout(connection, request, clock)
        connection.request(
            request.method,
            request.path,
            body=request.body or None,
            headers=dict(request.headers),
            preload_content=False,
            decode_content=False,
            enforce_content_length=True,
        )
        response = connection.getresponse()
        body = _read_body(connection, response, request, clock)
    except (OSError, HTTPError, http.client.HTTPException, ValueError) as error:
        raise IncompleteResponseError(f"{type(error).__name__}: {error}") from error
    response_request_id = response.headers.get(HEADER_REQUEST_ID)
    if request.request_id and response_request_id not in (None, request.request_id):
        raise IncompleteResponseError("the response has the id of another request")
    headers = strip_hop_by_hop(tuple(response.headers.iteritems()))
    reusable = connection.sock is not None and (
        not request.request_id or response_request_id == request.request_id
    )
    return ExchangeResponse(response.status, headers, body, reusable)


def _read_body(
    connection: HTTPConnection,
    response: BaseHTTPResponse,
    request: ExchangeRequest,
    clock: Clock,
) -> bytes:
    if request.method == "HEAD" or response.status in _BODYLESS_STATUSES:
        response.read()
        return b""
    length = response.headers.get("content-length")
    coding = response.headers.get("transfer-encoding", "").lower()
    if length is None and coding != "chunked":
        raise ValueError(
            "the response has neither a Content-Length nor chunked encoding"
        )
    chunks: list[bytes] = []
    size = 0
    for chunk in response.stream(_CHUNK_BYTES, decode_content=False):
        chunks.append(chunk)
        size += len(chunk)
        if size > request.max_answer_bytes:
            raise ValueError(
                f"the response size in bytes exceeds {request.max_answer_bytes}"
            )
        _set_timeout(connection, request, clock)
    body = b"".join(chunks)
    complete = length is None or len(body) == int(length)
    if not INVARIANT_CHECKS.check(
        Invariant.WHOLE_ANSWER, complete, f"{len(body)} of {length}"
    ):
        raise ValueError(f"the response body has {len(body)} bytes instead of {length}")
    return body


def _set_timeout(
    connection: HTTPConnection, request: ExchangeRequest, clock: Clock
) -> None:
    remaining_ms = request.deadline_ms - clock.monotonic_ms()
    if remaining_ms <= 0:
        raise TimeoutError("the deadline has passed")
    if connection.sock is not None:
        connection.sock.settimeout(remaining_ms / 1_000)
