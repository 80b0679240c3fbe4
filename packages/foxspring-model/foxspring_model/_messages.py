"""Messages between entries, and between entries and control.

Every message is a ``NamedTuple`` of values that msgpack can encode. Durations are
milliseconds. A field named ``*_sent_ms`` is a reading of the sender's monotonic
clock, which only the sender may compare with others.
"""

from typing import NamedTuple

from foxspring_model._job import Priority
from foxspring_model._resources import Resources
from foxspring_model._target import EntryInfo, OwnedTarget, TargetInfo


class EntryHeartbeat(NamedTuple):
    """A request of an entry to the control leader to renew its lease.

    ``confirmed_revision`` is the revision of the configuration in force at the
    entry and ``ownership_version`` the version of its ownership table.
    """

    entry: EntryInfo
    heartbeat_sent_ms: int
    confirmed_revision: int
    ownership_version: int


class EntryLeaseGrant(NamedTuple):
    """The leader's answer to one heartbeat.

    The lease lasts for ``lease_ms`` from ``heartbeat_sent_ms``, which is echoed
    from the heartbeat.
    """

    leader_id: str
    term: int
    heartbeat_sent_ms: int
    lease_ms: int
    revision: int
    ownership_version: int


class HeartbeatRejected(NamedTuple):
    """The receiver is not the leader; ``leader_id`` may be empty."""

    member_id: str
    leader_id: str


class ConfigurationPush(NamedTuple):
    """The configuration in force at ``revision``, as INI text."""

    revision: int
    text: str


class OwnershipUpdate(NamedTuple):
    """The ownership table, complete or as changes.

    If ``full`` is set, it replaces the table of the entry; otherwise it contains
    the changes since ``from_version``.
    """

    full: bool
    from_version: int
    version: int
    entries: tuple[EntryInfo, ...]
    targets: tuple[OwnedTarget, ...]
    removed: tuple[str, ...]


class Proposal(NamedTuple):
    """A command for the replicated log, sent to any control member.

    ``proposal_id`` is chosen by the proposer and stays the same in its retries;
    ``kind`` names a type in ``foxspring_model.COMMANDS``.
    """

    proposal_id: str
    reply_to: str
    kind: str
    body: bytes


class ProposalResult(NamedTuple):
    """The outcome of a proposal.

    ``status`` is ``applied`` (``result`` is the JSON result of the state machine),
    ``not_leader`` (retry at ``leader_id``) or ``unknown`` (it may still be applied).
    """

    proposal_id: str
    status: str
    leader_id: str = ""
    result: bytes = b""


class Query(NamedTuple):
    """A read of the replicated state; ``arguments`` is JSON."""

    query_id: str
    reply_to: str
    kind: str
    arguments: bytes = b"{}"


class QueryResult(NamedTuple):
    """The result of a query; ``status`` is as in :class:`ProposalResult`."""

    query_id: str
    status: str
    leader_id: str = ""
    result: bytes = b""


class RunTask(NamedTuple):
    """An offer of a placed task by the leader to the owner of its target."""

    task_id: str
    job_id: str
    epoch: int
    target_id: str
    owner_epoch: int
    service: str
    resources: Resources
    priority: Priority
    work_class: str
    payload: str
    checkpoint: str


class StopTask(NamedTuple):
    """A request of the leader to stop a task, after a checkpoint if set."""

    task_id: str
    epoch: int
    target_id: str
    checkpoint: bool


class ThrottleTask(NamedTuple):
    """The processor share of a task set by the leader, in percent of its size."""

    task_id: str
    epoch: int
    target_id: str
    percent: int


class TaskEvent(NamedTuple):
    """An event of one task at one epoch, as the log keeps it.

    ``kind`` is one of ``started``, ``refused`` (never sent to the target),
    ``finished``, ``failed``, ``checkpointed``, ``stopped`` (certainly not running,
    with its last ``checkpoint``) and ``lost`` (its lease has certainly expired).
    """

    task_id: str
    epoch: int
    target_id: str
    kind: str
    checkpoint: str = ""
    result: str = ""
    detail: str = ""


