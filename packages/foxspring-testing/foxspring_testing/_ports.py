"""Loopback addresses that no other process of a test harness is given."""

import errno
import random
import socket
import threading
from collections.abc import Sequence
from pathlib import Path

# Outgoing connections use 127.0.0.1, so they can't occupy the port of a listener on
# this address while that listener is restarted.
HOST = "127.0.1.1"
# A claim is a bound socket: the kernel grants it to one process and releases it when
# that process ends. Nothing listens on this address.
_CLAIM_HOST = "127.0.1.2"
_KERNEL_RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")
_FIRST_PORT = 10_000
_LAST_PORT = 65_535
_MAX_ATTEMPTS = 1_000


def ports_outside(first: int, last: int) -> range:
    """Return the longest range of usable ports outside ``first`` to ``last``.

    The result is the range of all usable ports if nothing remains outside.
    """
    below = range(_FIRST_PORT, first)
    above = range(max(_FIRST_PORT, last + 1), _LAST_PORT + 1)
    return max(below, above, key=len) or range(_FIRST_PORT, _LAST_PORT + 1)


class PortChooser:
    """Claims ports and returns free addresses, each one only once; thread-safe.

    No other chooser, in this process or another one, returns a claimed port until
    :meth:`close` or the end of this process. The kernel does not choose these ports
    for others either, since they are outside its range for that. ``ports`` replaces
    the ports to choose from.
    """

    def __init__(self, ports: Sequence[int] | None = None) -> None:
        self.ports = _ports_not_chosen_by_kernel() if ports is None else ports
        self._lock = threading.Lock()
        self._claims: list[socket.socket] = []

    def free_address(self) -> str:
        """Return ``host:port`` with a port that is free and claimed.

        Raises:
            OSError: every port that was tried is claimed or in use.
        """
        return f"{HOST}:{self.free_port()}"

    def free_port(self) -> int:
        """Return a port that is claimed, and free on ``HOST``.

        Only a process that does not use a chooser and binds this very port can
        take it before it is used.

        Raises:
            OSError: every port that was tried is claimed or in use.
        """
        attempts = min(_MAX_ATTEMPTS, len(self.ports))
        for port in random.sample(self.ports, attempts):
            claim = _bind(_CLAIM_HOST, port)
            if claim is None:
                continue
            probe = _bind(HOST, port)
            if probe is None:
                claim.close()
                continue
            probe.close()
            with self._lock:
                self._claims.append(claim)
            return port
        raise OSError(errno.EADDRINUSE, f"none of {attempts} ports is free")

    def close(self) -> None:
        """Release every claim."""
        with self._lock:
            claims, self._claims = self._claims, []
        for claim in claims:
            claim.close()


def _ports_not_chosen_by_kernel() -> range:
    first, last = map(int, _KERNEL_RANGE_FILE.read_text().split())
    return ports_outside(first, last)


def _bind(host: str, port: int) -> socket.socket | None:
    """Return a socket bound to the address, or None if the address is in use."""
    bound = socket.socket()
    try:
        bound.bind((host, port))
    except OSError as error:
        bound.close()
        if error.errno != errno.EADDRINUSE:
            raise
        return None
    return bound
