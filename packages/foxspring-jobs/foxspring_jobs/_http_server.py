"""An HTTP server on cheroot that can be drained without cutting off requests."""

import logging
import threading
import time
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, NamedTuple

from cheroot import wsgi

_LOG = logging.getLogger(__name__)

BACKLOG = 256
MAX_KEEP_ALIVE_CONNECTIONS = 2_000
BODY_LIMIT_BYTES = 4 * 1024 * 1024
IDLE_TIMEOUT_S = 15
ACCEPT_ERROR_PAUSE_S = 0.2


class ServerRequest(NamedTuple):
    """A complete request; header names are in lower case."""

    method: str
    host: str
    path: str
    headers: dict[str, str]
    body: bytes


class ServerResponse(NamedTuple):
    """A complete response."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


RequestHandler = Callable[[ServerRequest], ServerResponse]


class HttpServer:
    """Serves one address with a fixed number of threads."""

    def __init__(self, address: str, handler: RequestHandler, threads: int) -> None:
        host, _, port = address.rpartition(":")
        self._handler = handler
        self.draining = False
        server = self

        class Gateway(wsgi.Gateway_10):
            def respond(self) -> None:
                if server.draining:
                    self.req.close_connection = True
                super().respond()

        self._server = wsgi.Server(
            (host, int(port)),
            self._serve,
            numthreads=threads,
            max=threads,
            request_queue_size=BACKLOG,
            timeout=IDLE_TIMEOUT_S,
        )
        self._server.gateway = Gateway
        self._server.keep_alive_conn_limit = MAX_KEEP_ALIVE_CONNECTIONS
        self._server.max_request_body_size = BODY_LIMIT_BYTES
        self._thread = threading.Thread(target=self._run, name="front", daemon=True)

    def start(self) -> None:
        """Listen and serve.

        Raises:
            OSError: the address is in use or does not belong to this VM.
        """
        self._server.prepare()
        self._thread.start()

    def drain(self) -> None:
        """Close each connection after its next response."""
        self.draining = True

    def stop(self, wait_s: float) -> None:
        """Stop listening; wait up to ``wait_s`` for requests in progress."""
        self._server.shutdown_timeout = wait_s
        self._server.stop()

    def _run(self) -> None:
        while True:
            try:
                self._server.serve()
                return
            except Exception:
                _LOG.exception("event=front_failed")
                time.sleep(ACCEPT_ERROR_PAUSE_S)

    def _serve(self, environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        try:
            response = self._handler(_request(environ))
        except Exception:
            _LOG.exception("event=handler_failed path=%s", environ.get("PATH_INFO"))
            response = ServerResponse(HTTPStatus.INTERNAL_SERVER_ERROR)
        status = HTTPStatus(response.status)
        headers = [*response.headers, ("Content-Length", str(len(response.body)))]
        start(f"{status.value} {status.phrase}", headers)
        return [response.body]


def _request(environ: dict[str, Any]) -> ServerRequest:
    length = int(environ.get("CONTENT_LENGTH") or 0)
    chunked = environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked"
    stream = environ["wsgi.input"]
    body = stream.read() if chunked else stream.read(length) if length else b""
    headers = {
        key[5:].lower().replace("_", "-"): value
        for key, value in environ.items()
        if key.startswith("HTTP_")
    }
    path = environ["SCRIPT_NAME"] + environ["PATH_INFO"]
    host = headers.get("host", "")
    return ServerRequest(environ["REQUEST_METHOD"], host, path, headers, body)
