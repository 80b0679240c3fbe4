"""HTTP clients that send operators' changes and callers' requests to entries."""

import secrets
from collections.abc import Sequence
from typing import Any, NamedTuple

import msgspec
import urllib3
from foxspring_config import print_job
from foxspring_model import (
    HEADER_DEADLINE_MS,
    HEADER_KEY,
    HEADER_VERDICT,
    JobSpec,
)

from foxspring_testing._requests_run import request_path
from foxspring_testing._site_settings import CALLER_TOKEN, OPERATOR_TOKEN
from foxspring_testing._wait import wait_until

_CONNECT_S = 2.0
_READ_S = 15.0
_MS_PER_S = 1_000
_READ_MARGIN_S = 3.0
_NO_ANSWER = 0
_TEMPORARY = frozenset({429, 500, 502, 503, 504})


class SiteAnswer(NamedTuple):
    """An answer to an operator; status 0 means that no answer arrived."""

    status: int
    body: Any


class OperatorClient:
    """Sends operators' requests to the entries in turn until one answers.

    Every change carries a change id, which stays the same over retries.
    """

    def __init__(self, entries: Sequence[str], token: str = OPERATOR_TOKEN) -> None:
        self.entries = list(entries)
        self.token = token
        self._pool = urllib3.PoolManager(retries=False)

    def get(self, path: str) -> Any:
        """Return the JSON at ``path``.

        Raises:
            NotReachedError: no entry answered with status 200 within 30 seconds.
        """
        found: list[Any] = []

        def answered() -> bool:
            answer = self.send("GET", path)
            if answer.status == 200:
                found.append(answer.body)
            return bool(found)

        wait_until(answered, f"an answer to GET {path}", timeout_s=30)
        return found[0]

    def apply(self, text: str, base: int, change_id: str = "") -> SiteAnswer:
        """Apply a configuration based on revision ``base``."""
        headers = self._change_headers(change_id) | {
            "Foxspring-Base-Revision": str(base)
        }
        return self.send("POST", "/v1/configuration", text.encode(), headers)

    def submit(self, spec: JobSpec, change_id: str = "") -> SiteAnswer:
        """Submit a job."""
        return self.send(
            "POST", "/v1/jobs", print_job(spec), self._change_headers(change_id)
        )

    def cancel(self, job_ids: Sequence[str], change_id: str = "") -> SiteAnswer:
        """Cancel jobs."""
        body = msgspec.json.encode({"job_ids": list(job_ids)})
        return self.send(
            "POST", "/v1/jobs/cancel", body, self._change_headers(change_id)
        )

    def drain(self, target_id: str, draining: bool = True) -> SiteAnswer:
        """Stop placing work on a target, or allow it again."""
        body = msgspec.json.encode({"target_id": target_id, "draining": draining})
        return self.send("POST", "/v1/drain", body, self._change_headers(""))

    def send(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        rounds: int = 3,
    ) -> SiteAnswer:
        """Return the first answer that is not a temporary failure.

        Tries every entry up to ``rounds`` times and returns the last answer if
        none was final.
        """
        last = SiteAnswer(_NO_ANSWER, {})
        for entry in self.entries * rounds:
            last = self._send(entry, method, path, body, headers or {})
            if last.status != _NO_ANSWER and last.status not in _TEMPORARY:
                return last
        return last

    def _send(
        self,
        entry: str,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> SiteAnswer:
        try:
            answer = self._pool.request(
                method,
                f"http://{entry}{path}",
                body=body,
                headers=headers | {"Authorization": f"Bearer {self.token}"},
                timeout=urllib3.Timeout(connect=_CONNECT_S, read=_READ_S),
            )
            return SiteAnswer(answer.status, _json_or_text(answer.data))
        except urllib3.exceptions.HTTPError as error:
            return SiteAnswer(_NO_ANSWER, str(error))

    def _change_headers(self, change_id: str) -> dict[str, str]:
        return {"Foxspring-Change-Id": change_id or f"c-{secrets.token_hex(8)}"}


class CallerRecord(NamedTuple):
    """One request of a caller and its answer.

    ``verdict`` is the one in the entry's answer, or ``lost`` when no complete
    answer arrived. ``answer_nonce`` and ``answer_bytes`` come from the body;
    ``target_id`` and ``run`` identify the run that answered. Times are
    milliseconds of the monotonic clock.
    """

    nonce: str
    method: str
    key: str
    idempotent: bool
    entry: str
    sent_ms: int
    completed_ms: int
    verdict: str
    status: int
    answer_nonce: str = ""
    answer_bytes: int = 0
    requested_bytes: int = 0
    target_id: str = ""
    run: int = 0
    detail: str = ""


class CallerRequest(NamedTuple):
    """One request of a caller; a POST without a key is not idempotent."""

    service: str
    nonce: str
    method: str = "POST"
    key: str = ""
    work_ms: int = 5
    padding_bytes: int = 0
    deadline_ms: int = 5_000
    body: bytes = b"stock"


class CallerClient:
    """Sends callers' requests; thread-safe."""

    def __init__(self, now_ms: Any, connections: int = 32) -> None:
        self._now_ms = now_ms
        self._pool = urllib3.PoolManager(
            num_pools=16, maxsize=connections, retries=False
        )

    def call(self, entry: str, request: CallerRequest) -> CallerRecord:
        """Send one request to one entry without retries; return the outcome."""
        sent_ms = self._now_ms()
        path = request_path(request.nonce, request.work_ms, request.padding_bytes)
        try:
            answer = self._pool.request(
                request.method,
                f"http://{entry}/services/{request.service}/{path}",
                body=request.body,
                headers=self._headers(request),
                timeout=urllib3.Timeout(
                    connect=_CONNECT_S,
                    read=request.deadline_ms / _MS_PER_S + _READ_MARGIN_S,
                ),
            )
        except urllib3.exceptions.HTTPError as error:
            return self._record(request, entry, sent_ms, "lost")._replace(
                detail=f"{type(error).__name__}: {error}"
            )
        verdict = answer.headers.get(HEADER_VERDICT, "none")
        record = self._record(request, entry, sent_ms, verdict)
        record = record._replace(status=answer.status)
        body = _json_or_text(answer.data)
        if verdict != "ran" or not isinstance(body, dict):
            return record._replace(detail=str(body))
        return record._replace(
            answer_nonce=body.get("nonce", ""),
            answer_bytes=len(body.get("padding", "")),
            target_id=body.get("target_id", ""),
            run=body.get("run", 0),
        )

    def _headers(self, request: CallerRequest) -> dict[str, str]:
        headers = {
            "Authorization": f"Bearer {CALLER_TOKEN}",
            HEADER_DEADLINE_MS: str(request.deadline_ms),
        }
        if request.key:
            headers[HEADER_KEY] = request.key
        return headers

    def _record(
        self, request: CallerRequest, entry: str, sent_ms: int, verdict: str
    ) -> CallerRecord:
        return CallerRecord(
            request.nonce,
            request.method,
            request.key,
            request.method != "POST",
            entry,
            sent_ms,
            self._now_ms(),
            verdict,
            _NO_ANSWER,
            requested_bytes=request.padding_bytes,
        )


def _json_or_text(body: bytes) -> Any:
    try:
        return msgspec.json.decode(body)
    except msgspec.DecodeError:
        return body.decode("utf-8", "replace")
