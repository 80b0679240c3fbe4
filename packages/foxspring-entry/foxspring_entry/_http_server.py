"""HTTP server of an entry, based on cheroot: limits, authentication, routing."""

import logging
import threading
from collections.abc import Callable, Iterable, Sequence
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from cheroot import errors as cheroot_errors
from cheroot import wsgi
from foxspring_model import RefusalReason, Verdict, parse_whole_number

from foxspring_entry._http import HttpRequest, HttpResponse, Role, Route
from foxspring_entry._request_head import limited_connection_class
from foxspring_entry._responses import error_response, malformed
from foxspring_entry._settings import EntrySettings
from foxspring_entry._tokens import TokenRegistry
from foxspring_entry._worker_threads import WorkerThreads

_LOG = logging.getLogger(__name__)
_BACKLOG = 512
_RESERVED_THREADS = 8
_BUSY_RETRY_AFTER_MS = 500
_SHUTDOWN_TIMEOUT_S = 2
_MAX_KEEP_ALIVE_CONNECTIONS = 4_096

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], object]


class _RefusedError(Exception):
    def __init__(self, response: HttpResponse) -> None:
        super().__init__(response.status)
        self.response = response


class HttpServer:
    """Serves routes over HTTP until stopped.

    A request's token is checked before its body is read. Callers may use all
    but a reserve of the ``worker_threads``; further callers are refused
    immediately, so that targets and operators always find a free thread.
    """

    def __init__(self, settings: EntrySettings, routes: Sequence[Route]) -> None:
        self._settings = settings
        self._tokens = TokenRegistry(settings)
        self._routes = sorted(routes, key=lambda r: len(r.prefix), reverse=True)
        caller_slots = max(1, settings.worker_threads - _RESERVED_THREADS)
        self._caller_slots = threading.BoundedSemaphore(caller_slots)
        host, _, port = settings.http_address.rpartition(":")
        self._server = wsgi.Server(
            (host, int(port)),
            self._serve,
            numthreads=settings.worker_threads,
            max=settings.worker_threads,
            request_queue_size=_BACKLOG,
            timeout=settings.keep_alive_ms // 1_000,
            shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
        )
        self._server.requests = WorkerThreads(self._server, settings.worker_threads)
        head_slots = threading.BoundedSemaphore(settings.unauthenticated_head_slots)
        self._server.ConnectionClass = limited_connection_class(head_slots)
        self._server.max_request_header_size = settings.max_header_bytes
        self._server.keep_alive_conn_limit = _MAX_KEEP_ALIVE_CONNECTIONS
        self._thread = threading.Thread(target=self._run, name="front", daemon=True)
        self.address = ""

    def bind(self) -> str:
        """Bind the listening socket and return its ``host:port``.

        Raises:
            OSError: the address is in use; configure another ``http_address``.
        """
        self._server.prepare()
        host, port = self._server.bind_addr[:2]
        self.address = f"{host}:{port}"
        return self.address

    def set_tokens(self, settings: EntrySettings) -> None:
        """Replace the accepted tokens with those of ``settings``."""
        self._tokens = TokenRegistry(settings)

    def start(self) -> None:
        """Start to serve requests on a separate thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the server without waiting for requests in flight."""
        self._server.stop()
        if self._thread.is_alive():
            self._thread.join(_SHUTDOWN_TIMEOUT_S)

    def _run(self) -> None:
        try:
            self._server.serve()
        except Exception:
            _LOG.exception("event=front_failed")

    def _serve(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        try:
            response = self._respond(environ)
        except _RefusedError as refused:
            response = refused.response
        except Exception:
            _LOG.exception("event=handler_failed path=%s", environ.get("PATH_INFO"))
            response = error_response(
                500, Verdict.MAY_HAVE_RUN, "internal", "internal error; see the log"
            )
        reason_phrase = _reason_phrase(response.status)
        headers = [(name, _one_line(value)) for name, value in response.headers]
        headers.append(("Content-Length", str(len(response.body))))
        start(f"{response.status} {reason_phrase}", headers)
        return [b"" if environ["REQUEST_METHOD"] == "HEAD" else response.body]

    def _respond(self, environ: Environ) -> HttpResponse:
        method = environ["REQUEST_METHOD"]
        uri = _raw_uri(environ)
        path = urlsplit(uri).path
        route = self._find_route(method, path)
        headers = _headers(environ)
        principal = self._authenticate(route, headers)
        if route.role is not Role.CALLER:
            return self._handle(route, environ, uri, headers, principal)
        if not self._caller_slots.acquire(blocking=False):
            raise _RefusedError(
                error_response(
                    503,
                    Verdict.NOT_RUN,
                    RefusalReason.OVERLOADED,
                    "too many callers are waiting at this entry",
                    _BUSY_RETRY_AFTER_MS,
                )
            )
        try:
            return self._handle(route, environ, uri, headers, principal)
        finally:
            self._caller_slots.release()

    def _handle(
        self,
        route: Route,
        environ: Environ,
        uri: str,
        headers: dict[str, str],
        principal: str,
    ) -> HttpResponse:
        parts = urlsplit(uri)
        request = HttpRequest(
            method=environ["REQUEST_METHOD"],
            path=parts.path,
            query=dict(parse_qsl(parts.query, keep_blank_values=True)),
            headers=headers,
            body=self._read_body(environ, headers),
            role=route.role,
            peer=str(environ.get("REMOTE_ADDR", "")),
            principal=principal,
            raw_query=parts.query,
        )
        return route.handler(request)

    def _find_route(self, method: str, path: str) -> Route:
        allowed = [route for route in self._routes if path.startswith(route.prefix)]
        if not allowed:
            raise _RefusedError(malformed(f"no such path: {path[:100]}", 404))
        prefix = allowed[0].prefix
        for route in allowed:
            if route.prefix == prefix and route.method == method:
                return route
        raise _RefusedError(malformed(f"{method} is not allowed here", 405))

    def _authenticate(self, route: Route, headers: dict[str, str]) -> str:
        if route.role is Role.ANYONE:
            return ""
        name = self._tokens.authenticate(route.role, headers.get("authorization", ""))
        if name is None:
            detail = f"send Authorization: Bearer with a token of a {route.role}"
            response = error_response(
                401, Verdict.NOT_RUN, RefusalReason.UNAUTHENTICATED, detail
            )
            raise _RefusedError(
                response._replace(headers=(*response.headers, ("Connection", "close")))
            )
        return name

    def _read_body(self, environ: Environ, headers: dict[str, str]) -> bytes:
        limit = self._settings.max_body_bytes
        source = environ["wsgi.input"]
        declared = headers.get("content-length")
        chunked = "chunked" in headers.get("transfer-encoding", "").lower()
        if chunked:
            return _read_chunked(source, limit)
        if declared is None:
            return b""
        length = _content_length(declared)
        if length > limit:
            detail = f"the body is longer than {limit} bytes"
            raise _RefusedError(malformed(detail, 413))
        body = _read_exactly(source, length)
        if len(body) != length:
            raise _RefusedError(malformed("the body was cut short"))
        return body


def _content_length(text: str) -> int:
    try:
        return parse_whole_number(text)
    except ValueError as error:
        raise _RefusedError(malformed("Content-Length must be a number")) from error


def _read_exactly(source: Any, length: int) -> bytes:
    chunks: list[bytes] = []
    missing = length
    try:
        while missing > 0 and (chunk := source.read(missing)):
            chunks.append(chunk)
            missing -= len(chunk)
    except OSError as error:
        raise _RefusedError(malformed("the body was cut short")) from error
    return b"".join(chunks)


def _read_chunked(source: Any, limit: int) -> bytes:
    try:
        body = source.read(limit + 1)
    except (ValueError, OSError, cheroot_errors.MaxSizeExceeded) as error:
        raise _RefusedError(malformed("the chunked body was cut short")) from error
    if len(body) > limit:
        detail = f"the body is longer than {limit} bytes"
        raise _RefusedError(malformed(detail, 413))
    return bytes(body)


def _raw_uri(environ: Environ) -> str:
    raw = environ.get("REQUEST_URI") or environ["PATH_INFO"]
    if not raw.isascii() or not raw.isprintable() or " " in raw:
        raise _RefusedError(malformed("the path must be printable ASCII"))
    return str(raw)


def _headers(environ: Environ) -> dict[str, str]:
    headers = {
        name.removeprefix("HTTP_").replace("_", "-").lower(): str(value)
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    for name in ("CONTENT_TYPE", "CONTENT_LENGTH"):
        if environ.get(name):
            headers[name.replace("_", "-").lower()] = environ[name]
    return headers


def _one_line(value: str) -> str:
    return str(value).replace("\r", " ").replace("\n", " ")


def _reason_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
