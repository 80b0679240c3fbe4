"""Asks the placement service where the steps of queues that need advice may run."""

import logging

from foxspring_jobs._advice import AdviceCall
from foxspring_jobs._candidates import StepKey
from foxspring_jobs._leader_context import LeaderContext
from foxspring_jobs._placement import Allowed, Planner
from foxspring_jobs._waiting import WaitingStep

_LOG = logging.getLogger(__name__)


class AdviceCalls:
    """The calls to the placement service of one leadership."""

    def __init__(self, context: LeaderContext) -> None:
        self.context = context

    def allowed(self, waiting: list[WaitingStep]) -> Allowed:
        """Return the targets that the waiting steps have valid tickets for."""
        now_ms = self.context.clock.monotonic_ms()
        allowed: dict[StepKey, frozenset[str]] = {}
        for step in waiting:
            if self.context.draft.active[step.job_id].queue.needs_advice():
                tickets = self.context.advice.valid_tickets(step.step_key(), now_ms)
                allowed[step.step_key()] = frozenset(tickets)
        return allowed

    def request(self, waiting: list[WaitingStep], planner: Planner) -> None:
        """Make the next call for the waiting steps, if one is due."""
        steps_to_advise = []
        for step in waiting:
            job = self.context.draft.active[step.job_id]
            if job.queue.needs_advice():
                steps_to_advise.append(
                    (step.step_key(), planner.ranked_targets(job, step))
                )
        call = self.context.advice.next_call(
            steps_to_advise, self.context.clock.monotonic_ms()
        )
        if call is not None:
            self.context.ports.advise(call)

    def on_answer(
        self, call: AdviceCall, allowed: tuple[tuple[str, str], ...] | None
    ) -> None:
        """Handle the placement service's answer, or None if the call failed."""
        if self.context.deposed:
            return
        job = self.context.draft.jobs.get(call.job_id)
        _LOG.info(
            "event=advice_taken job=%s step=%d.%d asked=%d allowed=%s",
            *call.step_key(),
            len(call.targets),
            "-" if allowed is None else len(allowed),
        )
        if job is None:
            self.context.advice.pending_call = None
            return
        now_ms = self.context.clock.monotonic_ms()
        self.context.advice.record_answer(call, job.queue, allowed, now_ms)
        self.context.plan_due = True
        self.context.decide()
