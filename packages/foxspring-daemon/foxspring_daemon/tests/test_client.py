"""What the command line's client says on requests that several entries get."""

import socket
import threading
import unittest
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, NamedTuple

import click
from click.testing import CliRunner

from foxspring_daemon._cli import _exit_codes as exit_codes
from foxspring_daemon._cli._client import Client, Reply, RequestFailure
from foxspring_daemon._cli._output import fail

CUT_OFF = 0
TOKEN = "token-of-an-operator"


class Response(NamedTuple):
    """What a stand-in entry answers; ``CUT_OFF`` closes without a response."""

    status: int
    verdict: str = ""
    body: bytes = b"{}"


def listen(response: Response) -> ThreadingHTTPServer:
    """Return a stand-in entry that answers every request with one response."""

    class Handler(BaseHTTPRequestHandler):
        def do_POST(self) -> None:
            self.rfile.read(int(self.headers["Content-Length"]))
            if response.status == CUT_OFF:
                return
            self.send_response(response.status)
            if response.verdict:
                self.send_header("Foxspring-Verdict", response.verdict)
            self.send_header("Content-Length", str(len(response.body)))
            self.end_headers()
            self.wfile.write(response.body)

        def log_message(self, format: str, *args: Any) -> None:  # noqa: A002
            """Log nothing."""

    return ThreadingHTTPServer(("127.0.0.1", 0), Handler)


class ClientCase(unittest.TestCase):
    def entry(self, response: Response) -> str:
        server = listen(response)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        return f"127.0.0.1:{server.server_address[1]}"

    def nobody(self) -> str:
        with socket.create_server(("127.0.0.1", 0)) as free:
            return f"127.0.0.1:{free.getsockname()[1]}"

    def post(
        self, *responses: Response | None, idempotent: bool = True
    ) -> Reply | RequestFailure:
        """Send a request to entries in turn; None stands for one that is down."""
        addresses = [
            self.nobody() if response is None else self.entry(response)
            for response in responses
        ]
        client = Client(addresses, TOKEN, rounds=1)
        return client.request("POST", "/v1/jobs", b"{}", idempotent=idempotent)


NOT_RUN = Response(503, "not_run")
MAY_HAVE_RUN = Response(503, "may_have_run")
NO_VERDICT = Response(503)
NO_ANSWER = Response(CUT_OFF)
UNKNOWN_JOB = Response(404, "not_run", b'{"detail": "unknown"}')


class VerdictTest(ClientCase):
    def test_failure_has_the_worst_verdict_of_all_attempts(self) -> None:
        cases: tuple[tuple[tuple[Response | None, ...], str], ...] = (
            ((None,), "not_run"),
            ((None, NOT_RUN), "not_run"),
            ((NOT_RUN, None), "not_run"),
            ((MAY_HAVE_RUN, None), "may_have_run"),
            ((NO_VERDICT, None), "may_have_run"),
            ((NO_ANSWER, None), "may_have_run"),
            ((MAY_HAVE_RUN, NOT_RUN), "may_have_run"),
            ((NO_ANSWER, NOT_RUN), "may_have_run"),
            ((NOT_RUN, MAY_HAVE_RUN), "may_have_run"),
        )
        for responses, verdict in cases:
            with self.subTest(responses=responses):
                outcome = self.post(*responses)
                assert isinstance(outcome, RequestFailure)
                self.assertEqual(outcome.verdict, verdict)

    def test_rejection_after_an_attempt_that_may_have_run(self) -> None:
        for earlier in (MAY_HAVE_RUN, NO_VERDICT, NO_ANSWER):
            with self.subTest(earlier=earlier):
                outcome = self.post(earlier, UNKNOWN_JOB)
                assert isinstance(outcome, Reply)
                self.assertEqual(
                    (outcome.status, outcome.verdict), (404, "may_have_run")
                )

    def test_whole_answer_keeps_its_verdict(self) -> None:
        cases = (
            ((NOT_RUN, UNKNOWN_JOB), 404, "not_run"),
            ((None, UNKNOWN_JOB), 404, "not_run"),
            ((MAY_HAVE_RUN, Response(200, "ran")), 200, "ran"),
            ((NO_ANSWER, Response(200)), 200, ""),
        )
        for responses, status, verdict in cases:
            with self.subTest(responses=responses):
                outcome = self.post(*responses)
                assert isinstance(outcome, Reply)
                self.assertEqual((outcome.status, outcome.verdict), (status, verdict))

    def test_request_that_is_not_idempotent_is_sent_again_only_if_not_run(self) -> None:
        cases: tuple[tuple[Response, str], ...] = (
            (NO_ANSWER, "may_have_run"),
            (MAY_HAVE_RUN, "may_have_run"),
            (NO_VERDICT, ""),
            (NOT_RUN, "ran"),
        )
        for first, verdict in cases:
            with self.subTest(first=first):
                outcome = self.post(first, Response(200, "ran"), idempotent=False)
                self.assertEqual(outcome.verdict, verdict)


class ExitCodeTest(unittest.TestCase):
    def exit_code(self, outcome: Reply | RequestFailure) -> int:
        command = click.Command("show", callback=lambda: fail(outcome))
        return CliRunner().invoke(command).exit_code

    def test_code_tells_whether_the_request_may_have_run(self) -> None:
        cases = (
            (RequestFailure("not_run", ""), exit_codes.NOT_RUN),
            (RequestFailure("may_have_run", ""), exit_codes.MAY_HAVE_RUN),
            (Reply(504, "may_have_run", b""), exit_codes.MAY_HAVE_RUN),
            (Reply(503, "not_run", b""), exit_codes.NOT_RUN),
            (Reply(404, "not_run", b""), exit_codes.REJECTED),
            (Reply(404, "may_have_run", b""), exit_codes.MAY_HAVE_RUN),
            (Reply(401, "not_run", b""), exit_codes.UNAUTHORIZED),
            (Reply(409, "", b'{"status": "conflict"}'), exit_codes.CONFLICT),
        )
        for outcome, code in cases:
            with self.subTest(outcome=outcome):
                self.assertEqual(self.exit_code(outcome), code)


if __name__ == "__main__":
    unittest.main()
