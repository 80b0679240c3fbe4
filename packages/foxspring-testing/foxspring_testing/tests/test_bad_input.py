"""Invalid input to a running site is rejected with a reason and changes nothing."""

import socket
import tempfile
import unittest
from pathlib import Path
from typing import ClassVar

import msgspec
from foxspring_model import JobSpec, Resources

from foxspring_testing._site import Site
from foxspring_testing._site_settings import CALLER_TOKEN, SiteSize
from foxspring_testing._wait import wait_until

_SIZE = SiteSize(controls=1, entries=1, targets=1)
_CONFIGURATION = """
[team workshops]
max_tasks = 4
[service register]
team = workshops
"""
_CHANGE = {"Foxspring-Change-Id": "c-1", "Foxspring-Base-Revision": "1"}
_READ_BYTES = 65_536


class BadInputTest(unittest.TestCase):
    site: ClassVar[Site]
    _folder: ClassVar[tempfile.TemporaryDirectory[str]]

    @classmethod
    def setUpClass(cls) -> None:
        cls._folder = tempfile.TemporaryDirectory(prefix="foxspring-test-")
        cls.addClassCleanup(cls._folder.cleanup)
        cls.site = Site(Path(cls._folder.name), _SIZE)
        cls.enterClassContext(cls.site)
        answer = cls.site.operator().apply(_CONFIGURATION, base=0)
        assert answer.status == 200, answer
        wait_until(cls._register_runs, "a replica of register")

    @classmethod
    def _register_runs(cls) -> bool:
        services = cls.site.operator().get("/v1/services")["services"]
        return bool(services[0]["running"])

    def test_invalid_operator_requests(self) -> None:
        cases: list[tuple[str, str, bytes, dict[str, str], int, str]] = [
            ("POST", "/v1/configuration", b"[quota a]", _CHANGE, 400, "[quota a]"),
            ("POST", "/v1/configuration", b"[team a]\nx = 1", _CHANGE, 400, "x"),
            ("POST", "/v1/configuration", b"[team a]\n[team a]", _CHANGE, 400, "team"),
            (
                "POST",
                "/v1/configuration",
                b"[team a]\nmax_tasks = -1",
                _CHANGE,
                400,
                "0 to 1000000",
            ),
            ("POST", "/v1/configuration", b"\xff\xfe", _CHANGE, 400, "UTF-8"),
            ("POST", "/v1/configuration", b"[team a]", {}, 400, "Change-Id"),
            ("POST", "/v1/jobs", b"{", _CHANGE, 400, "job"),
            ("POST", "/v1/jobs", b'{"name": "a"}', _CHANGE, 400, "team"),
            (
                "POST",
                "/v1/jobs",
                b'{"name": "a", "team": "workshops", "memory_mb": 1e18}',
                _CHANGE,
                400,
                "memory_mb",
            ),
            (
                "POST",
                "/v1/jobs",
                b'{"name": "a", "team": "nobody"}',
                _CHANGE | {"Foxspring-Change-Id": "c-nobody"},
                422,
                "nobody",
            ),
            ("POST", "/v1/jobs/cancel", b'{"job_ids": []}', _CHANGE, 400, "job_ids"),
            ("GET", "/v1/jobs/job-999", b"", {}, 404, "job-999"),
            ("GET", "/v1/in-force?revision=many", b"", {}, 400, "revision"),
            ("PUT", "/v1/jobs", b"", {}, 405, "PUT"),
            ("GET", "/nowhere", b"", {}, 404, "nowhere"),
        ]
        operator = self.site.operator()
        before = operator.get("/v1/status")
        jobs = operator.get("/v1/jobs")["jobs"]
        for method, path, body, headers, status, reason in cases:
            with self.subTest(method=method, path=path, body=body):
                answer = operator.send(method, path, body, headers)
                self.assertEqual(answer.status, status, answer)
                self.assertIn(reason, str(answer.body))
        after = operator.get("/v1/status")
        self.assertEqual(before["revision"], after["revision"])
        self.assertEqual(operator.get("/v1/jobs")["jobs"], jobs)

    def test_wrong_tokens(self) -> None:
        for token in ("", "wrong", CALLER_TOKEN, "é"):
            with self.subTest(token):
                operator = self.site.operator(token)
                self.assertEqual(operator.send("GET", "/v1/status").status, 401)
        answer = self._raw(b"GET /services/register/x HTTP/1.1\r\nHost: a\r\n\r\n")
        self.assertTrue(answer.startswith(b"HTTP/1.1 401"), answer[:200])

    def test_invalid_caller_requests(self) -> None:
        start = b"POST /services/register/x HTTP/1.1\r\nHost: a\r\n"
        token = f"Authorization: Bearer {CALLER_TOKEN}\r\n".encode()
        head = start + token
        cases = [
            ("over the limit", b"Content-Length: 99999999999\r\n\r\n", b"413"),
            ("not a length", b"Content-Length: many\r\n\r\n", b"400"),
            ("negative length", b"Content-Length: -5\r\n\r\n", b"400"),
            ("cut short", b"Content-Length: 10\r\n\r\nabc", b"400"),
            ("long header", b"X: " + b"a" * 20_000 + b"\r\n\r\n", b"4"),
            *(
                (
                    f"deadline of {text!r}",
                    b"Content-Length: 0\r\nFoxspring-Deadline-Ms: %s\r\n\r\n" % text,
                    b"400",
                )
                for text in (b"soon", b"\xb2", b"-1", b"1234567890")
            ),
        ]
        events_before = len(self.site.events())
        for name, rest, status in cases:
            with self.subTest(name):
                answer = self._raw(head + rest)
                self.assertTrue(answer.startswith(b"HTTP/1.1 " + status), answer[:200])
        unknown = b"GET /services/nothing/x HTTP/1.1\r\nHost: a\r\n" + token + b"\r\n"
        answer = self._raw(unknown)
        self.assertTrue(answer.startswith(b"HTTP/1.1 404"), answer)
        requests = [
            e for e in self.site.events()[events_before:] if "request" in e.kind
        ]
        self.assertEqual(requests, [])

    def test_repeated_cancel_of_a_job(self) -> None:
        operator = self.site.operator()
        spec = JobSpec("wait", "workshops", 1, Resources(memory_mb=1))
        job_id = operator.submit(spec).body["job_id"]
        first = operator.cancel([job_id])
        self.assertEqual(first.status, 200)
        wait_until(
            lambda: operator.get(f"/v1/jobs/{job_id}")["state"] == "cancelled",
            f"{job_id} cancelled",
        )
        again = operator.cancel([job_id])
        self.assertEqual((again.status, again.body["status"]), (200, "ok"))
        self.assertEqual(again.body["already_ended"], [job_id])
        unknown = operator.cancel(["job-999"])
        self.assertIn(unknown.status, (404, 422))
        self.assertIn("job-999", msgspec.json.encode(unknown.body).decode())

    def _raw(self, request: bytes) -> bytes:
        host, _, port = self.site.entry_addresses()[0].rpartition(":")
        with socket.create_connection((host, int(port)), timeout=20) as connection:
            connection.sendall(request)
            connection.shutdown(socket.SHUT_WR)
            parts = []
            while part := connection.recv(_READ_BYTES):
                parts.append(part)
        return b"".join(parts)
