"""Pool of connections to targets with a short idle limit."""

import threading
from typing import NamedTuple

from foxspring_model import Clock
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.util import wait_for_read


class ConnectFailedError(Exception):
    """No connection could be made, so no byte of a request was sent."""


class _IdleConnection(NamedTuple):
    connection: HTTPConnection
    since_ms: int


class ConnectionPool:
    """Pool of idle connections by address. Thread-safe.

    Connections that were idle longer than ``idle_limit_ms`` are closed, because
    an intermediary between the two ends may have dropped their state.
    """

    def __init__(self, clock: Clock, idle_limit_ms: int, connect_ms: int) -> None:
        self._clock = clock
        self._idle_limit_ms = idle_limit_ms
        self._connect_ms = connect_ms
        self._lock = threading.Lock()
        self._idle: dict[str, list[_IdleConnection]] = {}

    def acquire(self, address: str) -> HTTPConnection:
        """Return an idle connection that is still usable, or a new one.

        Raises:
            ConnectFailedError: no connection could be made.
        """
        now_ms = self._clock.monotonic_ms()
        while True:
            with self._lock:
                kept = self._idle.get(address)
                idle = kept.pop() if kept else None
            if idle is None:
                return self._connect(address)
            if self._is_usable(idle, now_ms):
                return idle.connection
            idle.connection.close()

    def release(self, address: str, connection: HTTPConnection) -> None:
        """Return a connection to the pool.

        Its last response must be complete and belong to its request.
        """
        with self._lock:
            kept = self._idle.setdefault(address, [])
            kept.append(_IdleConnection(connection, self._clock.monotonic_ms()))

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        with self._lock:
            kept = self._idle.pop(address, [])
        for idle in kept:
            idle.connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            closing = [idle for kept in self._idle.values() for idle in kept]
            self._idle.clear()
        for idle in closing:
            idle.connection.close()

    def _is_within_idle_limit(self, idle: _IdleConnection, now_ms: int) -> bool:
        return now_ms - idle.since_ms <= self._idle_limit_ms

    def _is_usable(self, idle: _IdleConnection, now_ms: int) -> bool:
        socket = idle.connection.sock
        if socket is None or not self._is_within_idle_limit(idle, now_ms):
            return False
        # A readable idle connection was closed by the target or has received an
        # unsolicited response; in both cases it must not be used again.
        return not wait_for_read(socket, timeout=0.0)

    def _connect(self, address: str) -> HTTPConnection:
        try:
            return self._open(address)
        except (OSError, HTTPError, ValueError, OverflowError) as error:
            raise ConnectFailedError(f"cannot connect to {address}: {error}") from error

    def _open(self, address: str) -> HTTPConnection:
        host, _, port = address.rpartition(":")
        timeout_s = self._connect_ms / 1_000
        connection = HTTPConnection(host, int(port), timeout=timeout_s)
        try:
            connection.connect()
        except BaseException:
            connection.close()
            raise
        return connection
