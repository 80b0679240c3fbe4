"""Records of the replicated state."""

from enum import StrEnum
from typing import NamedTuple

from foxspring_model import JobSpec, TargetInfo, Task


class StopIntent(StrEnum):
    """What to do with a task after it has stopped."""

    REQUEUE = "requeue"
    CANCEL = "cancel"


class TaskRecord(NamedTuple):
    """A task with fields that only the state machine uses.

    ``owner_epoch`` is the target's owner epoch when the task was placed, and
    ``started`` is whether the current run was reported as started.
    """

    task: Task
    intent: StopIntent = StopIntent.REQUEUE
    owner_epoch: int = 0
    started: bool = False


class JobRecord(NamedTuple):
    """A job; ``ended_ms`` is zero until all its tasks have ended."""

    job_id: str
    submitter: str
    spec: JobSpec
    submitted_ms: int
    open_tasks: int
    cancelled: bool = False
    failed_tasks: int = 0
    ended_ms: int = 0


class TargetRecord(NamedTuple):
    """A target with its owner; ``version`` is the ownership version it changed in."""

    info: TargetInfo
    owner: str = ""
    owner_epoch: int = 0
    draining: bool = False
    version: int = 0


class ConfigurationRecord(NamedTuple):
    """An accepted configuration with its author and time."""

    revision: int
    change_id: str
    operator: str
    text: str
    at_ms: int


class KeyState(StrEnum):
    """State of an idempotency key, as returned for ``ClaimKey``."""

    CLAIMED = "claimed"
    PENDING = "pending"
    DONE = "done"
    MISMATCH = "mismatch"


class KeyRecord(NamedTuple):
    """The claim of an idempotency key and, once ``done``, its outcome."""

    key: str
    fingerprint: str
    entry_id: str
    incarnation: int
    claim_id: str
    claimed_ms: int
    done: bool = False
    verdict: str = ""
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class AnswerRecord(NamedTuple):
    """The first answer to a change id.

    ``fingerprint`` is a digest of the command; it detects a change id that is
    reused for another command.
    """

    kind: str
    who: str
    change_id: str
    fingerprint: str
    result: bytes
    at_ms: int


class Moment(NamedTuple):
    """Log index and wall-clock time of the entry being applied."""

    log_index: int
    at_ms: int
