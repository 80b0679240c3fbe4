"""Addresses on loopback that the kernel chooses."""

import socket
import threading

# Outgoing connections come from 127.0.0.1, so they never take a port from under
# a listener that is about to be started again here.
HOST = "127.0.1.1"
_TRIES = 100


class PortChooser:
    """Gives free addresses and never the same one twice."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._given: set[int] = set()

    def free_address(self) -> str:
        """Return ``host:port`` with a port that is free now.

        Another process may take it before it is used; a start that fails for
        that reason is tried again.

        Raises:
            OSError: the kernel has no free port.
        """
        for _ in range(_TRIES):
            with socket.socket() as probe:
                probe.bind((HOST, 0))
                port = int(probe.getsockname()[1])
            with self._lock:
                if port not in self._given:
                    self._given.add(port)
                    return f"{HOST}:{port}"
        raise OSError("the kernel offered no new free port")
