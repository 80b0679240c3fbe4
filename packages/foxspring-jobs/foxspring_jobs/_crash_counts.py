"""Decides when a task is given up because targets crash under its runs.

Load pattern: a task crashes each target that starts it. The target is back after some
seconds, and all that ran on it starts again elsewhere, the task among them. Without a
limit it takes target after target, and the work beside it never ends.

A crash shows only that one of the runs on the target is to blame. Each of them counts
it, but for those that had lasted while another had hardly begun: a crash soon after the
start of a run counts for more, since a run that has lasted is rarely the cause, and
long-running ones are beside every crash. :mod:`foxspring_jobs._isolation` keeps those
with several crashes apart, so that the next crash tells them from the others.
"""

from enum import IntEnum, StrEnum
from typing import NamedTuple

# A task that still runs after that time counts as not having crashed its target.
EARLY_MS = 3_000
MAX_EARLY_CRASHES = 3
# Callers accept two starts after the third crash, so a fifth crash is the last one.
MAX_CRASHES = 5
ISOLATED_AFTER_EARLY_CRASHES = 2
ISOLATED_AFTER_CRASHES = 3
# Targets fail now and then for reasons of their own.
CRASH_MEMORY_MS = 600_000
# Longer than a target that crashed at the start of a run would stay unnoticed.
SURELY_LASTING_MS = 15_000


class RunAge(StrEnum):
    """How long a run had lasted when its target crashed."""

    EARLY = "early"
    LASTING = "lasting"
    UNKNOWN = "unknown"


class Suspicion(IntEnum):
    """How far a task is to be kept apart because targets crashed under its runs."""

    NONE = 0
    SUSPECT = 1
    ISOLATED = 2


class CrashCount(NamedTuple):
    """The crashes of targets under one task's runs.

    ``early`` counts those in sequence that came within ``EARLY_MS`` of a run's start.
    ``last_ms`` is the wall time at which the newest one was committed. ``silent`` and
    ``silent_early`` count runs that were lost in silence, each of which may turn out to
    be a crash.
    """

    total: int = 0
    early: int = 0
    last_ms: int = 0
    silent: int = 0
    silent_early: int = 0


NO_CRASHES = CrashCount()


def run_age(lasted_ms: int | None) -> RunAge:
    """Return the age of a run that lasted that long for certain, None for unknown."""
    if lasted_ms is None:
        return RunAge.UNKNOWN
    return RunAge.EARLY if lasted_ms < EARLY_MS else RunAge.LASTING


def after_crash(count: CrashCount, age: RunAge, at_ms: int) -> CrashCount:
    """Return the count with one more crash; ``at_ms`` is the wall time."""
    count = _without_old_crashes(count, at_ms)
    early = count.early
    if age is RunAge.EARLY:
        early += 1
    elif age is RunAge.LASTING:
        early = 0
    return count._replace(total=count.total + 1, early=early, last_ms=at_ms)


def _without_old_crashes(count: CrashCount, at_ms: int) -> CrashCount:
    if at_ms - count.last_ms <= CRASH_MEMORY_MS:
        return count
    return count._replace(total=0, early=0)


def after_lasting(count: CrashCount) -> CrashCount:
    """Return the count after a crash beside a run that is more likely its cause."""
    return count._replace(early=0)


def after_silence(count: CrashCount, age: RunAge, at_ms: int) -> CrashCount:
    """Return the count with one more run lost in silence."""
    return _with_silent(_without_old_crashes(count, at_ms), age, 1)


def after_explanation(count: CrashCount, age: RunAge) -> CrashCount:
    """Return the count without a run lost in silence, now explained or forgotten."""
    return _with_silent(count, age, -1)


def _with_silent(count: CrashCount, age: RunAge, runs: int) -> CrashCount:
    early = runs * (age is RunAge.EARLY)
    return count._replace(
        silent=count.silent + runs, silent_early=count.silent_early + early
    )


def is_given_up(count: CrashCount) -> bool:
    """Return whether the task must not start again."""
    return count.early >= MAX_EARLY_CRASHES or count.total >= MAX_CRASHES


def is_held_back(count: CrashCount) -> bool:
    """Return whether the task waits until it is known what lost targets became of."""
    return (
        count.early + count.silent_early >= MAX_EARLY_CRASHES
        or count.total + count.silent >= MAX_CRASHES
    )


def suspicion_of(count: CrashCount) -> Suspicion:
    """Return how far the task's next run is to be kept apart."""
    if (
        count.early >= ISOLATED_AFTER_EARLY_CRASHES
        or count.total >= ISOLATED_AFTER_CRASHES
    ):
        return Suspicion.ISOLATED
    return Suspicion.SUSPECT if count.total else Suspicion.NONE
