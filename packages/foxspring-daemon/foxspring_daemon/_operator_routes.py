"""Operators' HTTP surface: each route is one command or query to control."""

from collections.abc import Callable
from typing import Any, Protocol, TypedDict

import msgspec
from foxspring_config import ConfigurationError, parse_configuration, parse_job
from foxspring_entry import (
    Applied,
    HttpRequest,
    HttpResponse,
    MayBeApplied,
    ProposalOutcome,
    QueryAnswered,
    QueryOutcome,
    Role,
    Route,
)
from foxspring_model import (
    ApplyConfiguration,
    CancelJobs,
    DrainTarget,
    ErrorBody,
    SubmitJob,
    Verdict,
)

TIMEOUT_MS = 10_000
MAX_IDS = 20_000
MAX_ID_CHARACTERS = 128
JSON_HEADERS = (("Content-Type", "application/json"),)
_STATUS_CODES = {"ok": 200, "conflict": 409, "rejected": 422, "unknown": 404}
RETRY_AFTER_S = 1


class ControlPort(Protocol):
    """What the routes need of the control group."""

    def propose(
        self, command: Any, timeout_ms: int, proposal_id: str = ""
    ) -> ProposalOutcome:
        """Have ``command`` applied, once however often it is sent."""

    def query(
        self, kind: str, arguments: dict[str, Any], timeout_ms: int
    ) -> QueryOutcome:
        """Read the replicated state."""


class _CancelBody(TypedDict):
    job_ids: list[str]


class _DrainBody(TypedDict):
    target_id: str
    draining: bool


class BadRequestError(ValueError):
    """A request that is refused with its reason and changes nothing."""


def operator_routes(control: ControlPort) -> tuple[Route, ...]:
    """Return the operators' routes, carried out through ``control``."""

    def guarded(
        handle: Callable[[ControlPort, HttpRequest], HttpResponse],
    ) -> Callable[[HttpRequest], HttpResponse]:
        def answer(request: HttpRequest) -> HttpResponse:
            try:
                return handle(control, request)
            except (BadRequestError, ConfigurationError) as error:
                return error_response(400, Verdict.NOT_RUN, "malformed", str(error))
            except msgspec.DecodeError as error:
                detail = f"body: {error}; correct the JSON"
                return error_response(400, Verdict.NOT_RUN, "malformed", detail)

        return answer

    posts = {
        "/v1/configuration": _apply,
        "/v1/jobs": _submit,
        "/v1/jobs/cancel": _cancel,
        "/v1/drain": _drain,
        "/v1/members": _change_members,
    }
    gets = {
        "/v1/configuration": _query("configuration"),
        "/v1/jobs": _jobs,
        "/v1/services": _query("services"),
        "/v1/teams": _query("teams"),
        "/v1/targets": _query("targets"),
        "/v1/entries": _query("entries"),
        "/v1/members": _query("members"),
        "/v1/status": _query("status"),
        "/v1/audit": _audit,
        "/v1/in-force": _in_force,
    }
    routes = [Route("POST", p, Role.OPERATOR, guarded(h)) for p, h in posts.items()]
    routes += [Route("GET", p, Role.OPERATOR, guarded(h)) for p, h in gets.items()]
    return tuple(routes)


def error_response(
    status: int, verdict: Verdict, reason: str, detail: str
) -> HttpResponse:
    """Return a refusal as every route of an entry words it."""
    body: ErrorBody = {"verdict": verdict.value, "reason": reason, "detail": detail}
    headers: tuple[tuple[str, str], ...] = (
        *JSON_HEADERS,
        ("Foxspring-Verdict", verdict.value),
    )
    if status == 503:
        headers = (*headers, ("Retry-After", str(RETRY_AFTER_S)))
    return HttpResponse(status, msgspec.json.encode(body), headers)


def _respond(outcome: ProposalOutcome | QueryOutcome) -> HttpResponse:
    if isinstance(outcome, Applied | QueryAnswered):
        status = str(outcome.result.get("status", "ok"))
        code = _STATUS_CODES.get(status, 200)
        verdict = Verdict.RAN if code == 200 else Verdict.NOT_RUN
        headers = (*JSON_HEADERS, ("Foxspring-Verdict", verdict.value))
        return HttpResponse(code, msgspec.json.encode(outcome.result), headers)
    if isinstance(outcome, MayBeApplied):
        return error_response(504, outcome.verdict, "no_answer", outcome.detail)
    return error_response(503, outcome.verdict, "no_control", outcome.detail)


