"""Moves or paces best-effort runs for the serving tasks beside them.

What to change on a target is decided in :mod:`foxspring_jobs._pressure`; here the
decisions are made once per interval and become orders.
"""

import logging
from collections.abc import Callable

from foxspring_jobs._candidates import Candidate
from foxspring_jobs._leader_context import LeaderContext
from foxspring_jobs._metrics import MITIGATIONS
from foxspring_jobs._orders import PaceOrder
from foxspring_jobs._placement import Planner
from foxspring_jobs._pressure import (
    BestEffortRun,
    Mitigation,
    Move,
    Pace,
    ServingTask,
)
from foxspring_jobs._pressure import mitigate as choose_mitigations
from foxspring_jobs._session import TargetSession
from foxspring_jobs._state import TargetState
from foxspring_jobs._target_orders import TargetOrders

_LOG = logging.getLogger(__name__)

MOVE_PLANNER_MAX_AGE_MS = 100
MITIGATION_INTERVAL_MS = 600
FindCandidates = Callable[[], list[Candidate]]


class TargetMitigation:
    """Mitigates interference on the targets of one leadership.

    ``find_candidates`` returns the targets that a moved run may start on. A planner is
    shared by the moves of a short time, so that they do not all go to one target.
    """

    def __init__(
        self,
        context: LeaderContext,
        orders: TargetOrders,
        find_candidates: FindCandidates,
    ) -> None:
        self.context = context
        self.orders = orders
        self.find_candidates = find_candidates
        self.planner: Planner | None = None
        self.planner_built_ms = 0

    def mitigate(self, session: TargetSession, target: TargetState) -> None:
        """Learn from a target's newest measurements and act on them if it is due."""
        now_ms = self.context.clock.monotonic_ms()
        session.measure(target, self.context.interference, now_ms)
        if now_ms < session.mitigated_ms + MITIGATION_INTERVAL_MS:
            return
        serving, best_effort_runs = session.mitigation_inputs(target, now_ms)
        mitigations = choose_mitigations(
            serving, best_effort_runs, self.context.interference, self._can_move
        )
        if mitigations:
            session.mitigated_ms = now_ms
        for mitigation in mitigations:
            self._log_mitigation(session, mitigation, serving)
            if isinstance(mitigation, Move):
                self.orders.send_stop(session, mitigation.run)
            else:
                session.pace(mitigation.run, mitigation.percent, now_ms)
                self.orders.order(
                    session, PaceOrder(mitigation.run, mitigation.percent)
                )

    def _can_move(self, best_effort: BestEffortRun) -> bool:
        job = self.context.draft.active.get(best_effort.run.task.job_id)
        if job is None:
            return False
        step = job.spec.steps[best_effort.run.task.step]
        now_ms = self.context.clock.monotonic_ms()
        if (
            self.planner is None
            or now_ms >= self.planner_built_ms + MOVE_PLANNER_MAX_AGE_MS
        ):
            self.planner = Planner(
                self.context.draft, self.find_candidates(), self.context.interference
            )
            self.planner_built_ms = now_ms
        return self.planner.try_place(best_effort.run.task, step, job)

    def _log_mitigation(
        self, session: TargetSession, mitigation: Mitigation, serving: list[ServingTask]
    ) -> None:
        worst = max(row.tail_ms for row in serving)
        self.context.metrics.count(MITIGATIONS, type(mitigation).__name__.lower())
        _LOG.info(
            "event=fill_relieved action=%s job=%s task=%d.%d.%d run=%d target=%s "
            "percent=%d worst_tail_ms=%d",
            type(mitigation).__name__.lower(),
            *mitigation.run.task,
            mitigation.run.number,
            session.incarnation.target_id,
            mitigation.percent if isinstance(mitigation, Pace) else 0,
            worst,
        )
