"""The schedule of a soak test's faults, generated from a seed."""

import random
from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple

_FAULT_FREE_START_S = 2.0
_MIN_GAP_S = 1.0
_MAX_GAP_S = 4.0
_MIN_FAULT_S = 0.5
_MAX_FAULT_S = 6.0
_SECOND_FAULT_SHARE = 0.3


class FaultKind(StrEnum):
    """The kind of fault that a step of the schedule causes."""

    KILL = "kill"
    PAUSE = "pause"
    PARTITION = "partition"
    ONE_WAY_PARTITION = "one_way_partition"
    SILENCE = "silence"
    RESET = "reset"
    PLANNED_RESTART = "planned_restart"
    HANG = "hang"
    CUT_ANSWERS = "cut_answers"
    DOUBLE_ANSWERS = "double_answers"
    FAIL_TASKS = "fail_tasks"
    LEAVE = "leave"


_PROCESS_FAULTS = (
    FaultKind.KILL,
    FaultKind.PAUSE,
    FaultKind.PARTITION,
    FaultKind.ONE_WAY_PARTITION,
    FaultKind.SILENCE,
    FaultKind.RESET,
)
_TARGET_FAULTS = (
    FaultKind.HANG,
    FaultKind.CUT_ANSWERS,
    FaultKind.DOUBLE_ANSWERS,
    FaultKind.FAIL_TASKS,
    FaultKind.LEAVE,
)


class Step(NamedTuple):
    """One fault, which starts ``at_s`` seconds into the run and lasts ``for_s``."""

    at_s: float
    kind: FaultKind
    name: str
    for_s: float

    def line(self) -> str:
        """Return the step as a line of the schedule file."""
        return f"{self.at_s:.2f} {self.kind} {self.name} {self.for_s:.2f}"


def make_schedule(seed: int, seconds: float, names: Sequence[str]) -> tuple[Step, ...]:
    """Return a schedule of faults; the same arguments give the same schedule.

    About one step in three is accompanied by a second one on another process.
    """
    rng = random.Random(seed)
    steps: list[Step] = []
    at_s = _FAULT_FREE_START_S
    while at_s < seconds:
        first = _step(rng, at_s, names)
        steps.append(first)
        if rng.random() < _SECOND_FAULT_SHARE:
            others = [name for name in names if name != first.name]
            steps.append(_step(rng, at_s, others))
        at_s += rng.uniform(_MIN_GAP_S, _MAX_GAP_S)
    return tuple(steps)


def parse_schedule(text: str) -> tuple[Step, ...]:
    """Parse a schedule of lines written by :meth:`Step.line`.

    Raises:
        ValueError: a line is not a valid step.
    """
    steps = []
    for line in text.splitlines():
        at_s, kind, name, for_s = line.split()
        steps.append(Step(float(at_s), FaultKind(kind), name, float(for_s)))
    return tuple(steps)


def _step(rng: random.Random, at_s: float, names: Sequence[str]) -> Step:
    name = rng.choice(list(names))
    kinds = list(_PROCESS_FAULTS)
    if name.startswith("target-"):
        kinds += _TARGET_FAULTS
    if name.startswith("entry-"):
        kinds.append(FaultKind.PLANNED_RESTART)
    for_s = rng.uniform(_MIN_FAULT_S, _MAX_FAULT_S)
    return Step(round(at_s, 2), rng.choice(kinds), name, round(for_s, 2))
