"""Answers of the state machine to commands and queries, as JSON objects."""

from typing import NotRequired, TypedDict


class CommandResult(TypedDict):
    """The answer to a command.

    ``status`` is ``ok``, ``conflict`` (another change won; ``revision`` and
    ``won_by`` say which) or ``rejected`` (``reason`` says why and how to fix
    it). ``job_id``, ``cancelled`` and ``already_ended`` answer job commands;
    ``key_state`` is ``claimed``, ``pending``, ``done`` or ``mismatch``.
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
    """One task as operators see it."""

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
    """One job as operators see it; ``waits_for`` gives each reason's figures."""

    job_id: str
    name: str
    team: str
    state: str
    submitted_ms: int
    tasks: list[TaskView]
    waits_for: list[str]


class AuditRecord(TypedDict):
    """One change of the replicated state that a person asked for."""

    index: int
    at_ms: int
    who: str
    change_id: str
    action: str
    before: str
    after: str
    outcome: str
