"""Fair sharing: which team places its next task."""

import heapq
from collections.abc import Callable

from foxspring_model.scheduling._queues import TeamQueue
from foxspring_model.scheduling._records import TaskGroup

Share = Callable[[str], float]
TryPlace = Callable[[TaskGroup], bool]
HasBudget = Callable[[], bool]

_GROUPS_PER_TURN = 8


class FairShareOrder:
    """The order of teams in one lane over successive calls.

    ``failed_turns`` counts a team's consecutive turns without a placement in calls
    that ran out of budget. Such a team is served after the others, so that teams
    whose tasks fit nowhere do not use up the budget of the others.
    """

    def __init__(self) -> None:
        self.failed_turns: dict[str, int] = {}

    def serve(
        self,
        queues: dict[str, TeamQueue],
        share: Share,
        try_place: TryPlace,
        has_budget: HasBudget,
    ) -> None:
        """Place tasks one at a time, always for the team with the lowest share."""
        turns = [
            (self.failed_turns.get(team, 0), share(team), team)
            for team, queue in queues.items()
            if queue.groups
        ]
        heapq.heapify(turns)
        while turns and has_budget():
            failed_turns, _, team = heapq.heappop(turns)
            if serve_one(queues[team], try_place, has_budget):
                heapq.heappush(turns, (0, share(team), team))
            elif queues[team].groups:
                self.failed_turns[team] = failed_turns + 1
        if not turns:
            self.failed_turns.clear()


def serve_one(queue: TeamQueue, try_place: TryPlace, has_budget: HasBudget) -> bool:
    """Place one task of a team and return whether one was placed.

    Up to ``_GROUPS_PER_TURN`` groups are tried, and each moves to the back of the
    queue.
    """
    for _ in range(min(_GROUPS_PER_TURN, len(queue.groups))):
        if not has_budget():
            return False
        group = queue.groups[0]
        if not group.waiting:
            queue.dequeue(group)
            continue
        placed = try_place(group)
        queue.groups.rotate(-1)
        if placed:
            return True
    return False
