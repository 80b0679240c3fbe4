"""Results of commands and queries of the state machine, as JSON objects."""

from typing import NotRequired, TypedDict


class CommandResult(TypedDict):
    """The result of a command.

    ``status`` is ``ok``, ``conflict`` (another change was applied first, identified
    by ``revision`` and ``won_by``) or ``rejected`` (``reason`` states why and how
    to fix it). ``job_id``, ``cancelled`` and ``already_ended`` are set for job
    commands; ``key_state`` is ``claimed``, ``pending``, ``done`` or ``mismatch``.
    """

    status: str
    reason: NotRequired[str]
    revision: NotRequired[int]
    won_by: NotRequired[str]
    job_id: NotRequired[str]
    cancelled: NotRequired[list[str]]
    already_ended: NotRequired[list[str]]
    key_state: NotRequired[str]
    key_verdict: NotRequired[str]
    key_status: NotRequired[int]
    key_headers: NotRequired[list[list[str]]]
    key_body: NotRequired[str]


class TaskView(TypedDict):
    """One task as shown to operators."""

    task_id: str
    job_id: str
    kind: str
    team: str
    state: str
    epoch: int
    target_id: str
    attempts: int
    evictions: int
    resumed: int
    checkpoint: str
    result: str
    reason: str


class JobView(TypedDict):
    """One job as shown to operators; ``waits_for`` lists reasons with their figures."""

    job_id: str
    name: str
    team: str
    state: str
    submitted_ms: int
    tasks: list[TaskView]
    waits_for: list[str]


class AuditRecord(TypedDict):
    """One change of the replicated state that a person requested."""

    index: int
    at_ms: int
    who: str
    change_id: str
    action: str
    before: str
    after: str
    outcome: str
