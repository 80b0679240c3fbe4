"""Loopback addresses with ports chosen by the kernel."""

import socket
import threading

# Outgoing connections use 127.0.0.1, so they can't occupy the port of a listener on
# this address while that listener is restarted.
HOST = "127.0.1.1"
_MAX_ATTEMPTS = 100


class PortChooser:
    """Returns free addresses, each one only once; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._allocated: set[int] = set()

    def free_address(self) -> str:
        """Return ``host:port`` with a port that is currently free.

        Another process may bind the port before it is used, so the caller has
        to retry a start that fails for that reason.

        Raises:
            OSError: the kernel has no free port.
        """
        for _ in range(_MAX_ATTEMPTS):
            with socket.socket() as probe:
                probe.bind((HOST, 0))
                port = int(probe.getsockname()[1])
            with self._lock:
                if port not in self._allocated:
                    self._allocated.add(port)
                    return f"{HOST}:{port}"
        raise OSError("the kernel offered no new free port")
