"""Detects stalled and overdue runs from the progress that targets report.

Load pattern: on some targets tasks make no progress, or take many times as long, while
the targets answer every call. A stalled run is stopped and continues on another target.

Targets report progress in whole percent, so that a run of minutes shows none for
seconds. It may stand still for as long as some percent take, by its estimate or by the
pace that it has shown, and, since both are rough, for longer each time that its task
was stopped for standing still.

A task that allows speculative runs gets one when its run is overdue or its target does
not respond.
"""

from typing import NamedTuple

from foxspring_jobs._commands import RunKey
from foxspring_jobs._specs import StepSpec

STALL_MS = 1_500
# A run surely shows progress while so many percent are due, also on a slow target.
STALL_PERCENT = 3
MAX_STALL_DOUBLINGS = 6
FULL_PERCENT = 100
SPECULATION_FACTOR = 2
SPECULATION_MARGIN_MS = 300


class RunProgress(NamedTuple):
    """The progress of one run; times are in milliseconds of the leader's clock.

    ``percent`` is -1 before the first poll and ``FULL_PERCENT`` for a long-running task
    at work. ``target_unresponsive`` means that the target did not answer the newest
    poll.
    """

    run: RunKey
    step: StepSpec
    started_ms: int
    progressed_ms: int
    polled_ms: int
    percent: int
    pace: int
    cores_used: int
    target_unresponsive: bool


def stall_ms(progress: RunProgress, earlier_stalls: int) -> int:
    """Return for how long a run may make no progress.

    Its task was stopped so many times in a row for standing still. The first percent
    of a run tell more of when its target was polled than of its pace.
    """
    percent_ms = progress.step.estimated_ms // FULL_PERCENT
    if progress.percent >= STALL_PERCENT:
        shown_ms = progress.progressed_ms - progress.started_ms
        percent_ms = max(percent_ms, shown_ms // progress.percent)
    limit_ms = max(STALL_MS, STALL_PERCENT * percent_ms)
    return limit_ms << min(earlier_stalls, MAX_STALL_DOUBLINGS)


def is_stalled(progress: RunProgress, earlier_stalls: int = 0) -> bool:
    """Return whether a run has made no progress across polls for too long."""
    if progress.percent < 0 or progress.percent >= FULL_PERCENT:
        return False
    # A best-effort run also stalls while it is paced or gets no CPU time.
    paced = progress.pace < FULL_PERCENT
    if progress.step.best_effort and (paced or progress.cores_used > 0):
        return False
    still_ms = progress.polled_ms - progress.progressed_ms
    return still_ms >= stall_ms(progress, earlier_stalls)


def needs_speculative_run(progress: RunProgress, now_ms: int) -> bool:
    """Return whether a task that allows speculative runs should get one now."""
    step = progress.step
    if not step.speculative or step.long_running or step.gang:
        return False
    expected_ms = SPECULATION_FACTOR * step.estimated_ms + SPECULATION_MARGIN_MS
    return progress.target_unresponsive or now_ms - progress.started_ms >= expected_ms
