"""A stand-in for the service at ``placementAdvice`` (PROTOCOL.md, "Running tasks").

It handles one call at a time for each calling machine; all calls of a case come from
the one leader.
"""

import asyncio
import json
import time
from collections.abc import Callable
from typing import NamedTuple

from standins.http import Request, Response, Server

MAX_WAITING = 32
MS_PER_S = 1_000
Allows = Callable[[str, str], bool]
Record = Callable[..., None]


class AdviceTimes(NamedTuple):
    """What the configuration says of a queue's advice."""

    decision_delay_ms: int
    per_worker_ms: int
    validity_ms: int

    def fields(self) -> dict[str, int]:
        """Return the fields of a route."""
        return {
            "decisionDelayMs": self.decision_delay_ms,
            "perWorkerMs": self.per_worker_ms,
            "validityMs": self.validity_ms,
        }


class Advice:
    """Tells which workers may run a step: ``allows`` gets the step and a worker id."""

    def __init__(
        self, address: str, times: AdviceTimes, allows: Allows, record: Record
    ) -> None:
        self.address = address
        self.times = times
        self.allows = allows
        self.record = record
        self.tickets: dict[str, tuple[str, str, float]] = {}
        self.asked: dict[str, int] = {}
        self.waiting = 0
        self.turn = asyncio.Lock()
        self.server = Server(address, self._handle)

    async def start(self) -> None:
        """Serve."""
        await self.server.start()

    def is_valid(self, ticket: str, step: str, worker_id: str) -> bool:
        """Return whether a ticket allows to start the step's tasks on a worker now."""
        known = self.tickets.get(ticket)
        if known is None:
            return False
        return known[:2] == (step, worker_id) and time.monotonic() < known[2]

    async def _handle(self, call: Request) -> Response:
        if call.path != "/api/advise":
            return Response(404)
        if self.waiting >= MAX_WAITING:
            return Response(429)
        self.waiting += 1
        try:
            async with self.turn:
                return await self._advise(json.loads(call.body))
        finally:
            self.waiting -= 1

    async def _advise(self, body: dict[str, object]) -> Response:
        step, workers = str(body["step"]), body["workers"]
        assert isinstance(workers, list)
        delay_ms = self.times.decision_delay_ms
        delay_ms += self.times.per_worker_ms * len(workers)
        await asyncio.sleep(delay_ms / MS_PER_S)
        until = time.monotonic() + self.times.validity_ms / MS_PER_S
        rows = []
        for worker in workers:
            if self.allows(step, worker):
                ticket = f"{len(self.tickets):08x}"
                self.tickets[ticket] = (step, worker, until)
                rows.append([worker, ticket])
        job_id = step.partition(".")[0]
        self.asked[job_id] = self.asked.get(job_id, 0) + 1
        self.record("advised", step=step, named=len(workers), allowed=len(rows))
        answer = {"allowed": rows, "validityMs": self.times.validity_ms}
        return Response(200, json.dumps(answer).encode())