class ReportedEvent(NamedTuple):
    """A task event reported by the owner of its target.

    ``ended_in`` is the target's incarnation that itself reported this end of the
    run; None if the owner inferred the end, and for other events. Only links carry
    it, so that the log can be read by members of the version before.
    """

    task_id: str
    epoch: int
    target_id: str
    kind: str
    checkpoint: str = ""
    result: str = ""
    detail: str = ""
    ended_in: int | None = None

    def logged(self) -> TaskEvent:
        """Return the event as the log keeps it."""
        return TaskEvent(*self[:-1])


class TaskEvents(NamedTuple):
    """Events from an owner, resent until ``batch_id`` is acknowledged."""

    batch_id: str
    entry_id: str
    events: tuple[ReportedEvent, ...]


class TaskEventsAck(NamedTuple):
    """The acknowledgement that the events of a batch are committed."""

    batch_id: str


class UsageSample(NamedTuple):
    """A measurement of one target, which may arrive late.

    ``measured_ms`` is a reading of the target's clock. ``latencies`` holds service,
    p50 and p99 in microseconds and the request count. ``running`` holds the ids
    and epochs of the tasks that ran when the sample was taken. ``task_usage`` holds
    task id, thousandths of a core and mebibytes used by each task; it may be empty.

    ``running_version`` counts the changes of ``running`` at the sending entry.
    Without ``has_running`` both lists are omitted, and ``running`` is the same as
    in the last sample of that version from this entry.
    """

    target_id: str
    incarnation: int
    measured_ms: int
    cores_milli: int
    memory_mb: int
    latencies: tuple[tuple[str, int, int, int], ...]
    running: tuple[tuple[str, int], ...]
    task_usage: tuple[tuple[str, int, int], ...] = ()
    running_version: int = 0
    has_running: bool = True


class UsageBatch(NamedTuple):
    """Measurements that an owner forwards to the leader."""

    entry_id: str
    samples: tuple[UsageSample, ...]


class TargetSeen(NamedTuple):
    """A target's announcement, forwarded by an entry to the leader."""

    entry_id: str
    info: TargetInfo


class EntryLoad(NamedTuple):
    """Request capacity and load of one owner, for routing by the other entries.

    ``services`` holds service, free slots, queued requests and the recent
    latency in microseconds. ``sequence`` orders the messages of one entry.
    """

    entry_id: str
    incarnation: int
    sequence: int
    services: tuple[tuple[str, int, int, int], ...]


class RelayRequest(NamedTuple):
    """A caller's request forwarded to the owner of a target.

    ``remaining_ms`` is the time left until the caller's deadline when sent. Targets in
    ``avoided_targets`` are chosen only if no other target has free capacity.
    """

    request_id: str
    origin: str
    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    idempotent: bool
    caller: str
    remaining_ms: int
    attempt: int
    avoided_targets: tuple[str, ...] = ()


class RelayAnswer(NamedTuple):
    """The outcome of a relayed request; ``verdict`` is a value of Verdict."""

    request_id: str
    attempt: int
    verdict: str
    reason: str = ""
    detail: str = ""
    retry_after_ms: int = 0
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    target_id: str = ""


class ForwardedReport(NamedTuple):
    """A target's report forwarded to its owner; ``report`` is the JSON as received."""

    target_id: str
    report: bytes


class LinkPing(NamedTuple):
    """A request to the peer of a link to show that it is alive.

    ``silence_ms`` is how long the sender has received nothing from the peer.
    """

    ping_id: int
    silence_ms: int = 0


class LinkPong(NamedTuple):
    """The reply to the ping ``ping_id``."""

    ping_id: int


MESSAGES = (
    EntryHeartbeat,
    EntryLeaseGrant,
    HeartbeatRejected,
    ConfigurationPush,
    OwnershipUpdate,
    Proposal,
    ProposalResult,
    Query,
    QueryResult,
    RunTask,
    StopTask,
    ThrottleTask,
    TaskEvent,
    TaskEvents,
    TaskEventsAck,
    UsageSample,
    UsageBatch,
    TargetSeen,
    EntryLoad,
    RelayRequest,
    RelayAnswer,
    ForwardedReport,
    LinkPing,
    LinkPong,
)
