"""State that a target's owner keeps for each task."""

from enum import StrEnum
from typing import NamedTuple

from foxspring_model import (
    NO_RESOURCES,
    ReportedEvent,
    Resources,
    RunTask,
    TaskStatusBody,
)

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
    """Return the id of a task's reservation in the ledger."""
    return f"task:{task_id}"


def measured_usage(status: TaskStatusBody) -> Resources:
    """Return a task's measured usage, for targets that do not report its size."""
    return Resources(cores_milli=status["cores_milli"], memory_mb=status["memory_mb"])


def supersedes_inferred_end(ended: ReportedEvent, status: TaskStatusBody) -> bool:
    """Return whether a reported end replaces one that the owner inferred.

    A former owner may have started a run that this owner did not know of. After
    ``lost``, only a finished run and one that stopped with a checkpoint count.
    """
    if ended.ended_in is not None or ended.epoch != status["epoch"]:
        return False
    if ended.kind != "lost":
        return True
    saved = status["state"] == "stopped" and status["checkpoint"] != ""
    return status["state"] == "finished" or saved


def lease_upper_bound_ms(lease_ms: int) -> int:
    """Return the time after which a lease has ended on any clock involved.

    Allows for clock rates that differ by up to a tenth.
    """
    return lease_ms + lease_ms // 10 + 1


class TaskPhase(StrEnum):
    """Phase of a task's life cycle at the owner of its target."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


class OwnedTask(NamedTuple):
    """A task that occupies capacity of the target.

    ``run`` is ``None`` while the task is known from reports only. The lease has
    definitely ended at ``lease_end_ms`` on the owner's clock. ``maybe_sent`` is
    set once a byte of a start call may have reached the target. Renewals end at
    ``stop_by_ms`` if a task does not stop. ``unknown_since_ms`` is the target's
    time at which it answered that it does not run the task; a later report shows
    how the task ended. ``size_known`` is false while ``resources`` holds only
    the measured usage.
    """

    task_id: str
    epoch: int
    phase: TaskPhase
    resources: Resources = NO_RESOURCES
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
    """Platform API call for a task; the value is its path."""

    START = "/v1/tasks"
    STOP = "/v1/tasks/stop"
    THROTTLE = "/v1/tasks/throttle"


class TaskCall(NamedTuple):
    """A platform API call with its JSON body."""

    kind: TaskCallKind
    task_id: str
    epoch: int
    body: bytes


class TargetClock(NamedTuple):
    """Latest reading of a target's clock and the local time of its receipt."""

    reading_ms: int = 0
    received_ms: int = 0

    def newer(self, reading_ms: int, received_ms: int) -> "TargetClock":
        """Return the later of this reading and another one."""
        if reading_ms <= self.reading_ms:
            return self
        return TargetClock(reading_ms, received_ms)

    def is_fresh(self, now_ms: int, max_age_ms: int) -> bool:
        """Return whether there is a reading no older than ``max_age_ms``."""
        return self.reading_ms > 0 and now_ms - self.received_ms <= max_age_ms

    def lease_end_ms(self, lease_ms: int) -> int:
        """Return the local time by which a lease from this reading has ended.

        The reading was taken before it was received, and the rates of the two
        clocks differ by less than a tenth.
        """
        return self.received_ms + lease_upper_bound_ms(lease_ms)
