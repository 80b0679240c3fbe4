"""Fair turns: which team places its next task."""

import heapq
from collections.abc import Callable

from foxspring_model.scheduling._queues import TeamQueue
from foxspring_model.scheduling._records import TaskGroup

Share = Callable[[str], float]
TryPlace = Callable[[TaskGroup], bool]
MayGoOn = Callable[[], bool]

_GROUPS_A_TURN = 8


class TeamTurns:
    """The order of teams in one lane over successive calls.

    ``misses`` counts the turns in a row in which a team could place nothing
    while the calls ended early. Such a team goes after the others, so that
    teams that wait for room use up no one else's turn.
    """

    def __init__(self) -> None:
        self.misses: dict[str, int] = {}

    def serve(
        self,
        queues: dict[str, TeamQueue],
        share: Share,
        try_place: TryPlace,
        may_go_on: MayGoOn,
    ) -> None:
        """Place tasks one at a time, each for the team with the least share."""
        turns = [
            (self.misses.get(team, 0), share(team), team)
            for team, queue in queues.items()
            if queue.groups
        ]
        heapq.heapify(turns)
        while turns and may_go_on():
            misses, _, team = heapq.heappop(turns)
            if serve_one(queues[team], try_place, may_go_on):
                heapq.heappush(turns, (0, share(team), team))
            elif queues[team].groups:
                self.misses[team] = misses + 1
        if not turns:
            self.misses.clear()


def serve_one(queue: TeamQueue, try_place: TryPlace, may_go_on: MayGoOn) -> bool:
    """Place one task of the first group of a team that can; tell if any could.

    A few groups are tried in a turn, and each goes to the back of the queue.
    """
    for _ in range(min(_GROUPS_A_TURN, len(queue.groups))):
        if not may_go_on():
            return False
        group = queue.groups[0]
        if not group.waiting:
            queue.delist(group)
            continue
        placed = try_place(group)
        queue.groups.rotate(-1)
        if placed:
            return True
    return False
