"""A stand-in worker that speaks the users' protocol, as a process of its own.

It does what PROTOCOL.md says of a worker and no more. What a task does is told by the
``spec`` of its job, a JSON object:

- ``work_ms``: the task ends ``done`` after so much work.
- ``fail_ms``: the task ends ``failed`` after so much work instead.
- ``crash_ms``: the task crashes its worker after so much work.
- ``startup_ms``: a task that lasts is at work (100 percent) after that.
- ``serves``: its own load, for a task that serves: 0 to 1, see ``TAIL_MS``. During
  ``surge_ms`` from its start the load is ``surge`` instead.
- ``presses``: for a task that fills: the load that it adds to those that serve.

Each event is written as one line of JSON to the file of ``--record``; times are
milliseconds of the machine's monotonic clock, which all processes share.
"""

import argparse
import http.client
import json
import os
import signal
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

TICK_S = 0.01
STOP_MS = 100
PACE_DELAY_MS = 100
HOLD_MAX_MS = 10_000
GANG_TIMEOUT_MS = 3_000
MAX_LISTED_ENDS = 500
HEARTBEAT_TIMEOUT_S = 1.0
# The tail of a task that serves is this, divided by what the load leaves of 1.
TAIL_MS = 10.0
MAX_LOAD = 0.98
FULL_PERCENT = 100
CRASHED = 3


def now_ms() -> int:
    """Return the machine's monotonic clock in milliseconds."""
    return time.monotonic_ns() // 1_000_000


class Run:
    """One run of a task."""

    def __init__(self, task: str, number: int, spec: dict[str, Any], at_ms: int):
        self.task = task
        self.number = number
        self.spec = spec
        self.started_ms = at_ms
        self.advanced_ms = at_ms
        self.worked_ms = 0.0
        self.pace = FULL_PERCENT
        self.next_pace: tuple[int, int] | None = None
        self.stops_ms: int | None = None

    def advance(self, at_ms: int) -> None:
        """Work until a time, at the pace in force."""
        if self.next_pace is not None and at_ms >= self.next_pace[0]:
            self.pace = self.next_pace[1]
            self.next_pace = None
        self.worked_ms += (at_ms - self.advanced_ms) * self.pace / FULL_PERCENT
        self.advanced_ms = at_ms

    def end(self) -> str:
        """Return how the run ends by itself now, or an empty string."""
        if "fail_ms" in self.spec and self.worked_ms >= self.spec["fail_ms"]:
            return "failed"
        if "work_ms" in self.spec and self.worked_ms >= self.spec["work_ms"]:
            return "done"
        return ""

    def percent(self) -> int:
        """Return the progress in percent."""
        if "work_ms" in self.spec:
            share = self.worked_ms / self.spec["work_ms"]
        else:
            share = self.worked_ms / max(1, self.spec.get("startup_ms", 1))
        return min(FULL_PERCENT, int(share * FULL_PERCENT))


