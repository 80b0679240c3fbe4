"""TCP proxies in front of every process, and the faults between them.

All connections go through one event loop on an own thread. A connection knows
the process it comes from and the one it goes to, so a fault can lie between
two processes, in one direction or both.
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
_CALL_LIMIT_S = 10.0
ANYONE = "*"

T = TypeVar("T")
_UNKNOWN: Final = None


class Fault(NamedTuple):
    """What happens to bytes on the way from one process to another.

    ``held`` keeps them back until the fault is lifted, as a partition does
    with TCP's retransmission; ``swallowed`` loses them for good and lets no
    close through; ``cut_after`` resets a connection after that many bytes.
    """

    delay_ms: int = 0
    held: bool = False
    swallowed: bool = False
    cut_after: int = -1


NO_FAULT = Fault()


class _Pipe:
    """One connection through a proxy; the faults of both its directions.

    ``source`` is unknown until somebody has looked for it.
    """

    def __init__(self, port: int, destination: str) -> None:
        self.port = port
        self.source: str | None = _UNKNOWN
        self.destination = destination
        self.forward_lost = False
        self.back_lost = False
        self.writers: list[asyncio.StreamWriter] = []

    def matches(self, source: str, destination: str) -> bool:
        return source in (ANYONE, self.source) and destination in (
            ANYONE,
            self.destination,
        )

    def abort(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


class FaultNetwork:
    """Owns the proxies and the faults; every method is safe from any thread.

    ``find_owners`` names the processes that own local ports. It is asked only
    while there are faults, since it costs more than passing bytes on.
    """

    def __init__(self, find_owners: FindOwners) -> None:
        self.find_owners = find_owners
        self._finding = threading.Lock()
        self._faults: dict[tuple[str, str], Fault] = {}
        self._pipes: set[_Pipe] = set()
        self._servers: list[asyncio.Server] = []
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, name="fault-network", daemon=True
        )
        self._thread.start()

    def add_proxy(self, destination: str, address: str, listen: str = "") -> str:
        """Listen for ``destination`` and pass on to ``address``; return where.

        ``listen`` is the address to listen at, a free one if it is left out.
        """
        return self._call(self._listen(destination, address, listen or f"{HOST}:0"))

    def set_fault(self, source: str, destination: str, fault: Fault) -> None:
        """Lay a fault between two processes; ``ANYONE`` stands for all."""
        self._find_sources()
        self._faults = self._faults | {(source, destination): fault}

    def partition(self, cut_off: set[str], others: set[str], both: bool = True) -> None:
        """Hold all that ``cut_off`` sends to ``others``, and back if ``both``."""
        self._find_sources()
        pairs = [(one, other) for one in cut_off for other in others - cut_off]
        if both:
            pairs += [(other, one) for one, other in pairs]
        self._faults = self._faults | dict.fromkeys(pairs, Fault(held=True))

    def silence(
        self, source: str, destination: str, forward: bool = True, back: bool = True
    ) -> int:
        """Lose all bytes of the open connections for good; new ones work.

        Returns how many connections went silent.
        """
        pipes = self._matching(source, destination)
        for pipe in pipes:
            pipe.forward_lost = pipe.forward_lost or forward
            pipe.back_lost = pipe.back_lost or back
        return len(pipes)

    def reset(self, source: str, destination: str) -> int:
        """Reset the open connections; returns how many."""
        pipes = self._matching(source, destination)
        for pipe in pipes:
            self._loop.call_soon_threadsafe(pipe.abort)
        return len(pipes)

    def heal(self, name: str) -> None:
        """Lift the faults between one process and every other."""
        kept = {pair: fault for pair, fault in self._faults.items() if name not in pair}
        self._faults = kept

    def restore(self) -> None:
        """Lift every fault; connections that went silent stay so."""
        self._faults = {}

    def stop(self) -> None:
        """Close every proxy and connection."""
        self._call(self._close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _matching(self, source: str, destination: str) -> list[_Pipe]:
        self._find_sources()
        return [p for p in list(self._pipes) if p.matches(source, destination)]

    def _find_sources(self) -> None:
        with self._finding:
            pipes = [pipe for pipe in list(self._pipes) if pipe.source is _UNKNOWN]
            if not pipes:
                return
            owners = self.find_owners({pipe.port for pipe in pipes})
            for pipe in pipes:
                pipe.source = owners.get(pipe.port, "")

    def _call(self, work: Coroutine[Any, Any, T]) -> T:
        future = asyncio.run_coroutine_threadsafe(work, self._loop)
        return future.result(_CALL_LIMIT_S)

    async def _listen(self, destination: str, address: str, listen: str) -> str:
        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            # The loop reports a cancelled connection as an error of its own.
            with contextlib.suppress(asyncio.CancelledError):
                await self._carry(destination, address, reader, writer)

        host, _, port = listen.rpartition(":")
        server = await asyncio.start_server(accept, host, int(port))
        self._servers.append(server)
        return f"{host}:{server.sockets[0].getsockname()[1]}"

    async def _close(self) -> None:
        for server in self._servers:
            server.close()
        for pipe in list(self._pipes):
            pipe.abort()
        current = asyncio.current_task()
        tasks = [task for task in asyncio.all_tasks() if task is not current]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _carry(
        self,
        destination: str,
        address: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        pipe = _Pipe(int(writer.get_extra_info("peername")[1]), destination)
        pipe.writers.append(writer)
        self._pipes.add(pipe)
        try:
            await self._while_held(pipe, forward=True)
            host, _, port = address.rpartition(":")
            upstream_reader, upstream = await asyncio.open_connection(host, int(port))
            pipe.writers.append(upstream)
            await asyncio.gather(
                self._pump(pipe, reader, upstream, True),
                self._pump(pipe, upstream_reader, writer, False),
            )
        except OSError:
            pass
        finally:
            pipe.abort()
            self._pipes.discard(pipe)

    async def _pump(
        self,
        pipe: _Pipe,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        forward: bool,
    ) -> None:
        passed = 0
        while True:
            chunk = await reader.read(_CHUNK_BYTES)
            fault = await self._while_held(pipe, forward)
            if pipe.forward_lost if forward else pipe.back_lost:
                if not chunk:
                    return
                continue
            if fault.delay_ms:
                await asyncio.sleep(fault.delay_ms / _MS_PER_S)
            if not chunk:
                break
            if fault.swallowed:
                continue
            if 0 <= fault.cut_after < passed + len(chunk):
                writer.write(chunk[: max(0, fault.cut_after - passed)])
                await writer.drain()
                pipe.abort()
                return
            passed += len(chunk)
            writer.write(chunk)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()

    async def _while_held(self, pipe: _Pipe, forward: bool) -> Fault:
        while self._faults:
            if pipe.source is _UNKNOWN:
                await self._loop.run_in_executor(None, self._find_sources)
            fault = self._fault_of(pipe, forward)
            if not fault.held:
                return fault
            await asyncio.sleep(_HELD_POLL_S)
        return NO_FAULT

    def _fault_of(self, pipe: _Pipe, forward: bool) -> Fault:
        ends = (pipe.source or "", pipe.destination)
        source, destination = ends if forward else ends[::-1]
        for key in ((source, destination), (source, ANYONE), (ANYONE, destination)):
            fault = self._faults.get(key)
            if fault is not None:
                return fault
        return NO_FAULT
