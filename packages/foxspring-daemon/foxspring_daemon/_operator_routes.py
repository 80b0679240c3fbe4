"""HTTP routes for operators; each sends one command or query to control."""

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
    UNDECODABLE,
    ApplyConfiguration,
    CancelJobs,
    DrainTarget,
    ErrorBody,
    SubmitJob,
    Verdict,
    parse_whole_number,
)

TIMEOUT_MS = 10_000
MAX_JOB_IDS = 20_000
MAX_ID_CHARACTERS = 128
JSON_HEADERS = (("Content-Type", "application/json"),)
_STATUS_CODES = {"ok": 200, "conflict": 409, "rejected": 422, "unknown": 404}
RETRY_AFTER_S = 1


class ControlPort(Protocol):
    """The part of a control client that the routes use."""

    def propose(
        self, command: Any, timeout_ms: int, proposal_id: str = ""
    ) -> ProposalOutcome:
        """Propose ``command``; it is applied once, however often it is sent."""

    def query(
        self, kind: str, arguments: dict[str, Any], timeout_ms: int
    ) -> QueryOutcome:
        """Query the replicated state."""


class _CancelBody(TypedDict):
    job_ids: list[str]


class _DrainBody(TypedDict):
    target_id: str
    draining: bool


class BadRequestError(ValueError):
    """An invalid request; it is rejected with a reason and changes nothing."""


def operator_routes(control: ControlPort) -> tuple[Route, ...]:
    """Return the routes for operators, served through ``control``."""

    def with_error_responses(
        handle: Callable[[ControlPort, HttpRequest], HttpResponse],
    ) -> Callable[[HttpRequest], HttpResponse]:
        def respond(request: HttpRequest) -> HttpResponse:
            try:
                return handle(control, request)
            except (BadRequestError, ConfigurationError) as error:
                return error_response(400, Verdict.NOT_RUN, "malformed", str(error))
            except UNDECODABLE as error:
                detail = f"body: {error}; correct the JSON"
                return error_response(400, Verdict.NOT_RUN, "malformed", detail)

        return respond

    post_handlers = {
        "/v1/configuration": _apply_configuration,
        "/v1/jobs": _submit_job,
        "/v1/jobs/cancel": _cancel_jobs,
        "/v1/drain": _drain_target,
        "/v1/members": _change_members,
    }
    get_handlers = {
        "/v1/configuration": _query_handler("configuration"),
        "/v1/jobs": _get_jobs,
        "/v1/services": _query_handler("services"),
        "/v1/teams": _query_handler("teams"),
        "/v1/targets": _query_handler("targets"),
        "/v1/entries": _query_handler("entries"),
        "/v1/members": _query_handler("members"),
        "/v1/status": _query_handler("status"),
        "/v1/audit": _get_audit,
        "/v1/in-force": _get_in_force,
    }
    routes = [
        Route("POST", p, Role.OPERATOR, with_error_responses(h))
        for p, h in post_handlers.items()
    ]
    routes += [
        Route("GET", p, Role.OPERATOR, with_error_responses(h))
        for p, h in get_handlers.items()
    ]
    return tuple(routes)


def error_response(
    status: int, verdict: Verdict, reason: str, detail: str
) -> HttpResponse:
    """Return an error response in the format that all routes of an entry use."""
    body: ErrorBody = {"verdict": verdict.value, "reason": reason, "detail": detail}
    headers: tuple[tuple[str, str], ...] = (
        *JSON_HEADERS,
        ("Foxspring-Verdict", verdict.value),
    )
    if status == 503:
        headers = (*headers, ("Retry-After", str(RETRY_AFTER_S)))
    return HttpResponse(status, msgspec.json.encode(body), headers)


def _outcome_response(outcome: ProposalOutcome | QueryOutcome) -> HttpResponse:
    if isinstance(outcome, Applied | QueryAnswered):
        status = str(outcome.result.get("status", "ok"))
        code = _STATUS_CODES.get(status, 200)
        verdict = Verdict.RAN if code == 200 else Verdict.NOT_RUN
        headers = (*JSON_HEADERS, ("Foxspring-Verdict", verdict.value))
        return HttpResponse(code, msgspec.json.encode(outcome.result), headers)
    if isinstance(outcome, MayBeApplied):
        return error_response(504, outcome.verdict, "no_answer", outcome.detail)
    return error_response(503, outcome.verdict, "no_control", outcome.detail)


