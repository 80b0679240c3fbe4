"""Commands of the replicated log: every change of the replicated state.

Each log entry carries ``at_ms``, the wall clock of the leader that proposed it,
which is recorded in the audit log.
"""

from typing import NamedTuple

from foxspring_model._job import JobSpec
from foxspring_model._messages import TaskEvent
from foxspring_model._target import EntryInfo, TargetInfo


class ApplyConfiguration(NamedTuple):
    """Replace the configuration if ``base_revision`` is the one in force."""

    change_id: str
    operator: str
    base_revision: int
    text: str


class SubmitJob(NamedTuple):
    """Add a job; the same ``change_id`` always gives the same job id."""

    change_id: str
    submitter: str
    spec: JobSpec


class CancelJobs(NamedTuple):
    """Cancel jobs; a job that has already ended is reported and is not an error."""

    change_id: str
    operator: str
    job_ids: tuple[str, ...]


class DrainTarget(NamedTuple):
    """Stop placing work on a target, or allow it again."""

    change_id: str
    operator: str
    target_id: str
    draining: bool


class RegisterTarget(NamedTuple):
    """Record a target's announcement."""

    info: TargetInfo


class RemoveTarget(NamedTuple):
    """Remove a target not heard from until every lease that it may hold has ended."""

    target_id: str
    incarnation: int


class RegisterEntry(NamedTuple):
    """Record an entry's incarnation, addresses and draining state."""

    entry: EntryInfo


class RemoveEntry(NamedTuple):
    """Remove an entry whose lease has certainly expired."""

    entry_id: str
    incarnation: int


class OwnerAssignment(NamedTuple):
    """A target's next owner; with an empty ``entry_id`` it has none."""

    target_id: str
    entry_id: str


class AssignOwners(NamedTuple):
    """Change owners; the owner epoch of each changed target increases by one."""

    assignments: tuple[OwnerAssignment, ...]


class Placement(NamedTuple):
    """A queued task's next target; ``epoch`` is the epoch of the new run."""

    task_id: str
    epoch: int
    target_id: str


class PlaceTasks(NamedTuple):
    """Place queued tasks; a placement that is no longer valid is skipped."""

    placements: tuple[Placement, ...]


class Eviction(NamedTuple):
    """A placed task to be checkpointed and stopped."""

    task_id: str
    epoch: int
    reason: str


class EvictTasks(NamedTuple):
    """Begin evictions; the tasks hold their resources until they have stopped."""

    evictions: tuple[Eviction, ...]


class RecordTaskEvents(NamedTuple):
    """Apply task events reported by owners; events of an older epoch are ignored.

    ``entry_id`` names the reporting entry; it is empty if control itself has
    established that every lease has ended.
    """

    events: tuple[TaskEvent, ...]
    entry_id: str = ""


class EndTasks(NamedTuple):
    """End queued tasks that can never run as failed, with the reason."""

    task_ids: tuple[str, ...]
    reason: str


class ClaimKey(NamedTuple):
    """Claim an idempotency key for one entry before its request is sent.

    ``fingerprint`` is a digest of the request that carried the key. A claim that is
    sent again with the same ``claim_id`` succeeds again; if ``claim_id`` is empty,
    control sets it to the id of the proposal.
    """

    key: str
    fingerprint: str
    entry_id: str
    incarnation: int
    claim_id: str = ""


class CompleteKey(NamedTuple):
    """Record the outcome of a claimed key.

    A ``verdict`` of ``not_run`` releases the key if ``claim_id`` is that of the
    claim: another request with this key at the same entry may be the one that runs.
    """

    key: str
    entry_id: str
    incarnation: int
    verdict: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    claim_id: str = ""


class RecordMemberChange(NamedTuple):
    """Record in the audit log that a person added or removed a control member."""

    operator: str
    action: str
    member_id: str
    outcome: str


COMMANDS = (
    ApplyConfiguration,
    SubmitJob,
    CancelJobs,
    DrainTarget,
    RegisterTarget,
    RemoveTarget,
    RegisterEntry,
    RemoveEntry,
    AssignOwners,
    PlaceTasks,
    EvictTasks,
    RecordTaskEvents,
    EndTasks,
    ClaimKey,
    CompleteKey,
    RecordMemberChange,
)
