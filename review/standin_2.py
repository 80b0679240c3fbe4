"""Stand-ins for the cases 6 to 10: a worker, a placement service and a proxy.

Usage: ``python3 standin_2.py worker|advice|proxy OPTIONS``, with OPTIONS as JSON.
They speak what the users' PROTOCOL.md says and use the standard library only. What a
task does is told by its ``spec``, a JSON object: ``ms`` is how long it works, ``lasts``
that it runs until it is stopped, ``deadly_ms`` that its worker crashes so long after
it has started the task, ``ticket`` that its queue needs a ticket, and ``figure`` the
fifth entry of its row in ``running``.

A worker that gets SIGUSR1 drains and leaves. A proxy that gets SIGUSR1 cuts one way:
what it takes to the worker is refused, what the worker sends still arrives, and the
answers to that are lost.
"""

import contextlib
import http.client
import http.server
import json
import os
import signal
import socket
import sys
import threading
import time
from typing import Any

TICK_S = 0.01
STARTUP_MS = 300
STOP_MS = 50
MAX_LISTED = 500
HEARTBEAT_TIMEOUT_S = 1.0
CRASH_CODE = 9


def wall_ms() -> int:
    """Return the Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


class Server(http.server.ThreadingHTTPServer):
    """An HTTP/1.1 server with a thread for each connection."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 64


def make_handler(handle: Any) -> type[http.server.BaseHTTPRequestHandler]:
    """Return a handler class that answers each request by ``handle``."""

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def setup(self) -> None:
            super().setup()
            self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

        def log_message(self, *_args: Any) -> None:
            return

        def answer(self) -> None:
            length = int(self.headers.get("Content-Length") or 0)
            data = self.rfile.read(length)
            status, body = handle(self.path, self.headers, data)
            text = json.dumps(body).encode()
            head = (
                f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(text)}\r\n\r\n"
            )
            self.wfile.write(head.encode() + text)

        do_GET = answer  # noqa: N815
        do_POST = answer  # noqa: N815

    return Handler


