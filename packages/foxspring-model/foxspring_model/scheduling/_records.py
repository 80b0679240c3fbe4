"""The scheduler's records of tasks and of groups of tasks with the same shape."""

from __future__ import annotations

from collections import deque
from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple

from foxspring_model._job import Priority, Task, TaskKind, TaskState
from foxspring_model._resources import NO_RESOURCES, Resources

if TYPE_CHECKING:
    from foxspring_model.scheduling._sizes import ObservedUsage

UNTHROTTLED_PERCENT = 100


class Lane(IntEnum):
    """Class of queued tasks; the lowest value is served first."""

    SERVICE = 0
    URGENT = 1
    BATCH = 2


class Shape(NamedTuple):
    """The attributes that tasks of one job have in common."""

    job_id: str
    kind: TaskKind
    team: str
    resources: Resources
    priority: Priority
    work_class: str


def job_key(task: Task) -> str:
    """Return the job of ``task``; replicas share ``service/NAME``."""
    if task.kind is TaskKind.SERVICE or not task.job_id:
        return task.task_id.rpartition("/")[0]
    return task.job_id


def shape_of(task: Task) -> Shape:
    """Return the attributes of ``task`` that are common to its job."""
    return Shape(
        job_key(task),
        task.kind,
        task.team,
        task.resources,
        task.priority,
        task.work_class,
    )


class TaskGroup:
    """The tasks of one shape.

    ``members`` counts its tasks, ``placed`` those that hold resources on a target.
    ``waiting`` holds the waiting task ids in order of arrival, ``None`` if empty.
    ``observed_usage`` is ``None`` until usage was measured.
    """

    __slots__ = (
        "lane",
        "members",
        "observed_usage",
        "placed",
        "service",
        "shape",
        "waiting",
    )

    def __init__(self, shape: Shape) -> None:
        self.shape = shape
        self.members = 0
        self.placed = 0
        self.observed_usage: ObservedUsage | None = None
        self.waiting: deque[str] | None = None
        self.service = ""
        self.lane = Lane.BATCH
        if shape.kind is TaskKind.SERVICE:
            self.service = shape.job_id.rpartition("/")[2]
            self.lane = Lane.SERVICE
        elif shape.priority is Priority.URGENT:
            self.lane = Lane.URGENT

    def push(self, task_id: str) -> None:
        """Append a task to the waiting ones."""
        if self.waiting is None:
            self.waiting = deque()
        self.waiting.append(task_id)

    def pop(self) -> None:
        """Remove the first waiting task, if there is one."""
        if self.waiting is None:
            return
        self.waiting.popleft()
        if not self.waiting:
            self.waiting = None


class TaskRecord:
    """One task as of its last update from the replicated state.

    ``target_id`` is the target on which the task holds ``held``: the one where it
    is placed, the one of a placement that is not committed yet (until
    ``pending_until_ms``), or the one where capacity is being freed for its claim
    (until ``claim_until_ms``); times that do not apply are 0. ``since_ms`` is when
    the task last changed state or epoch, and ``saved_ms`` when its run began or
    its last checkpoint was recorded. A decided eviction waits for its commit until
    ``evicting_until_ms``. ``not_before_ms`` is the end of its back-off delay.
    """

    __slots__ = (
        "attempts",
        "checkpoint_hash",
        "claim_until_ms",
        "epoch",
        "evicting_until_ms",
        "evictions",
        "failed_targets",
        "group",
        "held",
        "in_queue",
        "last_run_evicted",
        "not_before_ms",
        "pending_until_ms",
        "resumed",
        "saved_ms",
        "since_ms",
        "starting",
        "state",
        "target_id",
        "task_id",
        "throttle",
    )

    def __init__(self, task_id: str, group: TaskGroup) -> None:
        self.task_id = task_id
        self.group = group
        self.state = TaskState.QUEUED
        self.epoch = -1
        self.target_id = ""
        self.held: Resources = NO_RESOURCES
        self.attempts = 0
        self.evictions = 0
        self.resumed = 0
        self.failed_targets: tuple[str, ...] = ()
        self.last_run_evicted = False
        self.checkpoint_hash = 0
        self.since_ms = 0
        self.saved_ms = 0
        self.not_before_ms = 0
        self.pending_until_ms = 0
        self.claim_until_ms = 0
        self.evicting_until_ms = 0
        self.throttle = UNTHROTTLED_PERCENT
        self.starting = False
        self.in_queue = False