def _apply_configuration(control: ControlPort, request: HttpRequest) -> HttpResponse:
    text = _decode_text(request.body)
    parse_configuration(text)
    command = ApplyConfiguration(
        _change_id(request),
        request.principal,
        _parse_whole_number(request.headers.get("foxspring-base-revision", ""), "base"),
        text,
    )
    return _propose_command(control, command)


def _submit_job(control: ControlPort, request: HttpRequest) -> HttpResponse:
    spec = parse_job(request.body)
    return _propose_command(
        control, SubmitJob(_change_id(request), request.principal, spec)
    )


def _cancel_jobs(control: ControlPort, request: HttpRequest) -> HttpResponse:
    body = msgspec.json.decode(request.body, type=_CancelBody)
    job_ids = tuple(dict.fromkeys(body["job_ids"]))
    if not 1 <= len(job_ids) <= MAX_JOB_IDS:
        raise BadRequestError(f"job_ids: give 1 to {MAX_JOB_IDS} ids")
    for job_id in job_ids:
        _check_id(job_id, "job id")
    return _propose_command(
        control, CancelJobs(_change_id(request), request.principal, job_ids)
    )


def _drain_target(control: ControlPort, request: HttpRequest) -> HttpResponse:
    body = msgspec.json.decode(request.body, type=_DrainBody)
    _check_id(body["target_id"], "target id")
    command = DrainTarget(
        _change_id(request), request.principal, body["target_id"], body["draining"]
    )
    return _propose_command(control, command)


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
    return _outcome_response(control.query("change_members", arguments, TIMEOUT_MS))


def _get_jobs(control: ControlPort, request: HttpRequest) -> HttpResponse:
    job_id = request.path.removeprefix("/v1/jobs").strip("/")
    if not job_id:
        return _outcome_response(
            control.query("jobs", _page_arguments(request), TIMEOUT_MS)
        )
    _check_id(job_id, "job id")
    return _outcome_response(control.query("job", {"job_id": job_id}, TIMEOUT_MS))


def _get_audit(control: ControlPort, request: HttpRequest) -> HttpResponse:
    arguments: dict[str, Any] = _page_arguments(request)
    for name in ("who", "change_id", "action"):
        if request.query.get(name):
            arguments[name] = _check_id(request.query[name], name)
    if request.query.get("since_ms"):
        arguments["since_ms"] = _parse_whole_number(
            request.query["since_ms"], "since_ms"
        )
    return _outcome_response(control.query("audit", arguments, TIMEOUT_MS))


def _get_in_force(control: ControlPort, request: HttpRequest) -> HttpResponse:
    revision = _parse_whole_number(request.query.get("revision", ""), "revision")
    return _outcome_response(
        control.query("in_force", {"revision": revision}, TIMEOUT_MS)
    )


def _query_handler(kind: str) -> Callable[[ControlPort, HttpRequest], HttpResponse]:
    def handle(control: ControlPort, request: HttpRequest) -> HttpResponse:
        if request.path.rstrip("/").count("/") > 2:
            return error_response(404, Verdict.NOT_RUN, "unknown", "no such path")
        return _outcome_response(control.query(kind, {}, TIMEOUT_MS))

    return handle


def _propose_command(control: ControlPort, command: Any) -> HttpResponse:
    return _outcome_response(control.propose(command, TIMEOUT_MS))


def _page_arguments(request: HttpRequest) -> dict[str, Any]:
    limit = request.query.get("limit", "")
    return {"limit": _parse_whole_number(limit, "limit")} if limit else {}


def _change_id(request: HttpRequest) -> str:
    value = request.headers.get("foxspring-change-id", "")
    return _check_id(value, "header Foxspring-Change-Id")


def _check_id(value: str, label: str) -> str:
    if not 1 <= len(value) <= MAX_ID_CHARACTERS or not value.isprintable():
        raise BadRequestError(
            f"{label}: give 1 to {MAX_ID_CHARACTERS} printable characters"
        )
    return value


def _decode_text(body: bytes) -> str:
    try:
        return body.decode()
    except UnicodeDecodeError as error:
        raise BadRequestError(f"body: {error}; send UTF-8") from error


def _parse_whole_number(text: str, label: str) -> int:
    try:
        return parse_whole_number(text)
    except ValueError as error:
        raise BadRequestError(
            f"{label} = {text[:20]!r}: give a whole number"
        ) from error