class Run:
    """One run of a task; times are readings of the worker's clock."""

    def __init__(self, spec: dict[str, Any], now: int) -> None:
        self.spec = spec
        self.started = now
        self.stop_at: int | None = None

    def percent(self, now: int) -> int:
        """Return the progress; a task that lasts is at work at 100."""
        age = now - self.started
        if self.spec.get("lasts"):
            return min(100, age * 100 // STARTUP_MS)
        return min(99, age * 100 // max(1, self.spec.get("ms", 500)))


class Worker:
    """One life of a worker."""

    def __init__(self, options: dict[str, Any]) -> None:
        self.options = options
        self.worker_id = options["id"]
        self.born = wall_ms()
        self.zero_ns = time.monotonic_ns()
        self.lock = threading.Condition()
        self.token = 0
        self.deadline = 0
        self.ends = 0
        self.runs: dict[tuple[str, int], Run] = {}
        self.finished: list[list[Any]] = []
        self.highest: dict[str, int] = {}
        self.draining = threading.Event()
        self.log_file = open(options["log"], "a", buffering=1)  # noqa: SIM115

    def clock(self) -> int:
        """Return the reading of the worker's own steady clock."""
        return 1_000 + (time.monotonic_ns() - self.zero_ns) // 1_000_000

    def log(self, event: str, **fields: Any) -> None:
        """Append an event to the log of this worker."""
        row = {"at": wall_ms(), "worker": self.worker_id, "event": event, **fields}
        self.log_file.write(json.dumps(row) + "\n")

    def handle(self, path: str, headers: Any, data: bytes) -> tuple[int, Any]:
        """Answer a call."""
        if headers.get("Expected-Instance", self.worker_id) != self.worker_id:
            return 421, {}
        call = json.loads(data)
        with self.lock:
            if call.get("fencingToken", 0) < self.token:
                return self.reject("fence")
            self.token = call.get("fencingToken", 0)
            if path == "/api/hold":
                return self.hold(call)
            if path == "/api/run-start":
                return self.start(call)
            if path == "/api/run-stop":
                return self.stop(call)
            if path == "/api/pace":
                return 200, {"clockMs": self.clock()}
        return 404, {}

    def reject(self, reason: str) -> tuple[int, Any]:
        """Return a 409."""
        return 409, {"clockMs": self.clock(), "reason": reason}

    def extend(self, deadline: int | None) -> None:
        """Extend the lease; it never gets shorter."""
        longest = self.clock() + self.options["hold_max_ms"]
        self.deadline = max(self.deadline, min(deadline or 0, longest))

    def start(self, call: dict[str, Any]) -> tuple[int, Any]:
        """Start a run."""
        key = (call["task"], call["runId"])
        self.extend(call.get("deadlineMs"))
        if key in self.runs:
            return 200, {"clockMs": self.clock()}
        if call["runId"] <= self.highest.get(call["task"], 0):
            return self.reject("old")
        if call.get("deadlineMs", 0) <= self.clock():
            return self.reject("late")
        spec = json.loads(call["spec"])
        if spec.get("ticket") and not self.holds_ticket(call):
            return self.reject("ticket")
        self.runs[key] = Run(spec, self.clock())
        self.log("start", task=call["task"], run=call["runId"], spec=spec)
        return 200, {"clockMs": self.clock()}

    def holds_ticket(self, call: dict[str, Any]) -> bool:
        """Return whether a start's ticket is valid for its step on this worker."""
        step = call["task"].rpartition(".")[0]
        parts = call.get("ticket", "").split("|")
        if len(parts) != 3 or parts[:2] != [step, self.worker_id]:
            return False
        return wall_ms() < int(parts[2])

    def stop(self, call: dict[str, Any]) -> tuple[int, Any]:
        """Stop a run; one that is not there is rejected from now on."""
        key = (call["task"], call["runId"])
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        run = self.runs.get(key)
        if run is not None and run.stop_at is None:
            run.stop_at = self.clock() + STOP_MS
        return 200, {"clockMs": self.clock()}

    def hold(self, call: dict[str, Any]) -> tuple[int, Any]:
        """Renew the lease, and list what runs and what has ended."""
        if call.get("deadlineMs") is not None:
            self.extend(call["deadlineMs"])
        cursor = call.get("ackCursor", 0)
        if cursor:
            acked = [row for row in self.finished if row[0] <= cursor]
            self.finished = [row for row in self.finished if row[0] > cursor]
            for row in acked:
                self.log("acked", task=row[1], run=row[2], how=row[3])
        until = time.monotonic() + call.get("waitMs", 0) / 1_000
        while not self.finished and time.monotonic() < until:
            self.lock.wait(until - time.monotonic())
        now = self.clock()
        running = [
            [task, number, "", run.percent(now), run.spec.get("figure", 100)]
            for (task, number), run in self.runs.items()
        ]
        return 200, {
            "clockMs": now,
            "born": self.born,
            "running": running,
            "finished": self.finished[:MAX_LISTED],
        }

    def end(self, key: tuple[str, int], how: str) -> None:
        """End a run and list its end."""
        del self.runs[key]
        self.ends += 1
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        self.finished.append([self.ends, key[0], key[1], how, ""])
        self.log("end", task=key[0], run=key[1], how=how)
        self.lock.notify_all()

    def advance(self) -> None:
        """End what is due, and everything once the lease has expired."""
        now = self.clock()
        for key, run in list(self.runs.items()):
            age = now - run.started
            if "deadly_ms" in run.spec and age >= run.spec["deadly_ms"]:
                self.log("crash", task=key[0], run=key[1])
                os._exit(CRASH_CODE)
            if run.stop_at is not None and now >= run.stop_at:
                self.end(key, "stopped")
            elif not run.spec.get("lasts") and age >= run.spec.get("ms", 500):
                self.end(key, "done")
        if now >= self.deadline:
            for key in list(self.runs):
                self.end(key, "lapsed")

    def work(self) -> None:
        """Advance all runs until the process ends."""
        while True:
            with self.lock:
                self.advance()
            time.sleep(TICK_S)

    def beat(self) -> None:
        """Send heartbeats until the process ends."""
        control = self.options["control"]
        sequence, position, address = 0, 0, ""
        while True:
            sequence += 1
            body = json.dumps(self.report(sequence))
            for _ in range(len(control) + 1):
                if not address:
                    address = control[position % len(control)]
                    position += 1
                path = f"/api/Instances.Heartbeat/{self.worker_id}"
                acked, named = self.send(address, path, body)
                if acked:
                    named = self.options.get("reached_by", {}).get(named, named)
                    address = named or address
                    break
                address = ""
            if acked and self.draining.is_set():
                self.log("draining_acknowledged")
                self.leave(control)
            self.draining.wait(self.options["beat_ms"] / 1_000)

    def leave(self, control: list[str]) -> None:
        """Serve for a while, say that this worker leaves, and end."""
        time.sleep(self.options["serve_draining_s"])
        path = f"/api/Instances.Deregister/{self.worker_id}"
        body = json.dumps({"born": self.born})
        self.log("deregister")
        if not any(self.send(address, path, body)[0] for address in control):
            self.log("deregister_unacknowledged")
            time.sleep(self.options["end_anyway_s"])
        with self.lock:
            self.log("left", runs=[list(key) for key in self.runs])
            os._exit(0)

    def report(self, sequence: int) -> dict[str, Any]:
        """Return the body of a heartbeat."""
        options = self.options
        return {
            "service": options["service"],
            "address": options["address"],
            "zone": options["zone"],
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining.is_set() else "ready",
            "coldRemainingMs": 0,
            "capacity": {"cpu": options["cpu"], "memMb": options["mem_mb"], "gpu": 0},
            "labels": [options.get("kind", "a"), options["rack"]],
            "clockMs": self.clock(),
            "born": self.born,
            "sequence": sequence,
        }

    def send(self, address: str, path: str, body: str) -> tuple[bool, str]:
        """Return whether a call was acknowledged, and the address that it names."""
        connection = http.client.HTTPConnection(address, timeout=HEARTBEAT_TIMEOUT_S)
        try:
            headers = {"Content-Type": "application/json"}
            connection.request("POST", path, body, headers)
            response = connection.getresponse()
            data = response.read()
            if response.status // 100 != 2:
                return False, ""
            return True, json.loads(data or b"{}").get("heartbeatAddress", "")
        except (OSError, ValueError, http.client.HTTPException):
            return False, ""
        finally:
            connection.close()


def serve(address: str, handle: Any) -> None:
    """Serve an address until the process ends."""
    host, _, port = address.rpartition(":")
    Server((host, int(port)), make_handler(handle)).serve_forever()


def run_worker(options: dict[str, Any]) -> None:
    """Run a worker."""
    worker = Worker(options)
    worker.log("born", born=worker.born)
    signal.signal(signal.SIGUSR1, lambda *_: worker.draining.set())
    for target in (worker.work, worker.beat):
        threading.Thread(target=target, daemon=True).start()
    serve(options.get("listen", options["address"]), worker.handle)


def run_advice(options: dict[str, Any]) -> None:
    """Run the service for placement advice; it allows the workers of its policy."""
    lock = threading.Lock()

    def handle(_path: str, _headers: Any, data: bytes) -> tuple[int, Any]:
        call = json.loads(data)
        with lock:
            workers = call["workers"]
            delay_ms = options["decision_ms"] + options["per_worker_ms"] * len(workers)
            time.sleep(delay_ms / 1_000)
            until = wall_ms() + options["validity_ms"]
            allowed = [
                [name, f"{call['step']}|{name}|{until}"]
                for name in workers
                if name in options["allowed"]
            ]
            row = {"at": wall_ms(), "event": "advice", "step": call["step"]}
            row |= {"asked": len(workers), "allowed": [name for name, _ in allowed]}
            with open(options["log"], "a") as log:
                log.write(json.dumps(row) + "\n")
        return 200, {"allowed": allowed}

    serve(options["address"], handle)


class Proxy:
    """Forwards connections between one worker and the control members."""

    def __init__(self, options: dict[str, Any]) -> None:
        self.inward: list[str] = options["inward"]
        self.outward: dict[str, str] = options["outward"]
        self.cut = threading.Event()
        self.lock = threading.Lock()
        self.inward_sockets: list[socket.socket] = []

    def start(self) -> None:
        """Listen; ``inward`` leads to the worker, ``outward`` to control members."""
        self.listen(*self.inward, inward=True)
        for own, peer in self.outward.items():
            self.listen(own, peer, inward=False)

    def listen(self, own: str, peer: str, inward: bool) -> None:
        """Accept connections on one address."""
        host, _, port = own.rpartition(":")
        listener = socket.create_server((host, int(port)), backlog=64)
        if inward:
            self.inward_sockets.append(listener)

        def accept() -> None:
            while True:
                try:
                    client, _ = listener.accept()
                except OSError:
                    return
                self.forward(client, peer, inward)

        threading.Thread(target=accept, daemon=True).start()

    def forward(self, client: socket.socket, peer: str, inward: bool) -> None:
        """Connect to a peer and copy bytes both ways."""
        host, _, port = peer.rpartition(":")
        try:
            server = socket.create_connection((host, int(port)), timeout=1.0)
        except OSError:
            client.close()
            return
        server.settimeout(None)
        for end in (client, server):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self.lock:
            if inward:
                self.inward_sockets += [client, server]
        for source, target, is_answer in (
            (client, server, False),
            (server, client, True),
        ):
            loses = is_answer and not inward
            threading.Thread(
                target=self.copy, args=(source, target, loses), daemon=True
            ).start()

    def copy(self, source: socket.socket, target: socket.socket, loses: bool) -> None:
        """Copy bytes one way; with ``loses`` they are lost during a cut."""
        try:
            while data := source.recv(65_536):
                if not (loses and self.cut.is_set()):
                    target.sendall(data)
        except OSError:
            pass
        for end in (source, target):
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)

    def begin_cut(self) -> None:
        """Refuse what leads to the worker, and lose the answers that it waits for."""
        self.cut.set()
        with self.lock:
            for end in self.inward_sockets:
                with contextlib.suppress(OSError):
                    end.shutdown(socket.SHUT_RDWR)
                end.close()


def run_proxy(options: dict[str, Any]) -> None:
    """Run a proxy."""
    proxy = Proxy(options)
    cut = threading.Event()
    signal.signal(signal.SIGUSR1, lambda *_: cut.set())
    proxy.start()
    while not cut.wait(1.0):
        pass
    proxy.begin_cut()
    threading.Event().wait()


if __name__ == "__main__":
    role = {"worker": run_worker, "advice": run_advice, "proxy": run_proxy}[sys.argv[1]]
    role(json.loads(sys.argv[2]))
