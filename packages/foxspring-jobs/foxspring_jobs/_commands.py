"""Commands of the replicated log: the only way to change the state."""

from typing import Any, NamedTuple

import msgspec
from foxspring_model import Resources

from foxspring_jobs._specs import JobSpec, Queue, QueueTable


class TaskKey(NamedTuple):
    """Names one task: its job, occurrence, step and number within the step."""

    job_id: str
    occurrence: int
    step: int
    ordinal: int


class TargetLife(NamedTuple):
    """One life of a target; ``born_ms`` tells lives under one id apart."""

    target_id: str
    born_ms: int


class RunKey(NamedTuple):
    """One run of a task; ``number`` counts the task's starts from 1."""

    task: TaskKey
    number: int


class ReplaceTable(NamedTuple):
    """Put a configuration in force unless a newer one is."""

    table: QueueTable


class SubmitJob(NamedTuple):
    """Accept a job; the same id again changes nothing."""

    job_id: str
    queue: Queue
    spec: JobSpec


class CancelJob(NamedTuple):
    """Cancel a job that has not ended."""

    job_id: str


class RegisterTarget(NamedTuple):
    """Record what a target says of itself; an older life changes nothing."""

    life: TargetLife
    address: str
    service: str
    failure_domain: str
    capacity: Resources
    labels: tuple[str, ...] = ()
    rack: str = ""
    draining: bool = False


class RunEnd(NamedTuple):
    """How a run ended, in the words of ``EndKind``; with what it saved."""

    run: RunKey
    life: TargetLife
    kind: str
    checkpoint: str = ""


class RunStart(NamedTuple):
    """Give a run to a target; it may be ordered once this is committed."""

    run: RunKey
    life: TargetLife


class Advance(NamedTuple):
    """What one decision of the leader changes, in this order.

    ``lost_targets`` lives end with everything on them. ``opened`` are occurrences
    that have fallen due; ``purged`` jobs ended long ago.
    """

    ends: tuple[RunEnd, ...] = ()
    lost_targets: tuple[TargetLife, ...] = ()
    opened: tuple[tuple[str, int], ...] = ()
    starts: tuple[RunStart, ...] = ()
    purged: tuple[str, ...] = ()


Command = ReplaceTable | SubmitJob | CancelJob | RegisterTarget | Advance
COMMAND_TYPES: tuple[type, ...] = (
    ReplaceTable,
    SubmitJob,
    CancelJob,
    RegisterTarget,
    Advance,
)
_DECODERS: dict[str, msgspec.msgpack.Decoder[Any]] = {
    kind.__name__: msgspec.msgpack.Decoder(kind) for kind in COMMAND_TYPES
}
_ENCODER = msgspec.msgpack.Encoder()


def encode_command(command: Command) -> tuple[str, bytes]:
    """Return a command's kind and body for the log."""
    return type(command).__name__, _ENCODER.encode(command)


def decode_command(kind: str, body: bytes) -> Any:
    """Return the command of an entry.

    Raises:
        KeyError: no command has that kind; run the same version everywhere.
    """
    return _DECODERS[kind].decode(body)
