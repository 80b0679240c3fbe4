"""Effects: actions that the decision logic requests from its caller."""

from typing import Any, NamedTuple

from foxspring_model import Outcome, RelayRequest


class SendMessage(NamedTuple):
    """Send ``message`` to the process that listens on ``address``."""

    address: str
    message: Any


class ReplyToCaller(NamedTuple):
    """Return the final outcome to the caller that waits for ``request_id``."""

    request_id: str
    outcome: Outcome
    target_id: str = ""


class SendRequest(NamedTuple):
    """Send a request to a target; ``reservation_id`` is its id in the ledger.

    Its first byte must be sent before ``send_by_ms``, while the ownership under
    which it was admitted is still guaranteed; otherwise it is refused as not
    run.
    """

    reservation_id: str
    target_id: str
    address: str
    relay: RelayRequest
    deadline_ms: int
    send_by_ms: int


class CallTarget(NamedTuple):
    """Post ``body`` (JSON) to a path of a target's platform API.

    As for a request, its first byte must be sent before ``send_by_ms``.
    """

    call_id: int
    target_id: str
    address: str
    path: str
    body: bytes
    timeout_ms: int
    send_by_ms: int


class AbortRequest(NamedTuple):
    """Stop waiting for the response to a request that was abandoned."""

    reservation_id: str


class CloseConnections(NamedTuple):
    """Close the idle connections to a target that is no longer owned."""

    address: str


class DisconnectPeer(NamedTuple):
    """Close the link to a process that will not come back."""

    address: str


Effect = (
    SendMessage
    | ReplyToCaller
    | SendRequest
    | CallTarget
    | AbortRequest
    | CloseConnections
    | DisconnectPeer
)
Effects = list[Effect]
