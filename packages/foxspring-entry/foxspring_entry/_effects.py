"""What a decision asks to be done outside of it."""

from typing import Any, NamedTuple

from foxspring_model import Outcome, RelayRequest


class SendMessage(NamedTuple):
    """Send ``message`` to the process that listens on ``address``."""

    address: str
    message: Any


class ReplyToCaller(NamedTuple):
    """Hand the final outcome to the caller that waits for ``request_id``."""

    request_id: str
    outcome: Outcome
    target_id: str = ""


class SendRequest(NamedTuple):
    """Send a request to a target; it is held in the ledger as ``reservation_id``.

    Its first byte must leave before ``send_by_ms``, while the ownership that
    it was admitted under surely lasts; else it is refused as not run.
    """

    reservation_id: str
    target_id: str
    address: str
    relay: RelayRequest
    deadline_ms: int
    send_by_ms: int


class CallTarget(NamedTuple):
    """Post ``body`` (JSON) to a path of the platform contract on a target.

    Its first byte must leave before ``send_by_ms``, as for a request.
    """

    call_id: int
    target_id: str
    address: str
    path: str
    body: bytes
    timeout_ms: int
    send_by_ms: int


class AbortRequest(NamedTuple):
    """Stop waiting for the answer to a request that was given up."""

    reservation_id: str


class CloseConnections(NamedTuple):
    """Close the idle connections to a target that is no longer owned."""

    address: str


class DisconnectPeer(NamedTuple):
    """Close the link to a process that is gone for good."""

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
