"""A small HTTP/1.1 client and server on asyncio streams."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple


class Request(NamedTuple):
    """A complete request; header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Response(NamedTuple):
    """A complete response; status 0 means that there was none."""

    status: int
    body: bytes = b""

    def json(self) -> dict[str, Any]:
        """Return the decoded body, or an empty table."""
        try:
            decoded = json.loads(self.body)
        except ValueError:
            return {}
        return decoded if isinstance(decoded, dict) else {}


NO_RESPONSE = Response(0)
Handler = Callable[[Request], Awaitable[Response]]


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Read the first line, the headers and the body of one message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return first, headers, body


async def request(
    method: str,
    address: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.2,
) -> Response:
    """Send a request on a new connection; the status is 0 without a response."""
    writer: asyncio.StreamWriter | None = None
    host, _, port = address.rpartition(":")
    lines = {
        "Host": address,
        "Content-Type": "application/json",
        "Content-Length": str(len(body)),
        "Connection": "close",
        **(headers or {}),
    }
    head = f"{method} {path} HTTP/1.1\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode() + b"\r\n" + body)
            first, _, answer = await read_message(reader)
            return Response(int(first.split(" ")[1]), answer)
    except (TimeoutError, OSError, EOFError, ValueError):
        return NO_RESPONSE
    finally:
        if writer is not None:
            writer.close()


class Server:
    """Serves one address until it is closed, which resets its connections."""

    def __init__(self, address: str, handle: Handler) -> None:
        self.address = address
        self.handle = handle
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen and serve."""
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(
            self._serve, host, int(port), reuse_address=True
        )

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(" ")
                response = await self.handle(Request(method, path, headers, body))
                if response.status == 0:
                    return
                head = (
                    f"HTTP/1.1 {response.status} X\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(response.body)}\r\n\r\n"
                )
                writer.write(head.encode() + response.body)
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.LimitOverrunError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()
