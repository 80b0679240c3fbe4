"""Commands of the replicated log: every change of the replicated state.

``at_ms`` is the wall clock of the leader that proposed it, for the audit.
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
    """Cancel jobs; cancelling one that ended is answered, not an error."""

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
    """Forget a target that is silent past every lease it can hold."""

    target_id: str
    incarnation: int


class RegisterEntry(NamedTuple):
    """Record an entry's incarnation, addresses and draining state."""

    entry: EntryInfo


class RemoveEntry(NamedTuple):
    """Forget an entry whose lease has surely ended."""

    entry_id: str
    incarnation: int


class OwnerAssignment(NamedTuple):
    """A target's next owner; an empty ``entry_id`` leaves it without one."""

    target_id: str
    entry_id: str


class AssignOwners(NamedTuple):
    """Change owners; each changed target's owner epoch grows by one."""

    assignments: tuple[OwnerAssignment, ...]


class Placement(NamedTuple):
    """A queued task's next target; ``epoch`` is the one it will run at."""

    task_id: str
    epoch: int
    target_id: str


class PlaceTasks(NamedTuple):
    """Place queued tasks; a placement that no longer holds is skipped."""

    placements: tuple[Placement, ...]


class Eviction(NamedTuple):
    """A placed task to be checkpointed and stopped."""

    task_id: str
    epoch: int
    reason: str


class EvictTasks(NamedTuple):
    """Begin evictions; the tasks hold their place until they have stopped."""

    evictions: tuple[Eviction, ...]


class RecordTaskEvents(NamedTuple):
    """Apply what owners learnt; events of an older epoch change nothing.

    ``entry_id`` names the reporter; it is empty where control itself knows
    that every lease has ended.
    """

    events: tuple[TaskEvent, ...]
    entry_id: str = ""


class EndTasks(NamedTuple):
    """Give up on queued tasks that can never run, with the reason."""

    task_ids: tuple[str, ...]
    reason: str


class ClaimKey(NamedTuple):
    """Claim an idempotency key for one entry before its request is sent.

    ``fingerprint`` is a digest of the request that the key came with. A claim
    sent again with its own ``claim_id`` is still claimed; control fills in the
    proposal's id where it is empty.
    """

    key: str
    fingerprint: str
    entry_id: str
    incarnation: int
    claim_id: str = ""


class CompleteKey(NamedTuple):
    """Record the outcome of a claimed key.

    ``verdict`` of ``not_run`` frees the key, if ``claim_id`` is that of the
    claim: another arrival at the same entry may be the one that runs.
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
    """Note in the audit that a person added or removed a control member."""

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
