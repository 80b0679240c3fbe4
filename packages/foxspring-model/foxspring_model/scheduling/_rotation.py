"""Fair turns: which team places its next task."""

import heapq
from collections.abc import Callable

from foxspring_model.scheduling._queues import TeamQueue
from foxspring_model.scheduling._records import Lane, TaskGroup

Share = Callable[[str], float]
TryPlace = Callable[[TaskGroup], bool]


def serve_teams(
    lane: Lane,
    queues: dict[str, TeamQueue],
    share: Share,
    try_place: TryPlace,
    may_go_on: Callable[[], bool],
) -> None:
    """Place tasks one at a time, each for the team with the least share.

    A team leaves the call when none of its groups can place a task, so one
    that waits for room delays none of the others.
    """
    turns = [(share(team), team) for team, queue in queues.items() if queue.groups]
    heapq.heapify(turns)
    while turns and may_go_on():
        _, team = heapq.heappop(turns)
        if serve_one(queues[team], try_place, may_go_on):
            heapq.heappush(turns, (share(team), team))


def serve_one(
    queue: TeamQueue, try_place: TryPlace, may_go_on: Callable[[], bool]
) -> bool:
    """Place one task of the first group of a team that can; tell if any could.

    The group that was served goes to the back of the team's turns.
    """
    for _ in range(len(queue.groups)):
        group = queue.groups[0]
        if not group.waiting:
            queue.delist(group)
            continue
        placed = try_place(group)
        queue.groups.rotate(-1)
        if placed:
            return True
        if not may_go_on():
            return False
    return False