class Worker:
    """The state of one life of a worker."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self.arguments = arguments
        self.id = arguments.id
        self.born = time.time_ns() // 1_000_000
        self.first_ms = now_ms()
        self.lock = threading.Condition()
        self.token = 0
        self.deadline = 0
        self.runs: dict[tuple[str, int], Run] = {}
        self.finished: list[list[Any]] = []
        self.end_count = 0
        self.state = "ready"
        self.leaving = threading.Event()
        self.highest: dict[str, int] = {}
        self.record_file = Path(arguments.record).open(  # noqa: SIM115
            "a", buffering=1
        )

    def clock(self) -> int:
        """Return the worker's own steady clock."""
        return now_ms() - self.first_ms + 1_000

    def record(self, event: str, **fields: Any) -> None:
        """Write one event."""
        row = {"at": now_ms(), "worker": self.id, "event": event, **fields}
        self.record_file.write(json.dumps(row) + "\n")

    def advance(self) -> None:
        """Let all runs work, and end those that are over."""
        at_ms = now_ms()
        if self.runs and self.clock() >= self.deadline:
            for run in list(self.runs.values()):
                self.end(run, "lapsed")
        for run in list(self.runs.values()):
            run.advance(at_ms)
            if "crash_ms" in run.spec and run.worked_ms >= run.spec["crash_ms"]:
                self.crash(run)
            how = run.end()
            if how:
                self.end(run, how)
            elif run.stops_ms is not None and at_ms >= run.stops_ms:
                self.end(run, "stopped")

    def crash(self, run: Run) -> None:
        """End this process at once, with all that it runs."""
        worked_ms = int(run.worked_ms)
        self.record("crash", task=run.task, run=run.number, worked=worked_ms)
        os._exit(CRASHED)

    def end(self, run: Run, how: str) -> None:
        """List the end of a run."""
        del self.runs[run.task, run.number]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.end_count += 1
        self.finished.append([self.end_count, run.task, run.number, how, ""])
        worked_ms = int(run.worked_ms)
        self.record("end", task=run.task, run=run.number, how=how, worked=worked_ms)
        self.lock.notify_all()

    def measurement(self, run: Run) -> int:
        """Return the tail of a task that serves, or the processor use of another."""
        if "serves" not in run.spec:
            return int(run.spec.get("cpu", 0) * run.pace / FULL_PERCENT)
        surges = now_ms() - run.started_ms < run.spec.get("surge_ms", 0)
        load = run.spec["surge"] if surges else run.spec["serves"]
        for other in self.runs.values():
            load += other.spec.get("presses", 0) * other.pace / FULL_PERCENT
        return int(TAIL_MS / (1 - min(load, MAX_LOAD)))

    def is_fenced(self, body: dict[str, Any]) -> bool:
        """Return whether an order has a lower token than one seen before."""
        token = body.get("fencingToken", 0)
        if token < self.token:
            return True
        self.token = token
        return False

    def take_deadline(self, body: dict[str, Any]) -> None:
        """Extend the lease; it never shortens."""
        longest = self.clock() + HOLD_MAX_MS
        self.deadline = max(self.deadline, min(body.get("deadlineMs", 0), longest))

    def answer(self, path: str, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Carry out a call; return the status and the fields of the answer."""
        with self.lock:
            self.advance()
            if self.is_fenced(body):
                return 409, {"reason": "fence"}
            if path == "/api/hold":
                return self.hold(body)
            if path == "/api/run-start":
                return self.start(body)
            run = self.runs.get((body["task"], body["runId"]))
            if path == "/api/run-stop":
                return self.stop(run, body)
            if path == "/api/pace":
                if run is not None:
                    run.next_pace = (now_ms() + PACE_DELAY_MS, body["percentage"])
                    share = body["percentage"]
                    self.record("pace", task=run.task, run=run.number, share=share)
                return 200, {}
            return 404, {}

    def start(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Start a run."""
        task, number = body["task"], body["runId"]
        if (task, number) in self.runs:
            self.take_deadline(body)
            return 200, {}
        if number <= self.highest.get(task, 0):
            self.take_deadline(body)
            return 409, {"reason": "old"}
        if body["deadlineMs"] <= self.clock():
            return 409, {"reason": "late"}
        self.take_deadline(body)
        self.runs[task, number] = Run(task, number, json.loads(body["spec"]), now_ms())
        self.record("start", task=task, run=number)
        return 200, {}

    def stop(self, run: Run | None, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Stop a run, or see to it that it never starts."""
        if run is None:
            known = self.highest.get(body["task"], 0)
            self.highest[body["task"]] = max(known, body["runId"])
        elif run.stops_ms is None:
            run.stops_ms = now_ms() + STOP_MS
            self.record("stop", task=run.task, run=run.number, percent=run.percent())
        return 200, {}

    def hold(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Renew the lease, forget ends, and wait for a new one."""
        self.take_deadline(body)
        cursor = body.get("ackCursor", 0)
        self.finished = [row for row in self.finished if row[0] > cursor]
        until_ms = now_ms() + body.get("waitMs", 0)
        while not self.finished and now_ms() < until_ms:
            self.lock.wait((until_ms - now_ms()) / 1_000)
        self.advance()
        running = [
            [run.task, run.number, "", run.percent(), self.measurement(run)]
            for run in self.runs.values()
        ]
        return 200, {"running": running, "finished": self.finished[:MAX_LISTED_ENDS]}

    def work(self) -> None:
        """Advance for ever."""
        while True:
            time.sleep(TICK_S)
            with self.lock:
                self.advance()

    def beat(self) -> None:
        """Send heartbeats for ever."""
        sequence = 0
        controls = self.arguments.controls.split(",")
        address = controls[0]
        while True:
            sequence += 1
            for attempt in range(len(controls)):
                hint = self.send_heartbeat(address, sequence)
                if hint is not None:
                    address = hint or address
                    break
                address = controls[(sequence + attempt) % len(controls)]
            if self.leaving.wait(self.arguments.beat_ms / 1_000):
                self.leaving.clear()
                self.state = "draining"

    def send_heartbeat(self, address: str, sequence: int) -> str | None:
        """Send a heartbeat; return the next address, or None without a 2xx."""
        body = {
            "service": self.arguments.service,
            "address": self.arguments.address,
            "zone": self.arguments.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldRemainingMs": 0,
            "capacity": {
                "cpu": self.arguments.cpu,
                "memMb": self.arguments.memory,
                "gpu": 0,
            },
            "labels": [self.arguments.kind, self.arguments.rack],
            "clockMs": self.clock(),
            "sequence": sequence,
            "born": self.born,
        }
        connection = http.client.HTTPConnection(address, timeout=HEARTBEAT_TIMEOUT_S)
        try:
            path = f"/api/Instances.Heartbeat/{self.id}"
            headers = {"Content-Type": "application/json"}
            connection.request("POST", path, json.dumps(body), headers)
            response = connection.getresponse()
            data = response.read()
            if response.status // 100 != 2:
                return None
            if body["state"] == "draining":
                self.record("drain_acknowledged")
            return str(json.loads(data or b"{}").get("heartbeatAddress", ""))
        except (OSError, http.client.HTTPException, ValueError):
            return None
        finally:
            connection.close()


def make_handler(worker: Worker) -> type[BaseHTTPRequestHandler]:
    """Return the handler of the calls to a worker."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def do_POST(self) -> None:  # noqa: N802
            length = int(self.headers.get("Content-Length", 0))
            body = json.loads(self.rfile.read(length) or b"{}")
            expected = self.headers.get("Expected-Instance", worker.id)
            if expected != worker.id:
                status, fields = 421, {}
            else:
                status, fields = worker.answer(self.path, body)
            fields = {"clockMs": worker.clock(), "born": worker.born, **fields}
            data = json.dumps(fields).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        def do_GET(self) -> None:  # noqa: N802
            self.send_response(200)
            self.send_header("Content-Length", "0")
            self.end_headers()

        def log_message(self, *_: object) -> None:
            """Log nothing."""

    return Handler


def main() -> None:
    """Run a worker until it is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--address", required=True)
    parser.add_argument("--controls", required=True)
    parser.add_argument("--record", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--kind", default="a")
    parser.add_argument("--rack", default="r1-1")
    parser.add_argument("--cpu", type=int, default=4_000)
    parser.add_argument("--memory", type=int, default=16_000)
    parser.add_argument("--beat-ms", type=int, default=1_100)
    arguments = parser.parse_args()
    worker = Worker(arguments)
    host, _, port = arguments.address.rpartition(":")
    ThreadingHTTPServer.request_queue_size = 64
    server = ThreadingHTTPServer((host, int(port)), make_handler(worker))
    server.daemon_threads = True
    # The platform empties the worker.
    signal.signal(signal.SIGUSR1, lambda _number, _frame: worker.leaving.set())
    threading.Thread(target=worker.work, daemon=True).start()
    threading.Thread(target=worker.beat, daemon=True).start()
    server.serve_forever()


if __name__ == "__main__":
    main()
