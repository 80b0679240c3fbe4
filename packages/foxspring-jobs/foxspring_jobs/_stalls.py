"""Runs that stand still or are overdue, from the progress that targets tell.

Load pattern: tasks on some targets stand still, or take many times as long, while
the targets answer every call. A run that has stopped moving is stopped and goes on
elsewhere; a task that allows copies gets one when its run is overdue or silent.
"""

from collections.abc import Sequence
from typing import NamedTuple

from foxspring_jobs._commands import RunKey
from foxspring_jobs._specs import StepSpec

STALL_MS = 1_500
FULL_PERCENT = 100
SPECULATION_FACTOR = 2
SPECULATION_MARGIN_MS = 300


class RunProgress(NamedTuple):
    """One run as last seen; times are the leader's, in milliseconds.

    ``percent`` is -1 before the first look. ``target_unresponsive`` tells its target
    did not answer the newest look.
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


def is_stalled(progress: RunProgress) -> bool:
    """Tell whether a run has stood still from look to look."""
    if progress.percent < 0 or progress.percent >= FULL_PERCENT:
        return False
    # A fill also stands still while it is paced or others leave it nothing.
    paced = progress.pace < FULL_PERCENT
    if progress.step.fills and (paced or progress.cores_used > 0):
        return False
    return progress.polled_ms - progress.progressed_ms >= STALL_MS


def indicates_target_fault(stalled: Sequence[RunProgress]) -> bool:
    """Tell whether stalled runs point to their target rather than to one job."""
    jobs = {progress.run.task.job_id for progress in stalled}
    return len(jobs) > 1 or any(not progress.step.fills for progress in stalled)


def needs_speculative_run(progress: RunProgress, now_ms: int) -> bool:
    """Tell whether a task that allows copies should get one now."""
    step = progress.step
    if not step.may_copy or step.lasting or step.gang:
        return False
    expected_ms = SPECULATION_FACTOR * step.estimated_ms + SPECULATION_MARGIN_MS
    return progress.target_unresponsive or now_ms - progress.started_ms >= expected_ms
