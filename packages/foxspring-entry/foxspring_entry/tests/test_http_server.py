"""HTTP server: tokens, limits, malformed requests, routes."""

import json
import socket
import unittest
from typing import ClassVar

from foxspring_entry._http import HttpRequest, HttpResponse, Role, Route
from foxspring_entry._http_server import HttpServer
from foxspring_entry.tests import builders

_AUTH = f"Authorization: Bearer {builders.CALLER}"


class HttpServerTest(unittest.TestCase):
    seen: ClassVar[list[HttpRequest]] = []
    http_server: ClassVar[HttpServer]

    @classmethod
    def setUpClass(cls) -> None:
        settings = builders.settings(
            "e-1",
            "c:1",
            max_body_bytes=1_000,
            max_header_bytes=4_000,
            unauthenticated_head_slots=4,
        )
        routes = [
            Route("GET", "/open", Role.ANYONE, cls.handle),
            Route("POST", "/services/", Role.CALLER, cls.handle),
            Route("GET", "/services/", Role.CALLER, cls.handle),
            Route("POST", "/services/admin", Role.OPERATOR, cls.handle),
        ]
        cls.http_server = HttpServer(settings, routes)
        cls.http_server.bind()
        cls.http_server.start()

    @classmethod
    def tearDownClass(cls) -> None:
        cls.http_server.stop()

    @classmethod
    def handle(cls, request: HttpRequest) -> HttpResponse:
        cls.seen.append(request)
        return HttpResponse(200, b"ok")

    def setUp(self) -> None:
        self.seen.clear()

    def send(self, text: str, end: bool = True) -> tuple[int, bytes]:
        host, _, port = self.http_server.address.rpartition(":")
        with socket.create_connection((host, int(port)), builders.DEADLINE_S) as sock:
            sock.sendall(text.replace("\n", "\r\n").encode("latin-1"))
            if end:
                sock.shutdown(socket.SHUT_WR)
            reply = b""
            while data := sock.recv(65_536):
                reply += data
        head, _, body = reply.partition(b"\r\n\r\n")
        return int(head.split()[1]) if head else 0, body

    def test_requests_that_are_refused_reach_no_handler(self) -> None:
        post = f"POST /services/x HTTP/1.1\nHost: h\n{_AUTH}\n"
        cases = {
            "no token": ("GET /services/x HTTP/1.1\nHost: h\n\n", 401),
            "wrong token": (
                "GET /services/x HTTP/1.1\nHost: h\nAuthorization: Bearer no\n\n",
                401,
            ),
            "token of another role": (
                f"POST /services/admin HTTP/1.1\nHost: h\n{_AUTH}\n\n",
                401,
            ),
            "no such path": (f"GET /none HTTP/1.1\nHost: h\n{_AUTH}\n\n", 404),
            "method": (f"PUT /services/x HTTP/1.1\nHost: h\n{_AUTH}\n\n", 405),
            "body cut short": (f"{post}Content-Length: 50\n\nhalf", 400),
            "chunk cut short": (f"{post}Transfer-Encoding: chunked\n\n9\nhalf", 400),
            "no last chunk": (f"{post}Transfer-Encoding: chunked\n\n4\nhalf\n", 400),
            "body too long": (f"{post}Content-Length: 1001\n\n" + "x" * 1_001, 413),
            "chunks too long": (
                f"{post}Transfer-Encoding: chunked\n\n7d0\n{'x' * 2_000}\n0\n\n",
                413,
            ),
            "length of letters": (f"{post}Content-Length: ten\n\n", 400),
            "negative length": (f"{post}Content-Length: -5\n\n", 400),
            "length of other digits": (f"{post}Content-Length: \xb2\n\n", 400),
            "length with a separator": (f"{post}Content-Length: 1_0\n\n", 400),
            "two lengths": (
                f"{post}Content-Length: 2\nContent-Length: 4\n\nhalf",
                400,
            ),
            "length and chunks": (
                f"{post}Content-Length: 2\nTransfer-Encoding: chunked\n\n2\nhi\n0\n\n",
                400,
            ),
            "headers too long": (f"{post}X-Long: {'x' * 5_000}\n\n", 413),
            "path not ASCII": (
                f"GET /services/\xe4 HTTP/1.1\nHost: h\n{_AUTH}\n\n",
                400,
            ),
            "not HTTP": ("what\n\n", 400),
        }
        for name, (text, status) in cases.items():
            with self.subTest(name):
                self.seen.clear()
                found, body = self.send(text)
                self.assertEqual((found, self.seen), (status, []))
                if status in (401, 404, 405) or name.startswith("body"):
                    self.assertEqual(json.loads(body)["verdict"], "not_run")

    def test_complete_requests_reach_their_handler(self) -> None:
        cases = {
            "open": ("GET /open HTTP/1.1\nHost: h\n", b"", ""),
            "length": (
                f"POST /services/x?a=1&b=%20 HTTP/1.1\nHost: h\n{_AUTH}\n"
                "Content-Length: 4\n",
                b"body",
                "alice",
            ),
            "chunks": (
                f"POST /services/x HTTP/1.1\nHost: h\n{_AUTH}\n"
                "Transfer-Encoding: chunked\n",
                b"body",
                "alice",
            ),
        }
        for name, (head, body, principal) in cases.items():
            with self.subTest(name):
                self.seen.clear()
                sent = body.decode()
                if "chunked" in head:
                    sent = f"2\n{sent[:2]}\n2\n{sent[2:]}\n0\n\n"
                self.assertEqual(
                    self.send(f"{head}Connection: close\n\n{sent}")[0], 200
                )
                (request,) = self.seen
                self.assertEqual((request.body, request.principal), (body, principal))

    def test_slow_request_heads_do_not_block_all_threads(self) -> None:
        host, _, port = self.http_server.address.rpartition(":")
        slow = [
            socket.create_connection((host, int(port)), builders.DEADLINE_S)
            for _ in range(4)
        ]
        for sock in slow:
            self.addCleanup(sock.close)
            sock.sendall(b"GET /open HTTP/1.1\r\nHost: h\r\n")
        request_text = "GET /open HTTP/1.1\nHost: h\nConnection: close\n\n"
        builders.wait_until(
            lambda: self.send(request_text)[0] == 503, "all head slots are in use"
        )
        self.assertEqual(self.seen, [])
        for sock in slow:
            sock.sendall(b"\r\n")
            self.assertTrue(sock.recv(1_024).startswith(b"HTTP/1.1"))
        builders.wait_until(
            lambda: self.send(request_text)[0] == 200, "a head slot is free"
        )

    def test_new_tokens_replace_the_old_ones(self) -> None:
        request_text = (
            "GET /services/x HTTP/1.1\nHost: h\nConnection: close\nAuthorization: "
        )
        fresh = builders.settings("e-1", "c:1", caller_tokens=(("bob", "b-secret"),))
        self.http_server.set_tokens(fresh)
        self.addCleanup(self.http_server.set_tokens, builders.settings("e-1", "c:1"))
        self.assertEqual(
            self.send(f"{request_text}Bearer {builders.CALLER}\n\n")[0], 401
        )
        self.assertEqual(self.send(f"{request_text}Bearer b-secret\n\n")[0], 200)
        self.assertEqual(self.seen[0].principal, "bob")


if __name__ == "__main__":
    unittest.main()
