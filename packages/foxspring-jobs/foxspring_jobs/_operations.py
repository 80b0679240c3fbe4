"""Operations of callers, operators and targets, and the messages that carry them."""

from enum import StrEnum
from typing import Any, NamedTuple

import msgspec

from foxspring_jobs._commands import RegisterTarget
from foxspring_jobs._specs import JobSpec, QueueTable


class SubmitCall(NamedTuple):
    """Submit a job at a path of a host; the path ends with the job's id."""

    host: str
    path: str
    spec: JobSpec


class CancelCall(NamedTuple):
    """Cancel the job at a path."""

    host: str
    path: str


class ReadCall(NamedTuple):
    """Read a job's phase, or a queue's number of waiting jobs."""

    host: str
    path: str


class CheckCall(NamedTuple):
    """Check whether a path belongs to a queue; used for requests with a bad body."""

    host: str
    path: str


class ReplaceTableCall(NamedTuple):
    """Replace the configuration by an operator's."""

    table: QueueTable


class ReadTableCall(NamedTuple):
    """Read the newest configuration."""


class TargetReport(NamedTuple):
    """A target's heartbeat; ``sequence`` orders the reports of one incarnation."""

    registered: RegisterTarget
    sequence: int
    clock_ms: int
    remaining_ms: int = 0


class TargetLeaving(NamedTuple):
    """A target announces its shutdown.

    ``incarnation_ms`` is 0 if the target names no incarnation.
    """

    target_id: str
    incarnation_ms: int


class PingLeader(NamedTuple):
    """Find the leader; only a leader with a valid lease answers."""


class Outcome(StrEnum):
    """The outcome of a call.

    ``UNAVAILABLE`` means that nothing was or will be done; ``UNKNOWN`` that the call
    may have been carried out.
    """

    OK = "ok"
    INVALID = "invalid"
    NO_QUEUE = "no_queue"
    GONE = "gone"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


class Answer(NamedTuple):
    """The answer to a call; which fields are set depends on the call."""

    outcome: Outcome
    detail: str = ""
    phase: str = ""
    waiting: int = 0
    document: bytes = b""


def committed_answer(committed: bool) -> Answer:
    """Return the answer to a change: done, or unknown if it may not be committed."""
    return Answer(Outcome.OK if committed else Outcome.UNKNOWN)


class Call(NamedTuple):
    """A call sent to the leader; ``reply_to`` is a link address."""

    call_id: int
    reply_to: str
    kind: str
    body: bytes


class Reply(NamedTuple):
    """The reply to a call; ``members`` are the control members' link addresses."""

    call_id: int
    answer: Answer
    leader_address: str
    members: tuple[str, ...] = ()


class NotLeading(NamedTuple):
    """Sent by a receiver that does not lead; the call had no effect."""

    call_id: int
    leader_address: str
    members: tuple[str, ...] = ()


class DeclineReason(NamedTuple):
    """Why the member at a link address declines calls; sent beside some declines.

    A message of its own, because a process of the version before refuses a
    :class:`NotLeading` with more fields than it knows.
    """

    address: str
    reason: str


class JoinGroup(NamedTuple):
    """A process requests to become a member of the control group."""

    member_id: str
    link_address: str
    failure_domain: str


class JoinAnswer(NamedTuple):
    """Whether the group contains the member, and the addresses of its members."""

    member_id: str
    known: bool
    leader_address: str
    members: tuple[str, ...] = ()


class LeaveGroup(NamedTuple):
    """A member that stops for good asks the leader to remove it from the group."""

    member_id: str


class LeaveAnswer(NamedTuple):
    """Whether the member was removed; otherwise it stays a member while it is down."""

    member_id: str
    removed: bool


OPERATIONS: tuple[type, ...] = (
    SubmitCall,
    CancelCall,
    ReadCall,
    CheckCall,
    ReplaceTableCall,
    ReadTableCall,
    TargetReport,
    TargetLeaving,
    PingLeader,
)
JOB_MESSAGES: tuple[type, ...] = (
    Call,
    Reply,
    NotLeading,
    DeclineReason,
    JoinGroup,
    JoinAnswer,
    LeaveGroup,
    LeaveAnswer,
)
_DECODERS: dict[str, msgspec.msgpack.Decoder[Any]] = {
    kind.__name__: msgspec.msgpack.Decoder(kind) for kind in OPERATIONS
}
_ENCODER = msgspec.msgpack.Encoder()


def make_call(call_id: int, reply_to: str, operation: Any) -> Call:
    """Return the message that carries an operation."""
    body = _ENCODER.encode(operation)
    return Call(call_id, reply_to, type(operation).__name__, body)


def operation_of(call: Call) -> Any:
    """Return the operation that a call carries.

    Raises:
        KeyError: the kind is unknown; run the same version everywhere.
        msgspec.DecodeError: the body does not match its kind.
    """
    return _DECODERS[call.kind].decode(call.body)
