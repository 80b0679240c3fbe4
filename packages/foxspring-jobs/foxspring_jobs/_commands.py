"""Commands of the replicated log, the only way to change the state."""

from typing import Any, NamedTuple

import msgspec
from foxspring_model import Resources

from foxspring_jobs._specs import JobSpec, Queue, QueueTable


class TaskKey(NamedTuple):
    """Identifies a task by job, occurrence, step and index within the step."""

    job_id: str
    occurrence: int
    step: int
    ordinal: int


class TargetIncarnation(NamedTuple):
    """An incarnation of a target.

    ``incarnation_ms``, its start in Unix time, distinguishes those with the same id.
    """

    target_id: str
    incarnation_ms: int


class RunKey(NamedTuple):
    """Identifies a run of a task; ``number`` counts the task's starts from 1."""

    task: TaskKey
    number: int


class ReplaceTable(NamedTuple):
    """Replace the configuration, unless a newer one is in force."""

    table: QueueTable


class SubmitJob(NamedTuple):
    """Accept a job; submitting the same id again changes nothing."""

    job_id: str
    queue: Queue
    spec: JobSpec


class CancelJob(NamedTuple):
    """Cancel a job that has not ended."""

    job_id: str


class RegisterTarget(NamedTuple):
    """Record a target's registration; an older incarnation changes nothing."""

    incarnation: TargetIncarnation
    address: str
    service: str
    failure_domain: str
    capacity: Resources
    labels: tuple[str, ...] = ()
    rack: str = ""
    draining: bool = False


class RunEnd(NamedTuple):
    """How a run ended, as a value of ``EndKind``, and the checkpoint that it saved."""

    run: RunKey
    incarnation: TargetIncarnation
    kind: str
    checkpoint: str = ""


class RunStart(NamedTuple):
    """Assign a run to a target; it may be ordered once this is committed."""

    run: RunKey
    incarnation: TargetIncarnation


class TargetLoss(NamedTuple):
    """An incarnation of a target that ended without notice, or may have.

    ``crashed`` tells that another incarnation has taken its place; otherwise it is only
    silent. ``early_runs`` had hardly begun, ``lasting_runs`` had run for longer; of its
    other runs that is unknown.
    """

    incarnation: TargetIncarnation
    crashed: bool
    early_runs: tuple[RunKey, ...] = ()
    lasting_runs: tuple[RunKey, ...] = ()


class Advance(NamedTuple):
    """The changes of one leader decision.

    They are applied in the order of the fields, but for ``losses``, which come after
    ``lost_targets``. Incarnations in ``lost_targets`` and ``losses`` end with all of
    their runs; those of the former left as planned, or nothing is blamed for their end.
    ``opened`` lists occurrences that are due, ``purged`` jobs that ended long ago.
    """

    ends: tuple[RunEnd, ...] = ()
    lost_targets: tuple[TargetIncarnation, ...] = ()
    opened: tuple[tuple[str, int], ...] = ()
    starts: tuple[RunStart, ...] = ()
    purged: tuple[str, ...] = ()
    losses: tuple[TargetLoss, ...] = ()


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
    """Return the command of a log entry.

    Raises:
        KeyError: the kind is unknown; run the same version everywhere.
    """
    return _DECODERS[kind].decode(body)
