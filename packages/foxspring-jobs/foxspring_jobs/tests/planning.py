"""Plans over the targets of a state, for tests."""

from collections.abc import Callable, Iterable, Set

from foxspring_jobs._candidates import Candidate, StepKey
from foxspring_jobs._commands import RunStart
from foxspring_jobs._interference import Interference
from foxspring_jobs._placement import Planner
from foxspring_jobs._restarts import RestartLimits
from foxspring_jobs._state import State
from foxspring_jobs._waiting import OverdueSteps, WaitingStep, waiting_steps


def plan(
    state: State,
    interference: Interference | None = None,
    *,
    wall_ms: int = 0,
    overdue_restarts: Set[StepKey] = frozenset(),
    steps: Iterable[WaitingStep] | None = None,
    candidates: Iterable[Candidate] | None = None,
    holding: Set[StepKey] = frozenset(),
    is_over: Callable[[], bool] = lambda: False,
) -> list[RunStart]:
    """Return the starts of a plan of all waiting steps, or of the given ones.

    Without ``candidates`` these are all targets of the state.
    """
    if candidates is None:
        candidates = [Candidate(target) for target in state.targets.values()]
    if steps is None:
        steps = waiting_steps(state, wall_ms, OverdueSteps(overdue_restarts))
    limits = RestartLimits(holding)
    planner = Planner(
        state, candidates, interference or Interference(), restart_limits=limits
    )
    return planner.plan(steps, is_over)


def jobs_of(starts: Iterable[RunStart]) -> list[str]:
    """Return the ids of the jobs that get the starts."""
    return [start.run.task.job_id for start in starts]
