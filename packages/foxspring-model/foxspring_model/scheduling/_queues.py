"""Queued tasks by lane and team, and those that wait for a time."""

import heapq
from collections import deque

from foxspring_model.scheduling._records import Lane, TaskGroup, TaskRecord


class TeamQueue:
    """One team's groups with waiting tasks, served in turn."""

    __slots__ = ("groups", "listed")

    def __init__(self) -> None:
        self.groups: deque[TaskGroup] = deque()
        self.listed: set[int] = set()

    def enlist(self, group: TaskGroup) -> None:
        """Give ``group`` a turn unless it has one."""
        if id(group) not in self.listed:
            self.listed.add(id(group))
            self.groups.append(group)

    def delist(self, group: TaskGroup) -> None:
        """Take the turn of the group at the front."""
        self.groups.popleft()
        self.listed.discard(id(group))


class WaitingTasks:
    """Queues of every lane and team; removal is lazy, so it costs nothing."""

    def __init__(self) -> None:
        self.lanes: dict[Lane, dict[str, TeamQueue]] = {lane: {} for lane in Lane}
        self.delayed: list[tuple[int, str]] = []

    def add(self, record: TaskRecord, now_ms: int) -> None:
        """Queue a task, or hold it back until its ``not_before_ms``."""
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
        queue.enlist(group)

    def due(self, now_ms: int) -> list[str]:
        """Return and forget the delayed tasks whose time has come."""
        ready = []
        while self.delayed and self.delayed[0][0] <= now_ms:
            ready.append(heapq.heappop(self.delayed)[1])
        return ready