def _apply(control: ControlPort, request: HttpRequest) -> HttpResponse:
    text = _text(request.body)
    parse_configuration(text)
    command = ApplyConfiguration(
        _change_id(request),
        request.principal,
        _whole_number(request.headers.get("foxspring-base-revision", ""), "base"),
        text,
    )
    return _propose(control, command)


def _submit(control: ControlPort, request: HttpRequest) -> HttpResponse:
    spec = parse_job(request.body)
    return _propose(control, SubmitJob(_change_id(request), request.principal, spec))


def _cancel(control: ControlPort, request: HttpRequest) -> HttpResponse:
    body = msgspec.json.decode(request.body, type=_CancelBody)
    job_ids = tuple(dict.fromkeys(body["job_ids"]))
    if not 1 <= len(job_ids) <= MAX_IDS:
        raise BadRequestError(f"job_ids: give 1 to {MAX_IDS} ids")
    for job_id in job_ids:
        _check_id(job_id, "job id")
    return _propose(
        control, CancelJobs(_change_id(request), request.principal, job_ids)
    )


def _drain(control: ControlPort, request: HttpRequest) -> HttpResponse:
    body = msgspec.json.decode(request.body, type=_DrainBody)
    _check_id(body["target_id"], "target id")
    command = DrainTarget(
        _change_id(request), request.principal, body["target_id"], body["draining"]
    )
    return _propose(control, command)


class _MemberBody(TypedDict, total=False):
    action: str
    member_id: str
    link_address: str
    failure_domain: str


def _change_members(control: ControlPort, request: HttpRequest) -> HttpResponse:
    body = msgspec.json.decode(request.body, type=_MemberBody)
    if body.get("action") not in ("add", "remove"):
        raise BadRequestError("action: give add or remove")
    _check_id(body.get("member_id", ""), "member id")
    arguments: dict[str, Any] = {"who": request.principal, **body}
    return _respond(control.query("change_members", arguments, TIMEOUT_MS))


def _jobs(control: ControlPort, request: HttpRequest) -> HttpResponse:
    job_id = request.path.removeprefix("/v1/jobs").strip("/")
    if not job_id:
        return _respond(control.query("jobs", _page(request), TIMEOUT_MS))
    _check_id(job_id, "job id")
    return _respond(control.query("job", {"job_id": job_id}, TIMEOUT_MS))


def _audit(control: ControlPort, request: HttpRequest) -> HttpResponse:
    arguments: dict[str, Any] = _page(request)
    for name in ("who", "change_id", "action"):
        if request.query.get(name):
            arguments[name] = _check_id(request.query[name], name)
    if request.query.get("since_ms"):
        arguments["since_ms"] = _whole_number(request.query["since_ms"], "since_ms")
    return _respond(control.query("audit", arguments, TIMEOUT_MS))


def _in_force(control: ControlPort, request: HttpRequest) -> HttpResponse:
    revision = _whole_number(request.query.get("revision", ""), "revision")
    return _respond(control.query("in_force", {"revision": revision}, TIMEOUT_MS))


def _query(kind: str) -> Callable[[ControlPort, HttpRequest], HttpResponse]:
    def handle(control: ControlPort, request: HttpRequest) -> HttpResponse:
        if request.path.rstrip("/").count("/") > 2:
            return error_response(404, Verdict.NOT_RUN, "unknown", "no such path")
        return _respond(control.query(kind, {}, TIMEOUT_MS))

    return handle


def _propose(control: ControlPort, command: Any) -> HttpResponse:
    return _respond(control.propose(command, TIMEOUT_MS))


def _page(request: HttpRequest) -> dict[str, Any]:
    limit = request.query.get("limit", "")
    return {"limit": _whole_number(limit, "limit")} if limit else {}


def _change_id(request: HttpRequest) -> str:
    value = request.headers.get("foxspring-change-id", "")
    return _check_id(value, "header Foxspring-Change-Id")


def _check_id(value: str, what: str) -> str:
    if not 1 <= len(value) <= MAX_ID_CHARACTERS or not value.isprintable():
        raise BadRequestError(
            f"{what}: give 1 to {MAX_ID_CHARACTERS} printable characters"
        )
    return value


def _text(body: bytes) -> str:
    try:
        return body.decode()
    except UnicodeDecodeError as error:
        raise BadRequestError(f"body: {error}; send UTF-8") from error


def _whole_number(text: str, what: str) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > 15:
        raise BadRequestError(f"{what} = {text[:20]!r}: give a whole number")
    return int(text)
