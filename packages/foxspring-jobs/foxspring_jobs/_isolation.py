"""Chooses targets for tasks under which targets have crashed.

Load pattern: a target crashes under many runs, of which mostly one is to blame, and all
of them start again in the next plan, often on the emptiest targets together. If they
shared a target again, its next crash would count for all of them.

Suspects, tasks with at least one crash, therefore avoid each other until their run has
lasted. A task with several crashes is isolated: it goes where the fewest runs are, and
nothing else starts there until its run has lasted or ended. After the loss of several
failure domains there are many such tasks, so only a share of the targets may be closed.
"""

from foxspring_jobs._candidates import PERCENT, Candidate, Effects
from foxspring_jobs._crash_counts import Suspicion
from foxspring_jobs._ranking import Score, ScoreOf
from foxspring_jobs._specs import StepSpec

MAX_ISOLATED_PERCENT = 15
MIN_ISOLATED = 4


def max_isolated(targets: int) -> int:
    """Return how many of that many targets may be closed for isolated tasks."""
    return max(MIN_ISOLATED, targets * MAX_ISOLATED_PERCENT // PERCENT)


def avoiding_suspects(score_of: ScoreOf, step: StepSpec) -> ScoreOf:
    """Return a score with which targets without suspects go first.

    What decides whether a task waits, and whether a target is on probation, goes before
    that.
    """
    before = 1
    if step.long_running:
        before = 2
    elif step.best_effort:
        before = 3

    def score(candidate: Candidate) -> Score:
        values = score_of(candidate)
        has_suspects = candidate.suspicion is not Suspicion.NONE
        return (*values[:before], has_suspects, *values[before:])

    return score


def isolation_score(candidate: Candidate, step: StepSpec, effects: Effects) -> Score:
    """Score a target for an isolated task; the fewest runs are the best.

    The parts before that are those by which a planner decides whether a task waits.
    """
    runs = len(candidate.target.runs) + candidate.started
    if step.long_running:
        return (False, candidate.on_probation, runs)
    if not step.best_effort:
        return (candidate.on_probation, runs)
    risk = candidate.risk(effects, step.image, step.resources.cores_milli)
    return (candidate.on_probation, risk > 1, candidate.is_crowded(step), runs)
