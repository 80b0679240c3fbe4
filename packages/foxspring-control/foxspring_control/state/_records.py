"""Rows of the replicated state, as values."""

from enum import StrEnum
from typing import NamedTuple

from foxspring_model import JobSpec, TargetInfo, Task


class StopIntent(StrEnum):
    """What becomes of a task once it has stopped."""

    REQUEUE = "requeue"
    CANCEL = "cancel"


class TaskRecord(NamedTuple):
    """A task with what only the state machine needs.

    ``owner_epoch`` is that of the target when the task was placed, and
    ``started`` whether this run was ever reported as started.
    """

    task: Task
    intent: StopIntent = StopIntent.REQUEUE
    owner_epoch: int = 0
    started: bool = False


class JobRecord(NamedTuple):
    """A job; ``ended_ms`` is zero while any task is open."""

    job_id: str
    submitter: str
    spec: JobSpec
    submitted_ms: int
    open_tasks: int
    cancelled: bool = False
    failed_tasks: int = 0
    ended_ms: int = 0


class TargetRecord(NamedTuple):
    """A target with its owner; ``version`` is when the table last changed it."""

    info: TargetInfo
    owner: str = ""
    owner_epoch: int = 0
    draining: bool = False
    version: int = 0


class ConfigurationRecord(NamedTuple):
    """One accepted configuration."""

    revision: int
    change_id: str
    operator: str
    text: str
    at_ms: int


class KeyState(StrEnum):
    """What is known of an idempotency key; the answer to ``ClaimKey``."""

    CLAIMED = "claimed"
    PENDING = "pending"
    DONE = "done"
    MISMATCH = "mismatch"


class KeyRecord(NamedTuple):
    """An idempotency key's claim and, once done, its outcome."""

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

    ``fingerprint`` is a digest of the command, so that a change id used for
    another command is noticed.
    """

    kind: str
    who: str
    change_id: str
    fingerprint: str
    result: bytes
    at_ms: int


class Moment(NamedTuple):
    """The position and wall clock of the entry being applied."""

    log_index: int
    at_ms: int
