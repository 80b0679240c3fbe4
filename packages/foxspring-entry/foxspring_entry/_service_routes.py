"""HTTP routes for callers: requests to services."""

import uuid
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from foxspring_model import (
    HEADER_DEADLINE_MS,
    HEADER_KEY,
    Clock,
    Outcome,
    RefusalReason,
    Refused,
    RelayRequest,
    Service,
    parse_whole_number,
)

from foxspring_entry._control_client import ControlClient
from foxspring_entry._http import HttpRequest, HttpResponse, Role, Route
from foxspring_entry._keys import MAX_KEY_CHARS, Claimant, KeyedRequest, run_with_key
from foxspring_entry._relay_headers import forwarded_headers
from foxspring_entry._reports import MAX_NAME_CHARS
from foxspring_entry._responses import malformed, response_of
from foxspring_entry._retries import IDEMPOTENT_METHODS, is_idempotent
from foxspring_entry._settings import EntrySettings

_PREFIX = "/services/"
_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
_MAX_DEADLINE_DIGITS = 9
HEADER_IDEMPOTENT = "foxspring-idempotent"

Submit = Callable[[RelayRequest], tuple[Outcome, str]]
Services = Callable[[], Mapping[str, Service]]


class _MalformedError(ValueError):
    pass


class ServicePath(NamedTuple):
    """Name of a service, and the rest of the path with the query string."""

    service: str
    rest: str


def service_routes(
    settings: EntrySettings,
    control: ControlClient,
    clock: Clock,
    services: Services,
    submit: Submit,
) -> Sequence[Route]:
    """Return the routes; ``submit`` blocks until the final outcome."""
    claimant = Claimant(settings.entry_id, settings.incarnation)

    def handle(request: HttpRequest) -> HttpResponse:
        try:
            relay = _relay_of(request, settings, services())
            key = _idempotency_key(request)
        except _MalformedError as error:
            return malformed(str(error))
        if not key or request.method in IDEMPOTENT_METHODS:
            outcome, target_id = submit(relay)
            outcome = _name_unknown_service(outcome, relay.service, services())
            return response_of(outcome, relay.request_id, target_id)
        deadline_ms = clock.monotonic_ms() + relay.remaining_ms
        keyed = KeyedRequest(key, relay, deadline_ms)
        outcome, target_id = run_with_key(keyed, claimant, control, clock, submit)
        return response_of(outcome, relay.request_id, target_id)

    return [Route(method, _PREFIX, Role.CALLER, handle) for method in _METHODS]


def _name_unknown_service(
    outcome: Outcome, service: str, services: Mapping[str, Service]
) -> Outcome:
    if not isinstance(outcome, Refused) or service in services:
        return outcome
    if outcome.reason is not RefusalReason.NO_TARGET:
        return outcome
    detail = f"no service {service!r} in the configuration in force"
    return Refused(RefusalReason.UNKNOWN_SERVICE, detail)


def _relay_of(
    request: HttpRequest, settings: EntrySettings, services: Mapping[str, Service]
) -> RelayRequest:
    parts = _service_path(request)
    declared = request.headers.get(HEADER_IDEMPOTENT, "").lower() == "true"
    return RelayRequest(
        request_id=uuid.uuid4().hex,
        origin=settings.entry_id,
        service=parts.service,
        method=request.method,
        path=parts.rest,
        headers=forwarded_headers(request.headers),
        body=request.body,
        idempotent=is_idempotent(request.method, declared),
        caller=request.principal,
        remaining_ms=_deadline_ms(request, settings, services.get(parts.service)),
        attempt=1,
    )


def _service_path(request: HttpRequest) -> ServicePath:
    name, slash, rest = request.path.removeprefix(_PREFIX).partition("/")
    if not 0 < len(name) <= MAX_NAME_CHARS:
        raise _MalformedError(
            f"the service name must have 1 to {MAX_NAME_CHARS} characters"
        )
    if not all(c.isalnum() or c in "-_." for c in name):
        raise _MalformedError(
            "the service name may contain only letters, digits, '-', '_', '.'"
        )
    query = f"?{request.raw_query}" if request.raw_query else ""
    return ServicePath(name, f"{slash}{rest}{query}")


def _deadline_ms(
    request: HttpRequest, settings: EntrySettings, service: Service | None
) -> int:
    default_ms = service.timeout_ms if service else settings.default_deadline_ms
    requested = request.headers.get(HEADER_DEADLINE_MS.lower())
    if requested is None:
        return min(default_ms, settings.max_deadline_ms)
    try:
        requested_ms = parse_whole_number(requested, _MAX_DEADLINE_DIGITS)
    except ValueError as error:
        detail = f"{HEADER_DEADLINE_MS} must be milliseconds from now"
        raise _MalformedError(detail) from error
    return max(1, min(requested_ms, settings.max_deadline_ms))


def _idempotency_key(request: HttpRequest) -> str:
    key = request.headers.get(HEADER_KEY.lower(), "")
    if len(key) > MAX_KEY_CHARS or not key.isprintable():
        raise _MalformedError(
            f"{HEADER_KEY} must be printable, at most {MAX_KEY_CHARS} characters"
        )
    return key
