"""Queues of waiting tasks by lane and team, and the tasks in a back-off delay."""

import heapq
from collections import deque

from foxspring_model.scheduling._records import Lane, TaskGroup, TaskRecord


class TeamQueue:
    """One team's groups with waiting tasks, served round-robin."""

    __slots__ = ("group_ids", "groups")

    def __init__(self) -> None:
        self.groups: deque[TaskGroup] = deque()
        self.group_ids: set[int] = set()

    def enqueue(self, group: TaskGroup) -> None:
        """Append ``group`` unless it is in the queue."""
        if id(group) not in self.group_ids:
            self.group_ids.add(id(group))
            self.groups.append(group)

    def dequeue(self, group: TaskGroup) -> None:
        """Remove ``group``, which must be the first of the queue."""
        self.groups.popleft()
        self.group_ids.discard(id(group))


class WaitingTasks:
    """Queues of every lane and team.

    A task that no longer waits stays in its queue until it reaches the front.
    """

    def __init__(self) -> None:
        self.lanes: dict[Lane, dict[str, TeamQueue]] = {lane: {} for lane in Lane}
        self.delayed: list[tuple[int, str]] = []

    def add(self, record: TaskRecord, now_ms: int) -> None:
        """Queue a task, or delay it until its ``not_before_ms``."""
        if record.not_before_ms > now_ms:
            heapq.heappush(self.delayed, (record.not_before_ms, record.task_id))
            return
        if record.in_queue:
            return
        record.in_queue = True
        group = record.group
        group.push(record.task_id)
        teams = self.lanes[group.lane]
        queue = teams.get(group.shape.team)
        if queue is None:
            queue = TeamQueue()
            teams[group.shape.team] = queue
        queue.enqueue(group)

    def pop_due(self, now_ms: int) -> list[str]:
        """Remove and return the delayed tasks whose delay has ended."""
        ready = []
        while self.delayed and self.delayed[0][0] <= now_ms:
            ready.append(heapq.heappop(self.delayed)[1])
        return ready
