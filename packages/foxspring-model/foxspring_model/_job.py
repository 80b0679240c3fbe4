"""Batch jobs, the tasks they are made of, and how a task may change state."""

from enum import StrEnum
from typing import NamedTuple

from foxspring_model._resources import NOTHING, Resources


class Priority(StrEnum):
    """How soon a task must start and how late it may be evicted."""

    URGENT = "urgent"
    NORMAL = "normal"
    LONG = "long"


class TaskKind(StrEnum):
    """Whether a task is a replica of a service or part of a batch job."""

    SERVICE = "service"
    BATCH = "batch"


class TaskState(StrEnum):
    """Where a task stands.

    ``STOPPING`` tasks hold their place until the stop is confirmed or their
    lease has ended.
    """

    QUEUED = "queued"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"


PLACED_STATES = frozenset({TaskState.STARTING, TaskState.RUNNING, TaskState.STOPPING})
ENDED_STATES = frozenset({TaskState.FINISHED, TaskState.FAILED, TaskState.CANCELLED})


class JobSpec(NamedTuple):
    """What a submitter asks for; every task of the job is of the same size.

    ``resources`` is the declared size of one task and ``run_ms`` its guessed
    run time (0 if unknown). ``work_class`` groups tasks that disturb services
    alike. ``payload`` is handed to the target as it is.
    """

    name: str
    team: str
    tasks: int = 1
    resources: Resources = NOTHING
    priority: Priority = Priority.NORMAL
    work_class: str = "default"
    run_ms: int = 0
    payload: str = ""


class Task(NamedTuple):
    """One task's record in the replicated state.

    ``epoch`` grows with each placement; what comes from an older epoch
    changes nothing. ``attempts`` counts failed runs and ``evictions`` runs
    ended by the system. ``checkpoint`` is the target's opaque reference.
    """

    task_id: str
    job_id: str
    kind: TaskKind
    team: str
    resources: Resources
    priority: Priority
    work_class: str
    state: TaskState = TaskState.QUEUED
    epoch: int = 0
    target_id: str = ""
    attempts: int = 0
    evictions: int = 0
    resumed: int = 0
    checkpoint: str = ""
    result: str = ""
    reason: str = ""
    changed_ms: int = 0
    failed_targets: tuple[str, ...] = ()
