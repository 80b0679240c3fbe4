"""Entry: routes requests to targets, and owns targets and their tasks."""

from foxspring_entry._control_client import (
    Applied,
    ControlClient,
    MayBeApplied,
    NotApplied,
    ProposalOutcome,
    QueryAnswered,
    QueryFailed,
    QueryOutcome,
)
from foxspring_entry._entry import Entry
from foxspring_entry._http import Handler, HttpRequest, HttpResponse, Role, Route
from foxspring_entry._messages import ENTRY_MESSAGES
from foxspring_entry._responses import error_response, malformed
from foxspring_entry._settings import EntrySettings
from foxspring_entry._status import EntryStatus, TargetStatus

__all__ = [
    "Applied",
    "ControlClient",
    "ENTRY_MESSAGES",
    "Entry",
    "EntrySettings",
    "EntryStatus",
    "Handler",
    "HttpRequest",
    "HttpResponse",
    "MayBeApplied",
    "NotApplied",
    "ProposalOutcome",
    "QueryAnswered",
    "QueryFailed",
    "QueryOutcome",
    "Role",
    "Route",
    "TargetStatus",
    "error_response",
    "malformed",
]
