"""Sends orders to targets (starts, stops, paces) until the outcome is certain."""

import logging
from collections.abc import Iterable

from foxspring_jobs._commands import RunEnd, RunKey, RunStart
from foxspring_jobs._leader_context import LeaderContext, PendingEnd
from foxspring_jobs._metrics import ORDERS
from foxspring_jobs._orders import (
    Order,
    ResultKind,
    StartOrder,
    StopOrder,
    TargetResult,
)
from foxspring_jobs._session import TargetSession
from foxspring_jobs._stage_times import Stage
from foxspring_jobs._state import EndKind, JobState
from foxspring_jobs._target_faults import TargetFaults

_LOG = logging.getLogger(__name__)

RETRY_ORDER_MS = 150


class TargetOrders:
    """Sends orders for committed decisions and repeats them until answered."""

    def __init__(self, context: LeaderContext, faults: TargetFaults) -> None:
        self.context = context
        self.faults = faults

    def send_start(self, session: TargetSession, run: RunKey) -> None:
        """Order a committed run to start, or to stop if it is obsolete by now."""
        job = self.context.draft.jobs.get(run.task.job_id)
        task = self.context.draft.task(run.task)
        if job is None or task is None:
            return
        session.sent_ms.setdefault(run, self.context.clock.monotonic_ms())
        if job.has_ended() or task.done:
            self.send_stop(session, run)
            return
        if self._takes_no_start(session):
            self._withdraw_start(session, run)
            return
        ticket = self.context.advice.ticket(run.task[:3], session.incarnation)
        order = StartOrder(run, job.spec.payload, task.checkpoint, ticket)
        self.order(session, order)

    def send_stop(self, session: TargetSession, run: RunKey) -> None:
        """Order a run to stop, at most once."""
        if run in session.stopping:
            return
        session.stopping.add(run)
        self.order(session, StopOrder(run))

    def _takes_no_start(self, session: TargetSession) -> bool:
        """Return whether a target drains, or has shrunk below what it may hold."""
        target = self.context.draft.target(session.incarnation)
        overfull = target is not None and target.free().is_negative()
        return session.draining or overfull

    def _withdraw_start(self, session: TargetSession, run: RunKey) -> None:
        """Stop a run that such a target may not have started, unless it runs.

        The target rejects a copy of the start that arrives after the stop.
        """
        if run not in session.progress:
            self.send_stop(session, run)

    def order(self, session: TargetSession, order: Order) -> None:
        """Send an order, unless the session is closed or fenced."""
        if session.closed or session.fenced or self.context.deposed:
            return
        self.context.ports.order(session, order)

    def on_order(
        self, session: TargetSession, order: Order, target_result: TargetResult
    ) -> None:
        """Handle the result of an order."""
        if session.closed or self.context.deposed:
            return
        now_ms = self.context.clock.monotonic_ms()
        if target_result.clock_ms is not None:
            session.clock.add_sample(target_result.clock_ms, now_ms)
        result = target_result.kind
        self.context.metrics.count(ORDERS, type(order).__name__, result.value)
        if result is ResultKind.OTHER_TARGET:
            self.context.declare_lost(session.incarnation, "other_life")
        elif result in (ResultKind.FENCED, ResultKind.RESTARTED):
            session.fenced = True
        elif result in (ResultKind.NO_ANSWER, ResultKind.REFUSED, ResultKind.UNHEALTHY):
            self._retry(session, order, result)
        elif isinstance(order, StartOrder):
            self._on_start(session, order, result, now_ms)
        elif isinstance(order, StopOrder):
            session.unsettled[order.run] = now_ms
        self.context.decide()

    def _retry(self, session: TargetSession, order: Order, result: ResultKind) -> None:
        if result is not ResultKind.UNHEALTHY:
            session.uncertain.add(order.run)
        _LOG.info(
            "event=order_unanswered order=%s job=%s task=%d.%d.%d run=%d target=%s "
            "result=%s",
            type(order).__name__,
            *order.run.task,
            order.run.number,
            session.incarnation.target_id,
            result.value,
        )

        def resend() -> None:
            target = self.context.draft.target(session.incarnation)
            if session.closed or target is None or order.run not in target.runs:
                return
            if isinstance(order, StartOrder) and order.run in session.stopping:
                return
            if isinstance(order, StartOrder) and self._takes_no_start(session):
                self._withdraw_start(session, order.run)
                return
            if isinstance(order, StartOrder) and session.failed_polls:
                # An unresponsive target may have restarted; polls detect that.
                self.context.ports.call_later(RETRY_ORDER_MS, resend)
                return
            self.order(session, order)

        declined = result is ResultKind.UNHEALTHY and isinstance(order, StartOrder)
        if declined and order.run not in session.uncertain:
            self.faults.start_declined(session)
            self.end_not_started(session, order.run, result.value)
            return
        self.context.ports.call_later(RETRY_ORDER_MS, resend)

    def _on_start(
        self, session: TargetSession, order: StartOrder, result: ResultKind, now_ms: int
    ) -> None:
        run = order.run
        _LOG.info(
            "event=start_answered job=%s task=%d.%d.%d run=%d target=%s result=%s "
            "token=%d",
            *run.task,
            run.number,
            session.incarnation.target_id,
            result.value,
            session.token,
        )
        if result is ResultKind.OK:
            session.note_started(run, now_ms)
            sent_ms = session.sent_ms.get(run, now_ms)
            self.context.stage_times.observe(Stage.ORDER, now_ms - sent_ms)
            return
        if result is ResultKind.NO_TICKET:
            self.context.advice.drop(run.task[:3])
        if result is ResultKind.OLD:
            session.unsettled[run] = now_ms
        elif run in session.uncertain:
            # An earlier copy of this order may still arrive; stopping the run
            # makes the target reject it.
            self.send_stop(session, run)
        else:
            self.end_not_started(session, run, result.value)

    def settle(self, session: TargetSession, listed: set[RunKey]) -> None:
        """End runs that never started and can no longer start."""
        target = self.context.draft.target(session.incarnation)
        for run, answered_ms in list(session.unsettled.items()):
            if answered_ms >= session.poll_sent_ms:
                continue
            del session.unsettled[run]
            if target is None or run not in target.runs or run in listed:
                continue
            self.end_not_started(session, run, "settled")

    def end_not_started(self, session: TargetSession, run: RunKey, reason: str) -> None:
        """Propose the end of a run that its target has certainly not started."""
        _LOG.info(
            "event=run_not_begun job=%s task=%d.%d.%d run=%d target=%s why=%s",
            *run.task,
            run.number,
            session.incarnation.target_id,
            reason,
        )
        end = RunEnd(run, session.incarnation, EndKind.REFUSED)
        self.context.pending_ends.append(PendingEnd(session, 0, end))

    def resend_unlisted(self, session: TargetSession, listed: set[RunKey]) -> None:
        """Send starts again that an earlier leader committed and may not have sent.

        A copy that it did send may arrive later than this one and must not start a run
        that was given up, also where a target does not check tokens.
        """
        target = self.context.draft.target(session.incarnation)
        if target is None:
            return
        for run in target.runs:
            if run not in listed and run not in session.sent_ms:
                session.uncertain.add(run)
                self.send_start(session, run)

    def send_committed_start(self, start: RunStart) -> None:
        """Order a start that has just been committed."""
        session = self.context.sessions.get(start.incarnation.target_id)
        target = self.context.draft.target(start.incarnation)
        if (
            session is None
            or session.incarnation != start.incarnation
            or target is None
        ):
            return
        if start.run in target.runs and start.run not in session.sent_ms:
            self.send_start(session, start.run)

    def stop_obsolete(self, runs: Iterable[RunKey]) -> None:
        """Stop runs that are no longer needed, and runs to evacuate.

        That is, runs whose job has ended or whose task is done, and runs on a draining
        target that can continue elsewhere.
        """
        for run in runs:
            job = self.context.draft.jobs.get(run.task.job_id)
            task = self.context.draft.task(run.task)
            incarnation = task.runs.get(run.number) if task else None
            if job is None or task is None or incarnation is None:
                continue
            session = self.context.sessions.get(incarnation.target_id)
            if session is None or session.incarnation != incarnation:
                continue
            evacuate = session.draining and self._can_continue_elsewhere(job, run)
            if job.has_ended() or task.done or evacuate:
                self.send_stop(session, run)

    def _can_continue_elsewhere(self, job: JobState, run: RunKey) -> bool:
        step = job.spec.steps[run.task.step]
        return step.long_running or step.checkpoints

    def evacuate(self, session: TargetSession) -> None:
        """Stop the runs on a draining target that can continue elsewhere."""
        target = self.context.draft.target(session.incarnation)
        if session.draining and target is not None:
            self.stop_obsolete(list(target.runs))
