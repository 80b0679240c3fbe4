import socket
import tempfile
import unittest
from pathlib import Path
from typing import Any

import msgspec
import urllib3
from foxspring_model import HEADER_REQUEST_ID

from foxspring_testing import (
    Behaviour,
    HttpReply,
    HttpRequest,
    HttpServer,
    StandIn,
    read_events,
    request_path,
)
from foxspring_testing._wait import wait_until
from foxspring_testing.tests.builders import standin_settings, start_body


class FakeEntry:
    """Accepts announcements and reports, and acknowledges the tasks in ``acked``."""

    def __init__(self) -> None:
        self.received: list[HttpRequest] = []
        self.acked: list[list[str | int]] = []
        self.server = HttpServer("127.0.0.1:0", self.serve)
        self.server.start()

    def serve(self, received: HttpRequest) -> HttpReply:
        self.received.append(received)
        return HttpReply(200, msgspec.json.encode({"acked": self.acked}))

    def last(self, ending: str) -> dict[str, Any]:
        bodies = [r.body for r in self.received if r.path.endswith(ending)]
        return msgspec.json.decode(bodies[-1]) if bodies else {}


class StandInTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.entry = FakeEntry()
        self.addCleanup(self.entry.server.stop)
        settings = standin_settings(Path(folder.name), self.entry.server.address)
        self.events = Path(settings.events)
        self.standin = StandIn(settings)
        self.standin.start()
        self.addCleanup(self.standin.stop)
        self.pool = urllib3.PoolManager(retries=False, timeout=5)
        self.addCleanup(self.pool.clear)

    def post(self, path: str, body: object) -> urllib3.BaseHTTPResponse:
        url = f"http://{self.standin.platform.address}{path}"
        return self.pool.request("POST", url, body=msgspec.json.encode(body))

    def call(self, nonce: str, padding: int = 0) -> urllib3.BaseHTTPResponse:
        address = self.standin.platform.address
        url = f"http://{address}/services/s/{request_path(nonce, 1, padding)}"
        headers = {HEADER_REQUEST_ID: f"id-{nonce}"}
        return self.pool.request("POST", url, body=b"stock", headers=headers)

    def test_request_is_answered_completely_and_recorded(self) -> None:
        answer = msgspec.json.decode(self.call("n1", padding=5_000).data)
        self.assertEqual(("n1", "id-n1"), (answer["nonce"], answer["request_id"]))
        self.assertEqual(("stock", 5_000), (answer["received"], len(answer["padding"])))
        kinds = [e.kind for e in read_events(self.events) if e.detail == "n1"]
        self.assertEqual(["request_started", "request_ended"], kinds)

    def test_cut_answer_fails_in_the_client(self) -> None:
        self.standin.set_behaviour(Behaviour(cut_answer_after=10))
        with self.assertRaises(urllib3.exceptions.HTTPError):
            self.call("n2")

    def test_second_answer_follows_the_first_on_the_connection(self) -> None:
        self.standin.set_behaviour(Behaviour(answer_twice=True))
        host, _, port = self.standin.platform.address.partition(":")
        with socket.create_connection((host, int(port)), timeout=5) as connection:
            path = f"/services/s/{request_path('n3')}"
            connection.sendall(f"GET {path} HTTP/1.1\r\nHost: t\r\n\r\n".encode())
            answers = b""
            while answers.count(b"HTTP/1.1 200") < 2:
                answers += connection.recv(65_536)
        self.assertEqual(2, answers.count(b'"nonce":"n3"'))

    def test_ended_task_is_reported_until_acked(self) -> None:
        self.post("/v1/tasks", start_body(payload='{"work_ms": 1, "result": "r"}'))
        wait_until(
            lambda: (
                [
                    (t["task_id"], t["state"], t["result"])
                    for t in self.entry.last("/report").get("tasks", [])
                ]
                == [("job/0", "finished", "r")]
            ),
            "the report of the finished task",
        )
        self.entry.acked = [["job/0", 1]]
        wait_until(
            lambda: self.entry.last("/report")["tasks"] == [],
            "a report without the acked task",
        )

    def test_start_after_the_end_of_its_lease_is_rejected(self) -> None:
        self.assertEqual(
            409, self.post("/v1/tasks", start_body(lease_until_ms=1)).status
        )
        kinds = {event.kind for event in read_events(self.events)}
        self.assertNotIn("task_started", kinds)

    def test_behaviours_show_in_announcements_and_reports(self) -> None:
        self.standin.set_behaviour(Behaviour(leaving=True, lie_memory=3.0))
        self.post("/v1/tasks", start_body(memory_mb=100, payload='{"work_ms": 60000}'))
        wait_until(
            lambda: self.entry.last("/announce").get("leaving") is True,
            "the announcement that the target is leaving",
        )
        wait_until(
            lambda: self.entry.last("/report").get("memory_mb") == 300,
            "the report of the memory in use",
        )

    def test_malformed_and_unknown_requests_are_rejected(self) -> None:
        cases = [
            ("/v1/tasks", {"task_id": "x"}, 400),
            ("/v1/tasks/stop", {"task_id": "x", "epoch": 1, "checkpoint": True}, 404),
            ("/v1/nowhere", {}, 404),
        ]
        for path, body, status in cases:
            with self.subTest(path):
                self.assertEqual(status, self.post(path, body).status)
