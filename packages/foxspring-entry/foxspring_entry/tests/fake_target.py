"""Fake target that serves the platform API over HTTP."""

import json
import threading
from collections.abc import Callable
from typing import Any

import urllib3
from foxspring_link import SystemClock
from foxspring_model import (
    HEADER_REQUEST_ID,
    TaskStatusBody,
)

from foxspring_entry import Entry
from foxspring_entry._http import HttpRequest, HttpResponse, Role, Route
from foxspring_entry._http_server import HttpServer
from foxspring_entry.tests.builders import (
    TARGET,
    call,
    report,
    settings,
    target_info,
    task_status,
)


class FakeTarget:
    """Fake target that records its requests, tasks and lease renewals.

    ``work`` is called for each request and returns the response.
    """

    def __init__(self, target_id: str, entries: list[Entry]) -> None:
        self.info = target_info(target_id)
        self.entries = entries
        self.started: list[str] = []
        self.running: list[str] = []
        self.most_running = 0
        self.tasks: dict[tuple[str, int], TaskStatusBody] = {}
        self.renewed: list[Any] = []
        self.leaving = False
        self.echo = True
        self.incarnation = 1
        self.work: Callable[[HttpRequest], HttpResponse] = lambda request: HttpResponse(
            200, b"answer to " + request.headers[HEADER_REQUEST_ID.lower()].encode()
        )
        self._lock = threading.Lock()
        self._sequence = 0
        self._stopping = threading.Event()
        methods = ("GET", "POST")
        routes = [Route(m, "/services/", Role.ANYONE, self._request) for m in methods]
        routes += [Route("POST", "/v1/", Role.ANYONE, self._platform)]
        self.http_server = HttpServer(settings(target_id, "127.0.0.1:1"), routes)
        self.address = self.http_server.bind()
        self.http_server.start()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Stop announcing, reporting and serving."""
        self._stopping.set()
        self._thread.join()
        self.http_server.stop()

    def now_ms(self) -> int:
        """Return the target's time, which is far from the machine's clock."""
        return SystemClock().monotonic_ms() + 7_000_000

    def _run(self) -> None:
        turn = 0
        while not self._stopping.wait(0.1):
            live = [entry for entry in self.entries if entry.is_live()]
            if not live:
                continue
            turn += 1
            entry = live[turn % len(live)]
            try:
                self._announce(entry)
                self._report(entry)
            except urllib3.exceptions.HTTPError:
                continue

    def _announce(self, entry: Entry) -> None:
        info = self.info._replace(
            address=self.address, leaving=self.leaving, incarnation=self.incarnation
        )
        body = {**info._asdict(), "capacity": info.capacity._asdict()}
        call(entry, "POST", "/v1/targets/announce", TARGET, body=json.dumps(body))

    def _report(self, entry: Entry) -> None:
        with self._lock:
            self._sequence += 1
            body = report(
                self.info.target_id,
                self._sequence,
                incarnation=self.incarnation,
                measured_ms=self.now_ms(),
                target_ms=self.now_ms(),
                tasks=list(self.tasks.values()),
                requests=list(self.running),
            )
        path = f"/v1/targets/{self.info.target_id}/report"
        answer = call(entry, "POST", path, TARGET, body=json.dumps(body))
        if answer.status == 200:
            for task_id, epoch in answer.json()["acked"]:
                self.tasks.pop((task_id, epoch), None)

    def _request(self, request: HttpRequest) -> HttpResponse:
        request_id = request.headers[HEADER_REQUEST_ID.lower()]
        with self._lock:
            self.started.append(request_id)
            self.running.append(request_id)
            self.most_running = max(self.most_running, len(self.running))
        try:
            response = self.work(request)
        finally:
            with self._lock:
                self.running.remove(request_id)
        if not self.echo:
            return response
        echo = (HEADER_REQUEST_ID, request_id)
        return response._replace(headers=(*response.headers, echo))

    def _platform(self, request: HttpRequest) -> HttpResponse:
        body = json.loads(request.body)
        if request.path == "/v1/leases":
            self.renewed.append(body)
            running = [
                [task_id, epoch]
                for (task_id, epoch), status in self.tasks.items()
                if status["state"] == "running"
            ]
            unknown = [pair for pair in body["tasks"] if pair not in running]
            answer = {"unknown": unknown, "target_ms": self.now_ms()}
            return HttpResponse(200, json.dumps(answer).encode())
        key = (body["task_id"], body["epoch"])
        if request.path == "/v1/tasks":
            self.tasks.setdefault(key, task_status(*key))
        elif key not in self.tasks:
            return HttpResponse(404, b"{}")
        elif request.path == "/v1/tasks/stop":
            self.tasks[key] = task_status(*key, state="stopped", checkpoint="cp-9")
        return HttpResponse(200, json.dumps(self.tasks[key]).encode())
