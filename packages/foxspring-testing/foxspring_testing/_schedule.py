"""The seeded schedule of a soak's faults."""

import random
from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple

_QUIET_START_S = 2.0
_MIN_GAP_S = 1.0
_MAX_GAP_S = 4.0
_MIN_FAULT_S = 0.5
_MAX_FAULT_S = 6.0
_TWO_AT_ONCE_SHARE = 0.3


class FaultKind(StrEnum):
    """What a step of the schedule does."""

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


_OF_ANY = (
    FaultKind.KILL,
    FaultKind.PAUSE,
    FaultKind.PARTITION,
    FaultKind.ONE_WAY_PARTITION,
    FaultKind.SILENCE,
    FaultKind.RESET,
)
_OF_TARGETS = (
    FaultKind.HANG,
    FaultKind.CUT_ANSWERS,
    FaultKind.DOUBLE_ANSWERS,
    FaultKind.FAIL_TASKS,
    FaultKind.LEAVE,
)


class Step(NamedTuple):
    """One fault: it begins ``at_s`` after the start and lasts ``for_s``."""

    at_s: float
    kind: FaultKind
    name: str
    for_s: float

    def line(self) -> str:
        """Return the step as a line of the schedule file."""
        return f"{self.at_s:.2f} {self.kind} {self.name} {self.for_s:.2f}"


def make_schedule(seed: int, seconds: float, names: Sequence[str]) -> tuple[Step, ...]:
    """Return the faults of a soak; the same arguments give the same ones.

    About one step in three comes with a second one on another process.
    """
    choice = random.Random(seed)
    steps: list[Step] = []
    at_s = _QUIET_START_S
    while at_s < seconds:
        first = _step(choice, at_s, names)
        steps.append(first)
        if choice.random() < _TWO_AT_ONCE_SHARE:
            others = [name for name in names if name != first.name]
            steps.append(_step(choice, at_s, others))
        at_s += choice.uniform(_MIN_GAP_S, _MAX_GAP_S)
    return tuple(steps)


def parse_schedule(text: str) -> tuple[Step, ...]:
    """Return the schedule that lines of :meth:`Step.line` say.

    Raises:
        ValueError: a line is no step.
    """
    steps = []
    for line in text.splitlines():
        at_s, kind, name, for_s = line.split()
        steps.append(Step(float(at_s), FaultKind(kind), name, float(for_s)))
    return tuple(steps)


def _step(choice: random.Random, at_s: float, names: Sequence[str]) -> Step:
    name = choice.choice(list(names))
    kinds = list(_OF_ANY)
    if name.startswith("target-"):
        kinds += _OF_TARGETS
    if name.startswith("entry-"):
        kinds.append(FaultKind.PLANNED_RESTART)
    for_s = choice.uniform(_MIN_FAULT_S, _MAX_FAULT_S)
    return Step(round(at_s, 2), choice.choice(kinds), name, round(for_s, 2))
