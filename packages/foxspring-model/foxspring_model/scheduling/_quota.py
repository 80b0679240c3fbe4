"""Usage of placed tasks by team, checked against the team's quota.

A zero amount in ``Team.max_resources`` leaves that resource unlimited. Service
replicas count toward the usage of a team but are never blocked by its quota.
"""

from foxspring_model._configuration import Team
from foxspring_model._resources import NO_RESOURCES, Resources


class TeamUsage:
    """Number and resources of one team's placed tasks."""

    __slots__ = ("resources", "tasks", "team")

    def __init__(self, team: Team) -> None:
        self.team = team
        self.tasks = 0
        self.resources: Resources = NO_RESOURCES


def exceeded_quota(usage: TeamUsage, need: Resources) -> str:
    """Return why one more task of size ``need`` exceeds the quota, or ``""``.

    Lowering a quota below the current usage blocks new tasks only.
    """
    team = usage.team
    if usage.tasks + 1 > team.max_tasks:
        return (
            f"team {team.name} runs {usage.tasks} of at most {team.max_tasks} tasks;"
            " wait for one to end or raise max_tasks"
        )
    if team.max_resources == NO_RESOURCES:
        return ""
    limits = zip(need._fields, usage.resources, need, team.max_resources, strict=True)
    for name, used, amount, limit in limits:
        if limit and amount and used + amount > limit:
            return (
                f"team {team.name} holds {used} of at most {limit} {name} and the"
                f" task needs {amount}; wait or raise max_resources"
            )
    return ""


class QuotaTracker:
    """Quota usage of every team."""

    def __init__(self) -> None:
        self._usages: dict[str, TeamUsage] = {}
        self._teams: dict[str, Team] = {}

    def set_teams(self, teams: tuple[Team, ...]) -> None:
        """Apply the quotas of a new configuration; the usage is unchanged."""
        self._teams = {team.name: team for team in teams}
        for name, usage in self._usages.items():
            usage.team = self._teams.get(name, Team(name))

    def usage_of(self, team: str) -> TeamUsage:
        """Return the usage of ``team``; a team without a quota has the defaults."""
        usage = self._usages.get(team)
        if usage is None:
            usage = TeamUsage(self._teams.get(team, Team(team)))
            self._usages[team] = usage
        return usage

    def add(self, team: str, amount: Resources) -> None:
        """Add one placed task."""
        usage = self.usage_of(team)
        usage.tasks += 1
        usage.resources = usage.resources.plus(amount)

    def subtract(self, team: str, amount: Resources) -> None:
        """Subtract one placed task."""
        usage = self.usage_of(team)
        usage.tasks -= 1
        usage.resources = usage.resources.minus(amount)

    def share(self, team: str) -> float:
        """Return placed tasks divided by weight; the lowest share is served first."""
        usage = self.usage_of(team)
        return usage.tasks / max(1, usage.team.weight)
