"""Strict parsing of request heads with a limit on concurrent reads.

The number of heads that are read at the same time is limited, because their
tokens have not been checked yet.
"""

import threading
from typing import Any

from cheroot.server import HeaderReader, HTTPConnection, HTTPRequest

HEAD_SLOT_TIMEOUT_S = 1.0
_SINGLETON_HEADERS = frozenset(
    {
        b"Authorization",
        b"Content-Length",
        b"Foxspring-Deadline-Ms",
        b"Foxspring-Idempotent",
        b"Host",
        b"Idempotency-Key",
        b"Transfer-Encoding",
    }
)


class _Headers(dict[bytes, bytes]):
    """Header values by name; refuses a repeated header that must be unique."""

    def __setitem__(self, name: bytes, value: bytes) -> None:
        if name in _SINGLETON_HEADERS and name in self:
            raise ValueError(f"{name.decode('latin-1')} was sent twice")
        super().__setitem__(name, value)


class StrictHeaderReader(HeaderReader):
    """Refuses ambiguous heads that two parsers could read as different requests."""

    def __call__(self, rfile: Any, hdict: Any = None) -> Any:
        """Read headers into ``hdict``.

        Raises:
            ValueError: a header that must be unique is repeated, or both
                Content-Length and Transfer-Encoding are present.
        """
        headers = _Headers()
        super().__call__(rfile, headers)
        if b"Content-Length" in headers and b"Transfer-Encoding" in headers:
            raise ValueError("send Content-Length or Transfer-Encoding, not both")
        hdict = {} if hdict is None else hdict
        hdict.update(headers)
        return hdict


def limited_connection_class(head_slots: threading.Semaphore) -> type[Any]:
    """Return a connection class that reads request heads within ``head_slots``.

    Slow senders can occupy these slots, but not the remaining threads.
    """

    class LimitedRequest(HTTPRequest):
        header_reader = StrictHeaderReader()

        def parse_request(self) -> None:
            if not head_slots.acquire(timeout=HEAD_SLOT_TIMEOUT_S):
                self.simple_response(
                    "503 Service Unavailable", "too many request heads are being read"
                )
                return
            try:
                super().parse_request()
            finally:
                head_slots.release()

    class LimitedConnection(HTTPConnection):
        RequestHandlerClass = LimitedRequest

    return LimitedConnection
