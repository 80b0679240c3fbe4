"""A small HTTP server on cheroot that can deliberately send broken answers."""

import threading
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, NamedTuple

from cheroot.server import Gateway, HTTPConnection, HTTPServer

_THREADS = 96
_KEPT_CONNECTIONS = 512
_BACKLOG = 256


class HttpRequest(NamedTuple):
    """One request; ``path`` has no query string, header names are lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class HttpReply(NamedTuple):
    """One answer.

    ``cut_after`` closes the connection after that many bytes of the body
    (negative sends all); ``twice`` writes the whole answer twice.
    """

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    cut_after: int = -1
    twice: bool = False


Handler = Callable[[HttpRequest], HttpReply]


class ConnectionCount:
    """Counts the open connections; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.open = 0

    def change(self, by: int) -> None:
        """Add ``by`` to the number of open connections."""
        with self._lock:
            self.open += by


class HttpServer:
    """Serves ``handler`` on ``host:port`` until stopped; port 0 picks a free port.

    ``threads`` requests are served at a time.
    """

    def __init__(self, address: str, handler: Handler, threads: int = _THREADS) -> None:
        host, _, port = address.rpartition(":")
        self.connections = ConnectionCount()
        self._server = HTTPServer((host, int(port)), _gateway_class(handler), threads)
        self._server.ConnectionClass = _connection_class(self.connections)
        self._server.keep_alive_conn_limit = _KEPT_CONNECTIONS
        self._server.request_queue_size = _BACKLOG
        self._server.shutdown_timeout = 1
        self._thread = threading.Thread(target=self._server.serve, daemon=True)
        self.address = ""

    def start(self) -> None:
        """Bind the address and serve it in a thread.

        Raises:
            OSError: the address is in use.
        """
        self._server.prepare()
        host, port = self._server.bind_addr[:2]
        self.address = f"{host}:{port}"
        self._thread.start()

    def stop(self) -> None:
        """Stop serving; requests in progress may be cut off."""
        self._server.stop()
        self._thread.join()


def _connection_class(count: ConnectionCount) -> type[HTTPConnection]:
    class _CountedConnection(HTTPConnection):
        def __init__(self, *arguments: Any, **named: Any) -> None:
            super().__init__(*arguments, **named)
            count.change(1)
            self.counted = True

        def close(self) -> None:
            if self.counted:
                self.counted = False
                count.change(-1)
            super().close()

    return _CountedConnection


def _gateway_class(handler: Handler) -> type[Gateway]:
    class _HandlerGateway(Gateway):
        def respond(self) -> None:
            _write_reply(self.req, handler(_read_request(self.req)))

    return _HandlerGateway


def _read_request(request: Any) -> HttpRequest:
    headers = {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in request.inheaders.items()
    }
    return HttpRequest(
        request.method.decode("ascii"),
        request.path.decode("latin-1"),
        headers,
        request.rfile.read(),
    )


def _write_reply(request: Any, reply: HttpReply) -> None:
    # Writes the raw answer: cheroot itself would only send well-formed answers.
    request.sent_headers = True
    head = _head(reply)
    body = b"" if request.method == b"HEAD" else reply.body
    if 0 <= reply.cut_after < len(body):
        request.conn.wfile.write(head + body[: reply.cut_after])
        request.close_connection = True
        return
    copies = 2 if reply.twice else 1
    request.conn.wfile.write((head + body) * copies)


def _head(reply: HttpReply) -> bytes:
    lines = [f"HTTP/1.1 {reply.status} {HTTPStatus(reply.status).phrase}"]
    lines += [f"{name}: {value}" for name, value in reply.headers]
    lines += [f"Content-Length: {len(reply.body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1")
