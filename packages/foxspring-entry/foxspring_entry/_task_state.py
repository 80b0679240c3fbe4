"""A task as the owner of its target knows it."""

from enum import StrEnum
from typing import NamedTuple

from foxspring_model import NOTHING, Resources, RunTask, TaskEvent, TaskStatusBody

RETRY_CALL_MS = 300
START_LIMIT_MS = 10_000
STOP_LIMIT_MS = 60_000
READING_MAX_AGE_MS = 2_500
FROM_FIRST_REPORT = 0

EVENT_OF_STATE = {
    "finished": "finished",
    "failed": "failed",
    "stopped": "stopped",
    "expired": "lost",
}


def task_reservation_id(task_id: str) -> str:
    """Return the ledger's id of a task."""
    return f"task:{task_id}"


def measured_usage(status: TaskStatusBody) -> Resources:
    """Return what a task uses, for a target that does not tell its size."""
    return Resources(cores_milli=status["cores_milli"], memory_mb=status["memory_mb"])


def supersedes_lost_event(ended: TaskEvent, status: TaskStatusBody) -> bool:
    """Tell whether a report says how a run ended that was given up as lost."""
    if (ended.kind, ended.epoch) != ("lost", status["epoch"]):
        return False
    saved = status["state"] == "stopped" and status["checkpoint"] != ""
    return status["state"] == "finished" or saved


def lease_upper_bound_ms(lease_ms: int) -> int:
    """Return after how long a lease is over on clocks that differ by a tenth."""
    return lease_ms + lease_ms // 10 + 1


class TaskPhase(StrEnum):
    """What the owner is doing with a task."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


class OwnedTask(NamedTuple):
    """A task that holds a part of the target.

    ``run`` is ``None`` while only a report has told of the task. The lease has
    surely ended at ``lease_end_ms`` on the owner's clock; ``maybe_sent`` is set
    once a byte of a start may have reached the target. ``stop_by_ms`` ends the
    renewals of a task that does not stop. ``unknown_since_ms`` is the target's reading
    at which it answered not to run the task; a later report tells what became
    of it. ``size_known`` is false while ``resources`` is only what it uses.
    """

    task_id: str
    epoch: int
    phase: TaskPhase
    resources: Resources = NOTHING
    run: RunTask | None = None
    lease_end_ms: int = 0
    next_call_ms: int = 0
    offered_ms: int = 0
    call_in_flight: bool = False
    maybe_sent: bool = False
    checkpoint: str = ""
    save_checkpoint: bool = False
    stop_by_ms: int = 0
    unknown_since_ms: int | None = None
    size_known: bool = True


class TaskCallKind(StrEnum):
    """The call of the platform contract that a task needs."""

    START = "/v1/tasks"
    STOP = "/v1/tasks/stop"
    THROTTLE = "/v1/tasks/throttle"


class TaskCall(NamedTuple):
    """One call to make and its JSON body."""

    kind: TaskCallKind
    task_id: str
    epoch: int
    body: bytes


class TargetClock(NamedTuple):
    """The newest reading of a target's clock and when it was received."""

    reading_ms: int = 0
    received_ms: int = 0

    def newer(self, reading_ms: int, received_ms: int) -> "TargetClock":
        """Return the newer of this reading and another."""
        if reading_ms <= self.reading_ms:
            return self
        return TargetClock(reading_ms, received_ms)

    def is_fresh(self, now_ms: int, max_age_ms: int) -> bool:
        """Tell whether there is a reading not older than ``max_age_ms``."""
        return self.reading_ms > 0 and now_ms - self.received_ms <= max_age_ms

    def lease_end_ms(self, lease_ms: int) -> int:
        """Return when a lease from this reading has surely ended here.

        The reading was taken before it was received, and the two clocks differ
        in rate by less than a tenth.
        """
        return self.received_ms + lease_upper_bound_ms(lease_ms)
