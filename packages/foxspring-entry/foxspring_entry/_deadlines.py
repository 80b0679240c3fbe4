"""Ends exchanges with targets that go on past their deadline.

A socket's own timeout starts anew with each byte, so an answer that drips in
would never end by it.
"""

import logging
import socket
import threading
from typing import NamedTuple

from foxspring_model import Clock
from urllib3.connection import HTTPConnection

_LOG = logging.getLogger(__name__)
_CHECK_S = 0.05


class _Exchange(NamedTuple):
    connection: HTTPConnection
    deadline_ms: int


class DeadlineGuard:
    """Shuts connections down when their exchange is aborted or overdue."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._exchanges: dict[str, _Exchange] = {}
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="deadlines", daemon=True)
        self._thread.start()

    def add(self, key: str, connection: HTTPConnection, deadline_ms: int) -> None:
        """Watch an exchange from now on."""
        with self._lock:
            self._exchanges[key] = _Exchange(connection, deadline_ms)

    def remove(self, key: str) -> None:
        """Watch an exchange no longer."""
        with self._lock:
            self._exchanges.pop(key, None)

    def abort(self, key: str) -> None:
        """Shut the connection of an exchange down."""
        with self._lock:
            exchange = self._exchanges.get(key)
            if exchange is not None:
                _shut_down(exchange.connection)

    def close(self) -> None:
        """Stop watching."""
        self._stopping.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopping.wait(_CHECK_S):
            now_ms = self._clock.monotonic_ms()
            with self._lock:
                for exchange in self._exchanges.values():
                    if exchange.deadline_ms <= now_ms:
                        _shut_down(exchange.connection)


def _shut_down(connection: HTTPConnection) -> None:
    handle = connection.sock
    if handle is None:
        return
    try:
        handle.shutdown(socket.SHUT_RDWR)
    except OSError:
        _LOG.debug("event=already_closed host=%s", connection.host)
