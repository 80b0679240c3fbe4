"""What each team's placed tasks hold, against the team's quota.

A zero amount in ``Team.max_resources`` means that resource has no limit.
Service replicas count toward a team's use but are never held back by it.
"""

from foxspring_model._configuration import Team
from foxspring_model._resources import NOTHING, Resources


class TeamUse:
    """Tasks and resources that one team's placed tasks hold."""

    __slots__ = ("resources", "tasks", "team")

    def __init__(self, team: Team) -> None:
        self.team = team
        self.tasks = 0
        self.resources: Resources = NOTHING


def refusal(use: TeamUse, need: Resources) -> str:
    """Return why one more task of ``need`` exceeds the quota, or ``""``.

    A quota lowered below what is used refuses new work only.
    """
    team = use.team
    if use.tasks + 1 > team.max_tasks:
        return (
            f"team {team.name} runs {use.tasks} of at most {team.max_tasks} tasks;"
            " wait for one to end or raise max_tasks"
        )
    if team.max_resources == NOTHING:
        return ""
    limits = zip(need._fields, use.resources, need, team.max_resources, strict=True)
    for name, used, amount, limit in limits:
        if limit and amount and used + amount > limit:
            return (
                f"team {team.name} holds {used} of at most {limit} {name} and the"
                f" task needs {amount}; wait or raise max_resources"
            )
    return ""


class QuotaLedger:
    """Use of every team; a reservation belongs to the task that holds it."""

    def __init__(self) -> None:
        self._uses: dict[str, TeamUse] = {}
        self._teams: dict[str, Team] = {}

    def set_teams(self, teams: tuple[Team, ...]) -> None:
        """Take the quotas of a new configuration; what is used stays."""
        self._teams = {team.name: team for team in teams}
        for name, use in self._uses.items():
            use.team = self._teams.get(name, Team(name))

    def use_of(self, team: str) -> TeamUse:
        """Return the use of ``team``; one without a quota has the defaults."""
        use = self._uses.get(team)
        if use is None:
            use = TeamUse(self._teams.get(team, Team(team)))
            self._uses[team] = use
        return use

    def add(self, team: str, amount: Resources) -> None:
        """Count one more placed task."""
        use = self.use_of(team)
        use.tasks += 1
        use.resources = use.resources.plus(amount)

    def subtract(self, team: str, amount: Resources) -> None:
        """Count one placed task less."""
        use = self.use_of(team)
        use.tasks -= 1
        use.resources = use.resources.minus(amount)

    def share(self, team: str) -> float:
        """Return held tasks divided by weight; the least is served first."""
        use = self.use_of(team)
        return use.tasks / max(1, use.team.weight)
