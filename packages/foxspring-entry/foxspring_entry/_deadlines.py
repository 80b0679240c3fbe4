"""Enforces the deadlines of exchanges with targets.

A socket timeout restarts with each byte received, so it never ends a response
that arrives byte by byte.
"""

import logging
import socket
import threading
from typing import NamedTuple

from foxspring_link import repeat
from foxspring_model import Clock
from urllib3.connection import HTTPConnection

_LOG = logging.getLogger(__name__)
_CHECK_S = 0.05


class _Exchange(NamedTuple):
    connection: HTTPConnection
    deadline_ms: int


class DeadlineGuard:
    """Shuts down connections whose exchange is aborted or past its deadline."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._exchanges: dict[str, _Exchange] = {}
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="deadlines", daemon=True)
        self._thread.start()

    def add(self, key: str, connection: HTTPConnection, deadline_ms: int) -> None:
        """Start to monitor an exchange."""
        with self._lock:
            self._exchanges[key] = _Exchange(connection, deadline_ms)

    def remove(self, key: str) -> None:
        """Stop monitoring an exchange."""
        with self._lock:
            self._exchanges.pop(key, None)

    def abort(self, key: str) -> None:
        """Shut down the connection of an exchange."""
        with self._lock:
            exchange = self._exchanges.get(key)
            if exchange is not None:
                _shut_down(exchange.connection)

    def close(self) -> None:
        """Stop monitoring all exchanges."""
        self._stopping.set()
        self._thread.join()

    def _run(self) -> None:
        repeat(self._shut_down_expired, _CHECK_S, self._stopping)

    def _shut_down_expired(self) -> None:
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
