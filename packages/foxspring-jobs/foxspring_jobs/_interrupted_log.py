"""Log lines that say why interrupted long-running tasks have no run.

A long-running task is interrupted if it had a run and now has none. It should start
again at once; these lines show for how long it has not, and whether the plan found no
room, left existing room unused, or had no access to the room that there is.
"""

import logging
from collections.abc import Sequence
from typing import NamedTuple

from foxspring_jobs._leader_context import LeaderContext
from foxspring_jobs._placement import Planner
from foxspring_jobs._restarts import Restarts
from foxspring_jobs._specs import StepSpec
from foxspring_jobs._state import TargetState
from foxspring_jobs._waiting import Rank, WaitingStep

_LOG = logging.getLogger(__name__)

LOG_INTERVAL_MS = 1_000
MIN_INTERRUPTION_MS = 1_500
MAX_LOGGED_STEPS = 8


class InterruptedStep(NamedTuple):
    """A step with interrupted tasks, as found before a plan.

    ``ahead`` is how many waiting steps the plan considers earlier. ``room`` is how many
    tasks of the step fitted on the plan's candidates.
    """

    waiting: WaitingStep
    idle: int
    interrupted_ms: int
    ahead: int
    room: int


class InterruptedLog:
    """Logs interrupted steps of one leadership, at most once per interval."""

    def __init__(self, context: LeaderContext, restarts: Restarts) -> None:
        self.context = context
        self.restarts = restarts
        self.logged_ms = context.clock.monotonic_ms()

    def before_plan(
        self, waiting: Sequence[WaitingStep], planner: Planner
    ) -> list[InterruptedStep]:
        """Return the steps to log after the plan, or nothing if none are due."""
        now_ms = self.context.clock.monotonic_ms()
        if now_ms < self.logged_ms + LOG_INTERVAL_MS:
            return []
        self.logged_ms = now_ms
        found = []
        for ahead, step in enumerate(waiting):
            if step.rank is not Rank.RESTART:
                continue
            interrupted_ms = self.restarts.longest_ms(step.step_key(), now_ms)
            if interrupted_ms < MIN_INTERRUPTION_MS:
                continue
            idle = len(self.restarts.since_ms[step.step_key()])
            room = planner.room_for(self.context.draft.active[step.job_id], step)
            found.append(InterruptedStep(step, idle, interrupted_ms, ahead, room))
            if len(found) == MAX_LOGGED_STEPS:
                break
        return found

    def after_plan(self, steps: Sequence[InterruptedStep], planner: Planner) -> None:
        """Log each step with the room that the plan has left for it."""
        state = self.context.draft
        used = {candidate.target.incarnation for candidate in planner.candidates}
        unused = [t for t in state.targets.values() if t.incarnation not in used]
        for step in steps:
            job = state.active[step.waiting.job_id]
            spec = job.spec.steps[step.waiting.step]
            _LOG.info(
                "event=task_interrupted job=%s step=%d.%d idle=%d interrupted_ms=%d "
                "cores_milli=%d ahead=%d room_before=%d room_after=%d "
                "room_on_unusable=%d",
                *step.waiting.step_key(),
                step.idle,
                step.interrupted_ms,
                spec.resources.cores_milli,
                step.ahead,
                step.room,
                planner.room_for(job, step.waiting),
                sum(_fits(target, spec) for target in unused),
            )


def _fits(target: TargetState, step: StepSpec) -> bool:
    return step.reserved().fits_in(target.free())
