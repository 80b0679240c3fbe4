"""TCP proxies in front of every process, with fault injection between processes.

All connections go through one event loop in a dedicated thread. The source and
destination process of each connection are known, so a fault can apply between
two processes in one direction or in both.
"""

import asyncio
import contextlib
import threading
from collections.abc import Coroutine
from typing import Any, Final, NamedTuple, TypeVar

from foxspring_testing._ports import HOST
from foxspring_testing._socket_owner import FindOwners

_CHUNK_BYTES = 64 * 1024
_HELD_POLL_S = 0.02
_MS_PER_S = 1_000
_CALL_TIMEOUT_S = 10.0
ANY_PROCESS = "*"

T = TypeVar("T")
_UNRESOLVED: Final = None


class Fault(NamedTuple):
    """What happens to bytes sent from one process to another.

    ``delay_ms`` delays each chunk. ``held`` holds bytes back until the fault is
    removed, like a partition with TCP retransmission. ``dropped`` drops bytes
    permanently. ``cut_after`` resets a connection after that many bytes.
    """

    delay_ms: int = 0
    held: bool = False
    dropped: bool = False
    cut_after: int = -1


NO_FAULT = Fault()


class _ProxiedConnection:
    """One connection through a proxy, and whether each direction drops bytes.

    ``source`` is resolved from the client's port only when it is needed.
    """

    def __init__(self, port: int, destination: str) -> None:
        self.port = port
        self.source: str | None = _UNRESOLVED
        self.destination = destination
        self.forward_dropped = False
        self.back_dropped = False
        self.writers: list[asyncio.StreamWriter] = []

    def matches(self, source: str, destination: str) -> bool:
        return source in (ANY_PROCESS, self.source) and destination in (
            ANY_PROCESS,
            self.destination,
        )

    def abort(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


class FaultNetwork:
    """Runs the proxies and injects faults; thread-safe.

    ``find_owners`` maps local ports to the names of the processes that own
    them. It is called only when faults are injected or present, since it costs
    more than forwarding bytes.
    """

    def __init__(self, find_owners: FindOwners) -> None:
        self.find_owners = find_owners
        self._resolve_lock = threading.Lock()
        self._faults: dict[tuple[str, str], Fault] = {}
        self._connections: set[_ProxiedConnection] = set()
        self._servers: list[asyncio.Server] = []
        self._lookup: asyncio.Future[None] | None = None
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, name="fault-network", daemon=True
        )
        self._thread.start()

    def add_proxy(self, destination: str, address: str, listen: str = "") -> str:
        """Forward connections for ``destination`` to ``address``.

        Listens on ``listen``, or on a free address if that is empty, and
        returns the address it listens on.
        """
        return self._call(self._listen(destination, address, listen or f"{HOST}:0"))

    def set_fault(self, source: str, destination: str, fault: Fault) -> None:
        """Set the fault between two processes; ``ANY_PROCESS`` matches each process."""
        self._resolve_sources()
        self._faults = self._faults | {(source, destination): fault}

    def partition(self, cut_off: set[str], others: set[str], both: bool = True) -> None:
        """Hold bytes from ``cut_off`` to ``others``, and in reverse if ``both``."""
        self._resolve_sources()
        pairs = [(one, other) for one in cut_off for other in others - cut_off]
        if both:
            pairs += [(other, one) for one, other in pairs]
        self._faults = self._faults | dict.fromkeys(pairs, Fault(held=True))

    def drop_open_connections(
        self, source: str, destination: str, forward: bool = True, back: bool = True
    ) -> int:
        """Drop all further bytes of the open connections; new ones work.

        Returns the number of affected connections.
        """
        connections = self._matching(source, destination)
        for connection in connections:
            connection.forward_dropped = connection.forward_dropped or forward
            connection.back_dropped = connection.back_dropped or back
        return len(connections)

    def reset(self, source: str, destination: str) -> int:
        """Reset the open connections and return how many there were."""
        connections = self._matching(source, destination)
        for connection in connections:
            self._loop.call_soon_threadsafe(connection.abort)
        return len(connections)

    def clear_faults_of(self, name: str) -> None:
        """Remove the faults between one process and every other."""
        remaining = {
            pair: fault for pair, fault in self._faults.items() if name not in pair
        }
        self._faults = remaining

    def clear_faults(self) -> None:
        """Remove every fault.

        Connections affected by :meth:`drop_open_connections` keep dropping bytes.
        """
        self._faults = {}

    def stop(self) -> None:
        """Close every proxy and connection and end the thread."""
        self._call(self._close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _matching(self, source: str, destination: str) -> list[_ProxiedConnection]:
        self._resolve_sources()
        return [
            connection
            for connection in list(self._connections)
            if connection.matches(source, destination)
        ]

    def _resolve_sources(self) -> None:
        with self._resolve_lock:
            connections = [
                connection
                for connection in list(self._connections)
                if connection.source is _UNRESOLVED
            ]
            if not connections:
                return
            owners = self.find_owners({connection.port for connection in connections})
            for connection in connections:
                connection.source = owners.get(connection.port, "")

    def _call(self, work: Coroutine[Any, Any, T]) -> T:
        future = asyncio.run_coroutine_threadsafe(work, self._loop)
        return future.result(_CALL_TIMEOUT_S)

    async def _listen(self, destination: str, address: str, listen: str) -> str:
        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            # The event loop would log the cancellation of a connection as an error.
            with contextlib.suppress(asyncio.CancelledError):
                await self._forward_connection(destination, address, reader, writer)

        host, _, port = listen.rpartition(":")
        server = await asyncio.start_server(accept, host, int(port))
        self._servers.append(server)
        return f"{host}:{server.sockets[0].getsockname()[1]}"

    async def _close(self) -> None:
        for server in self._servers:
            server.close()
        for connection in list(self._connections):
            connection.abort()
        current = asyncio.current_task()
        tasks = [task for task in asyncio.all_tasks() if task is not current]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _forward_connection(
        self,
        destination: str,
        address: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        connection = _ProxiedConnection(
            int(writer.get_extra_info("peername")[1]), destination
        )
        connection.writers.append(writer)
        self._connections.add(connection)
        try:
            await self._wait_while_held(connection, forward=True)
            host, _, port = address.rpartition(":")
            upstream_reader, upstream = await asyncio.open_connection(host, int(port))
            connection.writers.append(upstream)
            await asyncio.gather(
                self._pump(connection, reader, upstream, True),
                self._pump(connection, upstream_reader, writer, False),
            )
        except OSError:
            pass
        finally:
            connection.abort()
            self._connections.discard(connection)

    async def _pump(
        self,
        connection: _ProxiedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        forward: bool,
    ) -> None:
        forwarded_bytes = 0
        while True:
            chunk = await reader.read(_CHUNK_BYTES)
            fault = await self._wait_while_held(connection, forward)
            if connection.forward_dropped if forward else connection.back_dropped:
                if not chunk:
                    return
                continue
            if fault.delay_ms:
                await asyncio.sleep(fault.delay_ms / _MS_PER_S)
            if not chunk:
                break
            if fault.dropped:
                continue
            if 0 <= fault.cut_after < forwarded_bytes + len(chunk):
                writer.write(chunk[: max(0, fault.cut_after - forwarded_bytes)])
                await writer.drain()
                connection.abort()
                return
            forwarded_bytes += len(chunk)
            writer.write(chunk)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()

    async def _wait_while_held(
        self, connection: _ProxiedConnection, forward: bool
    ) -> Fault:
        while self._faults:
            await self._wait_resolved(connection)
            fault = self._fault_between(connection, forward)
            if not fault.held:
                return fault
            await asyncio.sleep(_HELD_POLL_S)
        return NO_FAULT

    async def _wait_resolved(self, connection: _ProxiedConnection) -> None:
        """Wait for the source of a connection; waiting connections share lookups.

        A lookup for each of them would delay early connections by those of all
        later ones, and let connections overtake each other by seconds.
        """
        while connection.source is _UNRESOLVED:
            if self._lookup is None or self._lookup.done():
                self._lookup = self._loop.run_in_executor(None, self._resolve_sources)
            await asyncio.shield(self._lookup)

    def _fault_between(self, connection: _ProxiedConnection, forward: bool) -> Fault:
        ends = (connection.source or "", connection.destination)
        source, destination = ends if forward else ends[::-1]
        for key in (
            (source, destination),
            (source, ANY_PROCESS),
            (ANY_PROCESS, destination),
        ):
            fault = self._faults.get(key)
            if fault is not None:
                return fault
        return NO_FAULT
