"""Replacement and closing of push sockets at times when nng allows it.

nng uses freed memory, which ends the whole process, in two cases:

- An attempt to connect ends while its socket is being closed. Without a connection,
  attempts follow one another for as long as the peer is down.
- A socket is used on after its connection has ended, if that was while a message was
  handed over.
"""

import contextlib
import logging
import threading
from typing import Any

from foxspring_link._nng import pynng

_LOG = logging.getLogger(__name__)

RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1_000
# The last attempt begins within RECONNECT_MAX_MS; the rest is for the attempt itself.
LAST_ATTEMPT_S = 2.0
# The pause before the next attempt is drawn from 0 to this.
NO_ATTEMPT_MS = 1_000_000_000


class Connection:
    """A push socket that is used only until its connection has ended."""

    def __init__(self, socket: Any) -> None:
        self.socket = socket
        self.ended = False
        self._sending = threading.Lock()
        socket.add_post_pipe_remove_cb(self._on_removed)

    def send(self, frame: bytes) -> bool:
        """Queue a frame without blocking; return whether it was queued."""
        with self._sending:
            if self.ended:
                return False
            try:
                self.socket.send(frame, block=False)
            except (pynng.TryAgain, pynng.Timeout, pynng.Closed):
                return False
        return True

    def _on_removed(self, _pipe: Any) -> None:
        """Wait for a send in progress and let no other begin.

        nng frees the memory once this returns, and closes no socket before.
        """
        _stop_attempts(self.socket)
        with self._sending:
            self.ended = True


class _DelayedClosing:
    """Sockets to close after their last attempt.

    ``waiting`` are those for which the system had no thread; they make no attempts,
    and are closed together with the next one.
    """

    def __init__(self) -> None:
        self.waiting: list[Any] = []
        self.lock = threading.Lock()

    def add(self, socket: Any) -> None:
        """Close a socket on a thread of its own, for which the interpreter waits."""
        with self.lock:
            sockets = [*self.waiting, socket]
            self.waiting = []
            try:
                threading.Timer(LAST_ATTEMPT_S, _close_all, (sockets,)).start()
            except RuntimeError as error:
                self.waiting = sockets
                _LOG.warning(
                    "event=closing_delayed sockets=%d reason=%r",
                    len(sockets),
                    str(error),
                )


_DELAYED_CLOSING = _DelayedClosing()


def _close_all(sockets: list[Any]) -> None:
    for socket in sockets:
        socket.close()


def retire(socket: Any) -> None:
    """Close a push socket, one without a connection after its last attempt."""
    _stop_attempts(socket)
    if socket.pipes:
        socket.close()
    else:
        _DELAYED_CLOSING.add(socket)


def _stop_attempts(socket: Any) -> None:
    # A socket that is being closed refuses the change and needs none.
    with contextlib.suppress(pynng.NNGException):
        for dialer in socket.dialers:
            dialer.reconnect_time_max = NO_ATTEMPT_MS
            dialer.reconnect_time_min = NO_ATTEMPT_MS
