"""HTTP responses to callers."""

import msgspec
from foxspring_model import (
    HEADER_REQUEST_ID,
    HEADER_TARGET,
    HEADER_VERDICT,
    Answered,
    ErrorBody,
    Outcome,
    RefusalReason,
    Refused,
    Verdict,
)

from foxspring_entry._http import HttpResponse

_MS_PER_S = 1_000
_DEFAULT_RETRY_AFTER_MS = 1_000
_STATUS_OF_REASON = {
    RefusalReason.MALFORMED: 400,
    RefusalReason.UNAUTHENTICATED: 401,
    RefusalReason.UNKNOWN_SERVICE: 404,
    RefusalReason.OVERLOADED: 429,
    RefusalReason.QUOTA: 429,
}
_UNAVAILABLE = 503
_MAY_HAVE_RUN = 504
_OWN_HEADERS = frozenset(
    name.lower() for name in (HEADER_REQUEST_ID, HEADER_VERDICT, HEADER_TARGET)
)


def error_response(
    status: int,
    verdict: Verdict,
    reason: str,
    detail: str,
    retry_after_ms: int = 0,
    headers: tuple[tuple[str, str], ...] = (),
) -> HttpResponse:
    """Return an error response with a JSON body.

    Temporary refusals have a positive ``retry_after_ms``; then the body contains
    it and the response has a ``Retry-After`` header in whole seconds, rounded up.
    """
    body = ErrorBody(verdict=verdict, reason=reason, detail=detail)
    pairs = [("Content-Type", "application/json"), (HEADER_VERDICT, verdict)]
    if retry_after_ms > 0:
        body["retry_after_ms"] = retry_after_ms
        pairs.append(("Retry-After", str(-(-retry_after_ms // _MS_PER_S))))
    return HttpResponse(status, msgspec.json.encode(body), (*pairs, *headers))


def malformed(detail: str, status: int = 400) -> HttpResponse:
    """Return the response to a malformed request."""
    return error_response(status, Verdict.NOT_RUN, RefusalReason.MALFORMED, detail)


def response_of(outcome: Outcome, request_id: str, target_id: str) -> HttpResponse:
    """Return the response to a caller for the outcome of its request."""
    identity = ((HEADER_REQUEST_ID, request_id),)
    if isinstance(outcome, Answered):
        kept = tuple(p for p in outcome.headers if p[0].lower() not in _OWN_HEADERS)
        own = ((HEADER_VERDICT, str(Verdict.RAN)), (HEADER_TARGET, target_id))
        return HttpResponse(outcome.status, outcome.body, (*kept, *identity, *own))
    if isinstance(outcome, Refused):
        status = _STATUS_OF_REASON.get(outcome.reason, _UNAVAILABLE)
        after_ms = outcome.retry_after_ms
        if status in (_UNAVAILABLE, 429):
            after_ms = after_ms or _DEFAULT_RETRY_AFTER_MS
        return error_response(
            status, outcome.verdict, outcome.reason, outcome.detail, after_ms, identity
        )
    return error_response(
        _MAY_HAVE_RUN,
        outcome.verdict,
        "no_whole_answer",
        outcome.detail,
        headers=identity,
    )
