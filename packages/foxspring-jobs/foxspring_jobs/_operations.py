"""Calls of callers, operators and targets, and their answers, between daemons."""

from enum import StrEnum
from typing import Any, NamedTuple

import msgspec

from foxspring_jobs._commands import RegisterTarget
from foxspring_jobs._specs import JobSpec, QueueTable


class SubmitCall(NamedTuple):
    """Hand in a job at a path of a host; the path ends with its id."""

    host: str
    path: str
    spec: JobSpec


class CancelCall(NamedTuple):
    """Cancel the job at a path."""

    host: str
    path: str


class ReadCall(NamedTuple):
    """Ask for a job's phase, or for a queue's count of waiting jobs."""

    host: str
    path: str


class CheckCall(NamedTuple):
    """Ask whether a path belongs to a queue; for calls with a bad body."""

    host: str
    path: str


class ReplaceTableCall(NamedTuple):
    """Put an operator's configuration in force."""

    table: QueueTable


class ReadTableCall(NamedTuple):
    """Ask for the newest configuration."""


class TargetReport(NamedTuple):
    """A target's heartbeat; ``sequence`` orders the reports of one life."""

    registered: RegisterTarget
    sequence: int
    clock_ms: int
    remaining_ms: int = 0


class TargetLeaving(NamedTuple):
    """A target says that it ends; ``born_ms`` is 0 where it does not say."""

    target_id: str
    born_ms: int


class PingLeader(NamedTuple):
    """Ask who leads; answered by a leader that is sure of its lease."""


class Outcome(StrEnum):
    """What became of a call.

    ``UNAVAILABLE`` means that nothing was or will be done; ``UNKNOWN`` that the
    call may have been carried out.
    """

    OK = "ok"
    INVALID = "invalid"
    NO_QUEUE = "no_queue"
    GONE = "gone"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


class Answer(NamedTuple):
    """The answer to a call; which fields count depends on the call."""

    outcome: Outcome
    detail: str = ""
    phase: str = ""
    waiting: int = 0
    document: bytes = b""


def committed_answer(committed: bool) -> Answer:
    """Return the answer to a change: done, or of unknown fate."""
    return Answer(Outcome.OK if committed else Outcome.UNKNOWN)


class Call(NamedTuple):
    """A call on its way to the leader; ``reply_to`` is a link address."""

    call_id: int
    reply_to: str
    kind: str
    body: bytes


class Reply(NamedTuple):
    """The answer on its way back; ``members`` are the control members' links."""

    call_id: int
    answer: Answer
    leader_address: str
    members: tuple[str, ...] = ()


class NotLeading(NamedTuple):
    """The receiver of a call does not lead; nothing was done."""

    call_id: int
    leader_address: str
    members: tuple[str, ...] = ()


class JoinGroup(NamedTuple):
    """A process asks to become a member of the control group."""

    member_id: str
    link_address: str
    failure_domain: str


class JoinAnswer(NamedTuple):
    """Whether the group knows the member, and where its members are."""

    member_id: str
    known: bool
    leader_address: str
    members: tuple[str, ...] = ()


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
JOB_MESSAGES: tuple[type, ...] = (Call, Reply, NotLeading, JoinGroup, JoinAnswer)
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
        KeyError: no operation has that kind; run the same version everywhere.
        msgspec.DecodeError: the body is not of its kind.
    """
    return _DECODERS[call.kind].decode(call.body)
