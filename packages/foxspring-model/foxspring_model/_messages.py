"""Messages between entries, and between entries and control.

Every message is a ``NamedTuple`` of values that msgpack can carry. Durations
are milliseconds; a reading named ``*_sent_ms`` is of the sender's monotonic
clock and only the sender compares it.
"""

from typing import NamedTuple

from foxspring_model._job import Priority
from foxspring_model._resources import Resources
from foxspring_model._target import EntryInfo, OwnedTarget, TargetInfo


class EntryHeartbeat(NamedTuple):
    """An entry asks the control leader to renew its lease.

    ``confirmed_revision`` is the configuration in force at the entry and
    ``ownership_version`` the ownership table it holds.
    """

    entry: EntryInfo
    heartbeat_sent_ms: int
    confirmed_revision: int
    ownership_version: int


class EntryLeaseGrant(NamedTuple):
    """The leader's answer to one heartbeat.

    The lease runs for ``lease_ms`` from ``heartbeat_sent_ms``, the entry's own
    reading that is echoed here.
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
    """The configuration in force at ``revision`` as its INI text."""

    revision: int
    text: str


class OwnershipUpdate(NamedTuple):
    """The ownership table, whole or as changes.

    When ``full`` is set the table replaces what the entry holds; otherwise it
    applies on top of ``from_version``.
    """

    full: bool
    from_version: int
    version: int
    entries: tuple[EntryInfo, ...]
    targets: tuple[OwnedTarget, ...]
    removed: tuple[str, ...]


class Proposal(NamedTuple):
    """A command for the replicated log, sent to any control member.

    ``proposal_id`` is chosen by the proposer and kept over its retries;
    ``kind`` names a type in ``foxspring_model.COMMANDS``.
    """

    proposal_id: str
    reply_to: str
    kind: str
    body: bytes


class ProposalResult(NamedTuple):
    """What became of a proposal.

    ``status`` is ``applied`` (``result`` is the state machine's JSON answer),
    ``not_leader`` (try ``leader_id``) or ``unknown`` (it may be applied yet).
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
    """The answer to a query; ``status`` as for :class:`ProposalResult`."""

    query_id: str
    status: str
    leader_id: str = ""
    result: bytes = b""


class RunTask(NamedTuple):
    """The leader offers a placed task to the owner of its target."""

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
    """The leader asks for a task's end; ``checkpoint`` asks to save it first."""

    task_id: str
    epoch: int
    target_id: str
    checkpoint: bool


class ThrottleTask(NamedTuple):
    """The leader sets a task's processor share, in percent of its size."""

    task_id: str
    epoch: int
    target_id: str
    percent: int


class TaskEvent(NamedTuple):
    """What an owner learnt of one task at one epoch.

    ``kind`` is one of ``started``, ``refused`` (never sent to the target),
    ``finished``, ``failed``, ``checkpointed``, ``stopped`` (surely not running,
    ``checkpoint`` is its last) and ``lost`` (its lease has surely ended).
    """

    task_id: str
    epoch: int
    target_id: str
    kind: str
    checkpoint: str = ""
    result: str = ""
    detail: str = ""


class TaskEvents(NamedTuple):
    """Events from an owner, sent again until acknowledged by ``batch_id``."""

    batch_id: str
    entry_id: str
    events: tuple[TaskEvent, ...]


class TaskEventsAck(NamedTuple):
    """The events of the batch are committed."""

    batch_id: str


class UsageSample(NamedTuple):
    """A late measurement of one target.

    ``measured_ms`` is the target's clock. ``latencies`` holds service, p50 and
    p99 in microseconds and the request count; ``running`` the task ids with
    their epochs when it was taken. ``task_usage`` holds task id, thousandths of
    a core and mebibytes of what each task used; it may be empty.

    ``running_version`` counts the changes of ``running`` at the entry that sends
    it. Without ``has_running`` both lists are left out and are as in the entry's
    last sample of that version.
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
    """Measurements an owner passes to the leader."""

    entry_id: str
    samples: tuple[UsageSample, ...]


class TargetSeen(NamedTuple):
    """An entry tells the leader that a target announced itself."""

    entry_id: str
    info: TargetInfo


class EntryLoad(NamedTuple):
    """Free and held request room of one owner, for routing by the others.

    ``services`` holds service, free slots, queued requests and the recent
    latency in microseconds. ``sequence`` orders the figures of one entry.
    """

    entry_id: str
    incarnation: int
    sequence: int
    services: tuple[tuple[str, int, int, int], ...]


class RelayRequest(NamedTuple):
    """A caller's request on its way to an owner.

    ``remaining_ms`` is what is left of the caller's deadline when sent.
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
    avoid: tuple[str, ...] = ()


class RelayAnswer(NamedTuple):
    """An owner's outcome of a relayed request; ``verdict`` as in Verdict."""

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
    """A target's report handed to its owner; ``report`` is the JSON as sent."""

    target_id: str
    report: bytes


class LinkPing(NamedTuple):
    """Asks the other end of a link for a sign of life.

    ``unheard_ms`` is for how long its sender has heard nothing from that end.
    """

    ping_id: int
    unheard_ms: int = 0


class LinkPong(NamedTuple):
    """The sign of life for ``ping_id``."""

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
