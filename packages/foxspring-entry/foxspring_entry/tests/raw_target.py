"""Fake target on a raw socket, scripted byte by byte."""

import socket
import threading
from collections.abc import Callable

Script = Callable[[socket.socket, bytes], None]

HEAD_LIMIT_BYTES = 64 * 1024


class RawTarget:
    """Calls ``script(connection, request)`` for each request that it reads."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.requests: list[bytes] = []
        self.connections = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        host, port = self._listener.getsockname()[:2]
        self.address = f"{host}:{port}"
        self._connections: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Close the listener and all connections."""
        self._listener.close()
        for connection in self._connections:
            connection.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            self._connections.append(connection)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        try:
            while request := connection.recv(HEAD_LIMIT_BYTES):
                self.requests.append(request)
                self.script(connection, request)
        except OSError:
            return


def request_id_of(request: bytes) -> bytes:
    """Return the id in a request's header; empty if there is none."""
    for line in request.split(b"\r\n"):
        name, _, value = line.partition(b": ")
        if name.lower() == b"foxspring-request-id":
            return value
    return b""
