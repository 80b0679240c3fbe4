"""JSON bodies of the platform interface between the system and targets.

docs/PLATFORM.md describes the interface. ``target_ms`` is a reading of the
target's monotonic clock. Task leases are expressed in that clock, so that a
delayed renewal cannot extend a lease beyond what was computed from the reading.
"""

from typing import NotRequired, TypedDict

from foxspring_model._numbers import Amount, Int64


class ResourcesBody(TypedDict):
    """Amounts as in :class:`foxspring_model.Resources`."""

    slots: Amount
    connections: Amount
    cores_milli: Amount
    memory_mb: Amount
    accelerators: Amount


class AnnounceBody(TypedDict):
    """``POST /v1/targets/announce`` on any entry, sent every second."""

    target_id: str
    incarnation: Int64
    address: str
    failure_domain: str
    rack: str
    capacity: ResourcesBody
    leaving: bool


class TaskStatusBody(TypedDict):
    """The status of a task as reported by its target.

    ``state`` is ``running``, ``finished``, ``failed``, ``stopped`` or
    ``expired`` (its lease ended). An ended task is reported until it is
    acknowledged. ``resources`` is the size with which the task was started; a new
    owner accounts for the task with it.
    """

    task_id: str
    epoch: Int64
    state: str
    checkpoint: str
    result: str
    detail: str
    cores_milli: Amount
    memory_mb: Amount
    resources: NotRequired[ResourcesBody]


class ServiceLatencyBody(TypedDict):
    """Latency of one service on a target since its last report."""

    service: str
    count: Amount
    p50_us: Amount
    p99_us: Amount


class ReportBody(TypedDict):
    """``POST /v1/targets/{target_id}/report`` on any entry.

    ``measured_ms`` is when the usage was measured and ``target_ms`` when the report
    was sent. ``requests`` lists the ids of the requests running at ``target_ms``.
    """

    target_id: str
    incarnation: Int64
    sequence: Int64
    measured_ms: Int64
    target_ms: Int64
    cores_milli: Amount
    memory_mb: Amount
    latencies: list[ServiceLatencyBody]
    tasks: list[TaskStatusBody]
    requests: list[str]


class ReportAnswerBody(TypedDict):
    """The answer to a report: acknowledged ended tasks that need not be sent again.

    ``owner`` is the address of the entry that owns the target, if there is one;
    reports that the target sends there need not be forwarded.
    """

    acked: list[list[str | int]]
    owner: NotRequired[str]


class StartTaskBody(TypedDict):
    """``POST /v1/tasks`` on a target: start a task with a lease."""

    task_id: str
    epoch: Int64
    lease_until_ms: Int64
    service: str
    resources: ResourcesBody
    payload: str
    checkpoint: str


class RenewBody(TypedDict):
    """``POST /v1/leases`` on a target: renew the leases of all its tasks.

    ``tasks`` contains pairs of task id and epoch.
    """

    lease_until_ms: Int64
    tasks: list[tuple[str, Int64]]


class RenewAnswerBody(TypedDict):
    """Tasks of the renewal that the target does not run, and its clock reading."""

    unknown: list[tuple[str, Int64]]
    target_ms: Int64


class StopTaskBody(TypedDict):
    """``POST /v1/tasks/stop`` on a target; answered when the task has stopped.

    The answer is the task's last :class:`TaskStatusBody`.
    """

    task_id: str
    epoch: Int64
    checkpoint: bool


class ThrottleBody(TypedDict):
    """``POST /v1/tasks/throttle`` on a target."""

    task_id: str
    epoch: Int64
    percent: Amount


class ErrorBody(TypedDict):
    """The body of every refusal; ``verdict`` is a value of Verdict."""

    verdict: str
    reason: str
    detail: str
    retry_after_ms: NotRequired[int]


HEADER_REQUEST_ID = "Foxspring-Request-Id"
HEADER_VERDICT = "Foxspring-Verdict"
HEADER_KEY = "Idempotency-Key"
HEADER_DEADLINE_MS = "Foxspring-Deadline-Ms"
HEADER_TARGET = "Foxspring-Target"
