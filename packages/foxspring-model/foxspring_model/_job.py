"""Batch jobs, their tasks and the states of a task."""

from enum import StrEnum
from typing import NamedTuple

from foxspring_model._resources import NO_RESOURCES, Resources


class Priority(StrEnum):
    """How soon a task must start and how reluctantly it is evicted."""

    URGENT = "urgent"
    NORMAL = "normal"
    LONG = "long"


class TaskKind(StrEnum):
    """Whether a task is a replica of a service or part of a batch job."""

    SERVICE = "service"
    BATCH = "batch"


class TaskState(StrEnum):
    """The state of a task.

    ``STOPPING`` tasks hold their resources until the stop is confirmed or their
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
    """A job as submitted; all its tasks have the same size.

    ``resources`` is the declared size of one task and ``run_ms`` its estimated
    run time (0 if unknown). ``work_class`` groups tasks that cause similar
    interference with services. ``payload`` is passed to the target unchanged.
    """

    name: str
    team: str
    tasks: int = 1
    resources: Resources = NO_RESOURCES
    priority: Priority = Priority.NORMAL
    work_class: str = "default"
    run_ms: int = 0
    payload: str = ""


class Task(NamedTuple):
    """One task's record in the replicated state.

    ``epoch`` increases with each placement; events of an older epoch are ignored.
    ``attempts`` counts failed runs and ``evictions`` runs ended by the system.
    ``checkpoint`` is an opaque reference issued by the target.
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
