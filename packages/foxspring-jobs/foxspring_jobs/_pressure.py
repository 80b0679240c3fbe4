"""What to do about fills beside tasks whose tails are near their target.

Load pattern: a fill of an unknown kind begins beside serving tasks, or their
own load swings up, and their tails rise within seconds. The fills that explain
most are moved away if they keep checkpoints and find a better place, else
paced; paced ones are let go again once there is room for them.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from foxspring_jobs._commands import RunKey
from foxspring_jobs._interference import CORE, Interference

PERCENT = 100
PRESSED_SHARE = 0.95
GOAL_SHARE = 0.85
CLEAR_AFTER_MS = 1_200
PACE_STEP_PERCENT = 10
LEAST_RAISE_PERCENT = 20
LEAST_PACE_PERCENT = 30
LEAST_SHARE = 0.01


class ServingRow(NamedTuple):
    """A task with a latency target, at work; ``own`` is its own pressure.

    ``over_ms`` is for how long every look has shown it over its target.
    """

    image: str
    target_ms: int
    tail_ms: int
    own: float
    over_ms: int = 0


class FillRow(NamedTuple):
    """A fill; ``cores_milli`` is what it uses at full pace."""

    run: RunKey
    image: str
    cores_milli: int
    pace: int
    movable: bool


class Pace(NamedTuple):
    """Let a fill use only a share of its processor time."""

    run: RunKey
    percent: int


class Move(NamedTuple):
    """Stop a fill so that it goes on elsewhere."""

    run: RunKey


Relief = Pace | Move
HasPlace = Callable[[FillRow], bool]


def relieve(
    serving: Sequence[ServingRow],
    fills: Sequence[FillRow],
    table: Interference,
    has_place: HasPlace,
) -> list[Relief]:
    """Return what to change on one target, from its newest measurements."""
    if not serving or not fills:
        return []
    if any(row.over_ms >= CLEAR_AFTER_MS for row in serving):
        return _clear(fills)
    pressed = [row for row in serving if row.tail_ms > row.target_ms * PRESSED_SHARE]
    if pressed:
        return _press_down(pressed, fills, table, has_place)
    return _let_go(serving, fills, table)


def _clear(fills: Sequence[FillRow]) -> list[Relief]:
    """Take every fill away: what the table blames did not help."""
    active = [fill for fill in fills if fill.pace > 0]
    return [Move(fill.run) if fill.movable else Pace(fill.run, 0) for fill in active]


def _goal(row: ServingRow, table: Interference) -> float:
    return table.pressure(row.image, row.target_ms * GOAL_SHARE, row.target_ms)


def _blame(fill: FillRow, image: str, table: Interference) -> float:
    cores = fill.cores_milli * fill.pace / PERCENT / CORE
    return table.effect(image, fill.image) * cores


def _press_down(
    pressed: Sequence[ServingRow],
    fills: Sequence[FillRow],
    table: Interference,
    has_place: HasPlace,
) -> list[Relief]:
    chosen: dict[RunKey, Relief] = {}
    for row in sorted(pressed, key=lambda r: r.tail_ms / r.target_ms, reverse=True):
        measured = table.pressure(row.image, row.tail_ms, row.target_ms)
        excess = measured - _goal(row, table)
        blamed = [(_blame(fill, row.image, table), fill) for fill in fills]
        blamed.sort(key=lambda pair: pair[0], reverse=True)
        for share, fill in blamed:
            if excess <= 0 or share < LEAST_SHARE:
                break
            if fill.run not in chosen:
                chosen[fill.run] = _relief(fill, share, excess, has_place)
            excess -= share
    return list(chosen.values())


def _relief(fill: FillRow, share: float, excess: float, has_place: HasPlace) -> Relief:
    kept = max(0.0, 1.0 - excess / share) * fill.pace
    pace = int(kept) // PACE_STEP_PERCENT * PACE_STEP_PERCENT
    if fill.movable and (pace < LEAST_PACE_PERCENT or has_place(fill)):
        return Move(fill.run)
    return Pace(fill.run, pace)


def _let_go(
    serving: Sequence[ServingRow], fills: Sequence[FillRow], table: Interference
) -> list[Relief]:
    for fill in fills:
        if fill.pace >= PERCENT:
            continue
        spare = min(_spare(row, fills, table) for row in serving)
        cost = max(table.effect(row.image, fill.image) for row in serving)
        whole = cost * fill.cores_milli / CORE
        more = int(spare / whole * PERCENT) if whole > 0 else PERCENT
        pace = min(PERCENT, fill.pace + more // PACE_STEP_PERCENT * PACE_STEP_PERCENT)
        if pace - fill.pace >= LEAST_RAISE_PERCENT or pace == PERCENT:
            return [Pace(fill.run, pace)]
    return []


def _spare(row: ServingRow, fills: Sequence[FillRow], table: Interference) -> float:
    held = sum(_blame(fill, row.image, table) for fill in fills)
    return _goal(row, table) - row.own - held
