"""A stand-in worker that keeps the contract of PROTOCOL.md, "Running tasks".

What a task does is written in its job's ``spec``, a JSON text with ``workMs`` and
``fails``. A task with ``workMs`` 0 runs until it is stopped.
"""

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from standin_http import Request, Response, Server, request

TICK_S = 0.01
STARTUP_MS = 400
FULL_PERCENT = 100
MAX_LISTED_ENDS = 500
CALL_TIMEOUT_S = 1.0
Record = Callable[..., None]


class Run(NamedTuple):
    """A run at work since ``started_ms`` of the worker's clock."""

    started_ms: int
    work_ms: int
    fails: bool


class WorkerSettings(NamedTuple):
    """What does not change from one life of a worker to the next."""

    address: str
    zone: str
    service: str
    labels: tuple[str, ...]
    cpu: int
    mem_mb: int
    heartbeat_ms: int
    longest_lease_ms: int
    control: tuple[str, ...]


class Worker:
    """One life of a worker; ``healthy`` is false while it rejects starts with 503."""

    def __init__(
        self, worker_id: str, settings: WorkerSettings, record: Record
    ) -> None:
        self.worker_id = worker_id
        self.settings = settings
        self.record = record
        self.born = time.time_ns() // 1_000_000
        self.began_ns = time.monotonic_ns()
        self.healthy = True
        self.token = 0
        self.lease_ms = 0
        self.running: dict[tuple[str, int], Run] = {}
        self.highest: dict[str, int] = {}
        self.finished: list[list[Any]] = []
        self.ends = 0
        self.sequence = 0
        self.server = Server(settings.address, self._handle)
        self.tasks: list[asyncio.Task[None]] = []

    def clock_ms(self) -> int:
        """Return the worker's own steady clock."""
        return 1_000 + (time.monotonic_ns() - self.began_ns) // 1_000_000

    async def start(self) -> None:
        """Serve, and send heartbeats."""
        await self.server.start()
        self.tasks = [
            asyncio.create_task(self._advance()),
            asyncio.create_task(self._beat()),
        ]
        self.record("worker_up", worker=self.worker_id, born=self.born)

    def crash(self) -> None:
        """End at once: nothing runs on, and all connections are reset."""
        for task in self.tasks:
            task.cancel()
        self.server.close()
        lost = [f"{task}#{run}" for task, run in self.running]
        self.record("worker_crash", worker=self.worker_id, lost=lost)
        self.running.clear()

    async def _advance(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now = self.clock_ms()
            for key, run in list(self.running.items()):
                if run.work_ms and now >= run.started_ms + run.work_ms:
                    self._end(key, "failed" if run.fails else "done")
            if self.running and now >= self.lease_ms:
                for key in list(self.running):
                    self._end(key, "lapsed")

    def _end(self, key: tuple[str, int], how: str) -> None:
        del self.running[key]
        self.ends += 1
        self._note_highest(*key)
        self.finished.append([self.ends, key[0], key[1], how, ""])
        self.record("end", worker=self.worker_id, task=key[0], run=key[1], how=how)

    def _note_highest(self, task: str, run: int) -> None:
        self.highest[task] = max(run, self.highest.get(task, 0))

    async def _beat(self) -> None:
        turn = 0
        while True:
            self.sequence += 1
            body = json.dumps(self._report()).encode()
            for _ in self.settings.control:
                address = self.settings.control[turn % len(self.settings.control)]
                path = f"/api/Instances.Heartbeat/{self.worker_id}"
                answer = await request(
                    "POST", address, path, body, timeout_s=CALL_TIMEOUT_S
                )
                if 200 <= answer.status < 300:
                    break
                turn += 1
            await asyncio.sleep(self.settings.heartbeat_ms / 1_000)

    def _report(self) -> dict[str, Any]:
        settings = self.settings
        return {
            "service": settings.service,
            "address": settings.address,
            "zone": settings.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "capacity": {"cpu": settings.cpu, "memMb": settings.mem_mb, "gpu": 0},
            "labels": list(settings.labels),
            "clockMs": self.clock_ms(),
            "sequence": self.sequence,
            "born": self.born,
        }

    async def _handle(self, call: Request) -> Response:
        expected = call.headers.get("expected-instance", self.worker_id)
        if expected != self.worker_id:
            return self._answer(421)
        body = json.loads(call.body or b"{}")
        if body.get("fencingToken", 0) < self.token:
            return self._answer(409, reason="fence")
        if call.path == "/api/hold":
            return await self._hold(body)
        if call.path == "/api/run-start":
            return self._start(body)
        if call.path == "/api/run-stop":
            return self._stop(body)
        if call.path == "/api/pace":
            self._take_token(body)
            return self._answer(200)
        return self._answer(400)

    def _answer(self, status: int, **fields: Any) -> Response:
        body = {"clockMs": self.clock_ms(), "born": self.born, **fields}
        return Response(status, json.dumps(body).encode())

    def _take_token(self, body: dict[str, Any]) -> None:
        self.token = max(self.token, body.get("fencingToken", 0))

    def _extend(self, deadline_ms: int) -> None:
        longest = self.clock_ms() + self.settings.longest_lease_ms
        self.lease_ms = max(self.lease_ms, min(deadline_ms, longest))

    async def _hold(self, body: dict[str, Any]) -> Response:
        self._take_token(body)
        if "deadlineMs" in body:
            self._extend(body["deadlineMs"])
        cursor = body.get("ackCursor", 0)
        self.finished = [row for row in self.finished if row[0] > cursor]
        until = self.clock_ms() + body.get("waitMs", 0)
        while not self.finished and self.clock_ms() < until:
            await asyncio.sleep(TICK_S)
        running = [
            [task, number, "", self._percent(run), 0]
            for (task, number), run in self.running.items()
        ]
        listed = self.finished[:MAX_LISTED_ENDS]
        return self._answer(200, running=running, finished=listed)

    def _percent(self, run: Run) -> int:
        age = self.clock_ms() - run.started_ms
        if not run.work_ms:
            return min(FULL_PERCENT, age * FULL_PERCENT // STARTUP_MS)
        return min(FULL_PERCENT - 1, age * FULL_PERCENT // run.work_ms)

    def _start(self, body: dict[str, Any]) -> Response:
        key = (body["task"], body["runId"])
        if not self.healthy:
            self.record("start_503", worker=self.worker_id, task=key[0], run=key[1])
            return self._answer(503)
        self._take_token(body)
        self._extend(body["deadlineMs"])
        if key in self.running:
            return self._answer(200)
        if key[1] <= self.highest.get(key[0], 0):
            return self._answer(409, reason="old")
        if self.lease_ms <= self.clock_ms():
            return self._answer(409, reason="late")
        work = json.loads(body["spec"])
        run = Run(self.clock_ms(), work.get("workMs", 0), work.get("fails", False))
        self.running[key] = run
        self.record("start", worker=self.worker_id, task=key[0], run=key[1])
        return self._answer(200)

    def _stop(self, body: dict[str, Any]) -> Response:
        self._take_token(body)
        key = (body["task"], body["runId"])
        if key in self.running:
            self._end(key, "stopped")
        self._note_highest(*key)
        return self._answer(200)
