"""Mitigates interference with serving tasks whose tails are near their target.

Load pattern: a best-effort task with an unknown image starts beside serving tasks, or
their own load rises, and their tail latencies grow within seconds. The best-effort
tasks that explain most of it are moved away if they keep checkpoints and another target
suits them; otherwise they are paced, that is, limited to a share of their CPU time. The
pace is raised again once there is headroom.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from foxspring_jobs._commands import RunKey
from foxspring_jobs._interference import MILLICORES_PER_CORE, Interference

PERCENT = 100
NEAR_TARGET_SHARE = 0.95
GOAL_SHARE = 0.85
REMOVE_ALL_AFTER_MS = 1_200
PACE_STEP_PERCENT = 10
MIN_RAISE_PERCENT = 20
MIN_PACE_PERCENT = 30
MIN_CONTRIBUTION = 0.01


class ServingTask(NamedTuple):
    """A running task with a latency target.

    ``own_pressure`` is the pressure that it causes by itself. ``over_target_ms`` is how
    long every poll has shown it over its latency target.
    """

    image: str
    target_ms: int
    tail_ms: int
    own_pressure: float
    over_target_ms: int = 0


class BestEffortRun(NamedTuple):
    """A best-effort run; ``cores_milli`` is what it uses without pacing."""

    run: RunKey
    image: str
    cores_milli: int
    pace: int
    movable: bool


class Pace(NamedTuple):
    """Limit a best-effort run to a share of its CPU time."""

    run: RunKey
    percent: int


class Move(NamedTuple):
    """Stop a best-effort run so that it continues on another target."""

    run: RunKey


Mitigation = Pace | Move
CanMove = Callable[[BestEffortRun], bool]


def mitigate(
    serving: Sequence[ServingTask],
    best_effort_runs: Sequence[BestEffortRun],
    interference: Interference,
    can_move: CanMove,
) -> list[Mitigation]:
    """Return what to change on one target, based on its newest measurements."""
    if not serving or not best_effort_runs:
        return []
    if any(row.over_target_ms >= REMOVE_ALL_AFTER_MS for row in serving):
        return _remove_all(best_effort_runs)
    near_target = [
        row for row in serving if row.tail_ms > row.target_ms * NEAR_TARGET_SHARE
    ]
    if near_target:
        return _reduce_interference(
            near_target, best_effort_runs, interference, can_move
        )
    return _raise_pace(serving, best_effort_runs, interference)


def _remove_all(best_effort_runs: Sequence[BestEffortRun]) -> list[Mitigation]:
    """Move or stop all best-effort runs, since selective mitigation did not help."""
    active = [best_effort for best_effort in best_effort_runs if best_effort.pace > 0]
    return [
        Move(best_effort.run) if best_effort.movable else Pace(best_effort.run, 0)
        for best_effort in active
    ]


def _goal_pressure(row: ServingTask, interference: Interference) -> float:
    return interference.pressure(row.image, row.target_ms * GOAL_SHARE, row.target_ms)


def _contribution(
    best_effort: BestEffortRun, image: str, interference: Interference
) -> float:
    cores = best_effort.cores_milli * best_effort.pace / PERCENT / MILLICORES_PER_CORE
    return interference.effect(image, best_effort.image) * cores


def _reduce_interference(
    near_target: Sequence[ServingTask],
    best_effort_runs: Sequence[BestEffortRun],
    interference: Interference,
    can_move: CanMove,
) -> list[Mitigation]:
    chosen: dict[RunKey, Mitigation] = {}
    for row in sorted(near_target, key=lambda r: r.tail_ms / r.target_ms, reverse=True):
        measured = interference.pressure(row.image, row.tail_ms, row.target_ms)
        excess = measured - _goal_pressure(row, interference)
        contributions = [
            (_contribution(best_effort, row.image, interference), best_effort)
            for best_effort in best_effort_runs
        ]
        contributions.sort(key=lambda pair: pair[0], reverse=True)
        for contribution, best_effort in contributions:
            if excess <= 0 or contribution < MIN_CONTRIBUTION:
                break
            if best_effort.run not in chosen:
                chosen[best_effort.run] = _mitigation_of(
                    best_effort, contribution, excess, can_move
                )
            excess -= contribution
    return list(chosen.values())


def _mitigation_of(
    best_effort: BestEffortRun, contribution: float, excess: float, can_move: CanMove
) -> Mitigation:
    kept = max(0.0, 1.0 - excess / contribution) * best_effort.pace
    pace = int(kept) // PACE_STEP_PERCENT * PACE_STEP_PERCENT
    if best_effort.movable and (pace < MIN_PACE_PERCENT or can_move(best_effort)):
        return Move(best_effort.run)
    return Pace(best_effort.run, pace)


def _raise_pace(
    serving: Sequence[ServingTask],
    best_effort_runs: Sequence[BestEffortRun],
    interference: Interference,
) -> list[Mitigation]:
    for best_effort in best_effort_runs:
        if best_effort.pace >= PERCENT:
            continue
        headroom = min(
            _headroom(row, best_effort_runs, interference) for row in serving
        )
        cost = max(interference.effect(row.image, best_effort.image) for row in serving)
        full_pressure = cost * best_effort.cores_milli / MILLICORES_PER_CORE
        more = int(headroom / full_pressure * PERCENT) if full_pressure > 0 else PERCENT
        pace = min(
            PERCENT, best_effort.pace + more // PACE_STEP_PERCENT * PACE_STEP_PERCENT
        )
        if pace - best_effort.pace >= MIN_RAISE_PERCENT or pace == PERCENT:
            return [Pace(best_effort.run, pace)]
    return []


def _headroom(
    row: ServingTask,
    best_effort_runs: Sequence[BestEffortRun],
    interference: Interference,
) -> float:
    total = sum(
        _contribution(best_effort, row.image, interference)
        for best_effort in best_effort_runs
    )
    return _goal_pressure(row, interference) - row.own_pressure - total
