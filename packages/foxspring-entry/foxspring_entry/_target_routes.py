"""HTTP routes for targets: announcements and reports."""

from collections.abc import Callable, Sequence

import msgspec
from foxspring_model import AnnounceBody, ReportAnswerBody, ReportBody

from foxspring_entry._http import HttpRequest, HttpResponse, Role, Route
from foxspring_entry._reports import (
    MalformedBodyError,
    decode_announcement,
    decode_report,
)
from foxspring_entry._responses import malformed

_ANNOUNCE = "/v1/targets/announce"
_TARGETS = "/v1/targets/"
_REPORT = "/report"
_JSON = (("Content-Type", "application/json"),)

OnAnnounce = Callable[[AnnounceBody], None]
OwnerOf = Callable[[str], str]
OnReport = Callable[[ReportBody, bytes], list[list[str | int]]]


def target_routes(
    on_announce: OnAnnounce, on_report: OnReport, owner_of: OwnerOf
) -> Sequence[Route]:
    """Return the routes; ``on_announce`` and ``on_report`` get validated bodies.

    ``owner_of`` returns the HTTP address of a target's owner, or ``""``.
    """

    def announce(request: HttpRequest) -> HttpResponse:
        try:
            body = decode_announcement(request.body)
        except MalformedBodyError as error:
            return malformed(str(error))
        on_announce(body)
        return HttpResponse(200, b"{}", _JSON)

    def report(request: HttpRequest) -> HttpResponse:
        name = request.path.removeprefix(_TARGETS).removesuffix(_REPORT)
        if not request.path.endswith(_REPORT) or "/" in name:
            return malformed("no such path", 404)
        try:
            body = decode_report(request.body)
        except MalformedBodyError as error:
            return malformed(str(error))
        if body["target_id"] != name:
            return malformed("target_id differs from the one in the path")
        answer = ReportAnswerBody(acked=on_report(body, request.body))
        owner = owner_of(name)
        if owner:
            answer["owner"] = owner
        return HttpResponse(200, msgspec.json.encode(answer), _JSON)

    return (
        Route("POST", _ANNOUNCE, Role.TARGET, announce),
        Route("POST", _TARGETS, Role.TARGET, report),
    )
