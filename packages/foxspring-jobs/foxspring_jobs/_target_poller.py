"""Polls targets: renews leases, collects ends and progress, and reacts to them."""

import logging
from collections.abc import Iterable

from foxspring_jobs._candidate_pool import CandidatePool
from foxspring_jobs._commands import (
    RegisterTarget,
    RunEnd,
    RunKey,
    RunStart,
    TargetIncarnation,
)
from foxspring_jobs._crash_counts import Suspicion, suspicion_of
from foxspring_jobs._decision_size import is_too_large
from foxspring_jobs._leader_context import LeaderContext, PendingEnd
from foxspring_jobs._metrics import ENDS, POLLS
from foxspring_jobs._operations import Answer
from foxspring_jobs._orders import (
    PaceOrder,
    PollRequest,
    ReportedEnd,
    ResultKind,
    StopOrder,
    TargetResult,
    TargetView,
)
from foxspring_jobs._session import TargetSession, report_valid_ms
from foxspring_jobs._stalls import (
    FULL_PERCENT,
    is_stalled,
    needs_speculative_run,
)
from foxspring_jobs._state import TargetState
from foxspring_jobs._target_faults import TargetFaults
from foxspring_jobs._target_losses import TargetLosses, close_session
from foxspring_jobs._target_mitigation import TargetMitigation
from foxspring_jobs._target_orders import TargetOrders

_LOG = logging.getLogger(__name__)

POLL_WAIT_MS = 1_000
LONG_POLL_WAIT_MS = 2_000
RISKY_POLL_WAIT_MS = 400
MIN_POLL_WAIT_MS = 100
POLL_RETRY_MS = 250
# The time from the wait of a lost poll to the next renewal: its timeout, the pause
# before the retry, the retry, and delays of a busy leader.
LOST_POLL_MS = 1_600
SPECULATION_INTERVAL_MS = 100
LATE_ORDER_MS = 12_000
# A late order may carry a lease of 10 s; the rest allows for differences between wall
# clocks.
YOUNG_TARGET_MS = 30_000


def longest_wait_ms(lease_ms: int) -> int:
    """Return the longest wait with which a lease survives one lost poll.

    A lease is renewed when a poll is sent. If the next poll is lost, that is noticed
    only after two waits. A short lease does not survive that.
    """
    return max(MIN_POLL_WAIT_MS, (lease_ms - LOST_POLL_MS) // 2)


def ignore_answer(_answer: Answer) -> None:
    """Ignore an answer that no caller waits for."""


class TargetPoller:
    """Polls each target, one call at a time, in one session per incarnation."""

    def __init__(
        self, context: LeaderContext, orders: TargetOrders, faults: TargetFaults
    ) -> None:
        self.context = context
        self.orders = orders
        self.faults = faults
        self.losses = TargetLosses(context)
        self.longest_wait_ms = longest_wait_ms(context.settings.lease_ms)
        # A planner of its own reserves capacity for moves on its candidates.
        move_candidates = CandidatePool(context).candidates
        self.mitigation = TargetMitigation(context, orders, move_candidates)
        self.speculation_due_ms = 0

    def open_session(
        self, registered: RegisterTarget, taking_over: bool = False
    ) -> None:
        """Start polling a target, to which an earlier leader may have sent orders."""
        if (
            self.context.deposed
            or self.context.draft.target(registered.incarnation) is None
        ):
            return
        current = self.context.sessions.get(registered.incarnation.target_id)
        if current is not None:
            if current.incarnation == registered.incarnation:
                current.draining = current.draining or registered.draining
                self.orders.evacuate(current)
                return
            close_session(self.context, current)
        self._begin_session(registered, taking_over)

    def _earlier_lease_ms(
        self, incarnation: TargetIncarnation, taking_over: bool
    ) -> int:
        """Return the lease that a target may hold before its first poll.

        An order meant for an earlier incarnation, whose clock was further ahead, makes
        a young target hold its lease for the longest time that it accepts.
        """
        settings = self.context.settings
        earlier = self.context.last_incarnations.get(incarnation.target_id, incarnation)
        age_ms = self.context.clock.wall_ms() - incarnation.incarnation_ms
        if age_ms < YOUNG_TARGET_MS and (taking_over or earlier != incarnation):
            return settings.longest_lease_ms
        return settings.lease_ms

    def _begin_session(
        self,
        registered: RegisterTarget,
        taking_over: bool = False,
        late_order_ms: int = 0,
    ) -> TargetSession:
        target_id = registered.incarnation.target_id
        session_count = self.context.session_counts.get(target_id, -1) + 1
        self.context.session_counts[target_id] = session_count
        session = TargetSession(
            registered,
            self.context.clock.monotonic_ms(),
            self.context.settings.lease_ms,
            self.context.token + session_count,
            self._earlier_lease_ms(registered.incarnation, taking_over),
            late_order_ms,
            report_valid_ms(self.context.settings.heartbeat_interval_ms),
        )
        self.context.last_incarnations[target_id] = registered.incarnation
        self.context.sessions[target_id] = session
        self.poll(session, wait_ms=0)
        return session

    def discard_session(self, incarnation: TargetIncarnation) -> None:
        """Close and drop the session with a target, if there is one."""
        session = self.context.sessions.get(incarnation.target_id)
        if session is not None and session.incarnation == incarnation:
            del self.context.sessions[incarnation.target_id]
            close_session(self.context, session)

    def adopt(self, registration: RegisterTarget) -> None:
        """Fence orders to the earlier incarnation before its runs are given up.

        An order in flight may start a run on the new incarnation. A poll with a higher
        token prevents this and shows which runs to stop first.
        """
        current = self.context.sessions.get(registration.incarnation.target_id)
        if current is not None and current.incarnation == registration.incarnation:
            return
        replaced = None
        if current is not None:
            replaced = self.losses.crash_of(current)
            close_session(self.context, current)
        session = self._begin_session(registration, late_order_ms=LATE_ORDER_MS)
        session.adopting = registration
        session.replaced = replaced

    def _retire_address(self, session: TargetSession) -> None:
        """Declare targets lost at whose address this one has just answered.

        A heartbeat alone doesn't show it: it may arrive after its sender has crashed,
        and the clocks of two targets may differ by more than their lives are apart.
        """
        for target in list(self.context.draft.targets.values()):
            other = target.registered
            if other.incarnation.target_id == session.incarnation.target_id:
                continue
            if other.address == session.endpoint.address:
                self.losses.declare_lost(other.incarnation, "address_reused")

    def poll(self, session: TargetSession, wait_ms: int) -> None:
        """Request a target's view and renew its lease."""
        if session.closed or session.fenced or session.polling or self.context.deposed:
            return
        now_ms = self.context.clock.monotonic_ms()
        session.polling = True
        session.poll_sent_ms = now_ms
        # Renewing the lease of an unresponsive target would delay the time at
        # which its runs can safely be declared lost.
        renews = (
            self.context.ports.lease_valid()
            and not session.leaving
            and not session.failed_polls
        )
        lease_until = session.clock.grant_lease(now_ms) if renews else None
        wait_ms = min(wait_ms, self.longest_wait_ms)
        self.context.ports.poll(
            session, PollRequest(session.token, session.cursor, lease_until, wait_ms)
        )

    def on_poll_result(
        self, session: TargetSession, target_result: TargetResult
    ) -> None:
        """Handle the result of a poll."""
        session.polling = False
        if session.closed or self.context.deposed:
            return
        now_ms = self.context.clock.monotonic_ms()
        self.context.metrics.count(POLLS, target_result.kind.value)
        if target_result.clock_ms is not None:
            session.clock.add_sample(target_result.clock_ms, now_ms)
        if target_result.kind is ResultKind.OK and target_result.view is not None:
            self._process_view_or_fail(session, target_result.view, now_ms)
        else:
            self._on_failed_poll(session, target_result.kind)
        self.context.decide()

    def _process_view_or_fail(
        self, session: TargetSession, view: TargetView, now_ms: int
    ) -> None:
        """Process a view; after an unexpected error the poll counts as failed.

        The target is polled on in any case. If none of its views can be processed, its
        leases expire and the work goes on elsewhere.
        """
        failed_polls, session.failed_polls = session.failed_polls, 0
        try:
            self._process_view(session, view, now_ms)
        except Exception:
            _LOG.exception("event=view_failed target=%s", session.incarnation.target_id)
            session.failed_polls = failed_polls
            self._on_failed_poll(session, ResultKind.MALFORMED)

    def _on_failed_poll(self, session: TargetSession, result: ResultKind) -> None:
        session.failed_polls += 1
        if session.failed_polls == 1:
            _LOG.warning(
                "event=target_silent target=%s result=%s",
                session.incarnation.target_id,
                result.value,
            )
        if result is ResultKind.OTHER_TARGET:
            self.losses.declare_lost(session.incarnation, "other_life")
        elif result is ResultKind.FENCED:
            session.fenced = True
            _LOG.warning("event=target_fenced target=%s", session.incarnation.target_id)
        elif result is ResultKind.RESTARTED:
            session.fenced = True
            _LOG.warning("event=target_reborn target=%s", session.incarnation.target_id)
        else:
            # A refused connection, too, shows nothing of the process: it may be cut
            # off, and work on while its lease lasts.
            self.context.ports.call_later(
                POLL_RETRY_MS, lambda: self.poll(session, wait_ms=0)
            )

    def _process_view(
        self, session: TargetSession, view: TargetView, now_ms: int
    ) -> None:
        if not session.taken_over:
            self._retire_address(session)
        if session.adopting is not None:
            self._on_adopted_view(session, session.adopting, view)
            return
        target = self.context.draft.target(session.incarnation)
        if target is None:
            return
        new_ends = self._collect_ends(session, view)
        listed = {row.run for row in view.running}
        listed |= {row.run for row in view.finished}
        for row in view.running:
            if row.run not in target.runs:
                self.orders.order(session, StopOrder(row.run))
        session.note_running(view.running, now_ms)
        self.faults.note_at_work(view.running)
        self.mitigation.mitigate(session, target)
        self._replace_stalled(session, target)
        if view.complete:
            self.orders.settle(session, listed)
        if not session.taken_over:
            session.taken_over = True
            self.context.plan_due = True
            for run in target.runs:
                self._note_suspect(session, run)
            self.orders.resend_unlisted(session, listed)
            self.orders.stop_obsolete(list(target.runs))
            self._reset_paces(session, target, listed)
        if not new_ends:
            self.poll(session, self._wait_ms(target))

    def _reset_paces(
        self, session: TargetSession, target: TargetState, listed: set[RunKey]
    ) -> None:
        """Reset the pace of best-effort runs that an earlier leader may have paced."""
        for run, step in target.runs.items():
            if step.best_effort and run in listed and target.serving:
                self.orders.order(session, PaceOrder(run, FULL_PERCENT))

    def _replace_stalled(self, session: TargetSession, target: TargetState) -> None:
        evidence = self.faults.evidence
        stalled = [
            row
            for row in session.progress_of(target)
            if is_stalled(row, evidence.failures_of(row.run.task).stalled)
        ]
        self.faults.runs_stalled(session, stalled)
        for row in stalled:
            _LOG.warning(
                "event=run_stalled job=%s task=%d.%d.%d run=%d target=%s percent=%d "
                "still_ms=%d",
                *row.run.task,
                row.run.number,
                session.incarnation.target_id,
                row.percent,
                row.polled_ms - row.progressed_ms,
            )
            self.orders.send_stop(session, row.run)

    def _wait_ms(self, target: TargetState) -> int:
        if not target.serving or not target.best_effort_cores:
            return LONG_POLL_WAIT_MS
        interference = self.context.interference
        risky = any(
            interference.effect(serving, best_effort) > 0
            for serving, _ in target.serving
            for best_effort in target.best_effort_cores
        )
        return RISKY_POLL_WAIT_MS if risky else POLL_WAIT_MS

    def _on_adopted_view(
        self, session: TargetSession, registration: RegisterTarget, view: TargetView
    ) -> None:
        if not view.running:
            session.adopting = None
            session.taken_over = True
            self.context.register(registration, ignore_answer)
            self.poll(session, POLL_WAIT_MS)
            return
        for row in view.running:
            # An unanswered order is not sent again before the target is registered,
            # so each poll that still shows the run sends another stop.
            session.stopping.discard(row.run)
            self.orders.send_stop(session, row.run)
        self.context.ports.call_later(
            POLL_RETRY_MS, lambda: self.poll(session, wait_ms=0)
        )

    def _collect_ends(self, session: TargetSession, view: TargetView) -> bool:
        new_ends = False
        for row in sorted(view.finished):
            if row.number <= session.last_seen_end:
                continue
            session.last_seen_end = row.number
            new_ends = True
            checkpoint = self._usable_checkpoint(session, row)
            end = RunEnd(row.run, session.incarnation, row.kind, checkpoint)
            self.context.pending_ends.append(PendingEnd(session, row.number, end))
            self._record_end(session, end)
        if not new_ends and view.finished and session.cursor < session.last_seen_end:
            return True
        return new_ends

    def _usable_checkpoint(self, session: TargetSession, row: ReportedEnd) -> str:
        """Return the checkpoint of an end, or nothing if it can't be kept."""
        if not is_too_large(row.checkpoint):
            return row.checkpoint
        _LOG.warning(
            "event=checkpoint_too_large job=%s task=%d.%d.%d run=%d target=%s "
            "length=%d",
            *row.run.task,
            row.run.number,
            session.incarnation.target_id,
            len(row.checkpoint),
        )
        return ""

    def _record_end(self, session: TargetSession, end: RunEnd) -> None:
        key = end.run.task
        self.faults.note_end(session, end)
        self.context.metrics.count(ENDS, end.kind)
        _LOG.info(
            "event=run_ended job=%s task=%d.%d.%d run=%d target=%s kind=%s",
            *key,
            end.run.number,
            session.incarnation.target_id,
            end.kind,
        )

    def acknowledge_ends(self, ends: Iterable[PendingEnd]) -> None:
        """Acknowledge committed ends, so that their targets can discard them."""
        for session, number, end in ends:
            session.cursor = max(session.cursor, number)
            session.remove_run(end.run)
        for session in {id(s): s for s, _, _ in ends}.values():
            self.poll(session, POLL_WAIT_MS)

    def check_lease(self, session: TargetSession) -> None:
        """Give up a silent target once every lease on it has certainly expired."""
        now_ms = self.context.clock.monotonic_ms()
        if session.failed_polls and session.clock.all_leases_expired(now_ms):
            reason = "left" if session.leaving else "lease_lapsed"
            self.losses.declare_lost(session.incarnation, reason)

    def note_start(self, start: RunStart) -> None:
        """Record a start that is about to be committed."""
        session = self.context.sessions.get(start.incarnation.target_id)
        if session is not None:
            self.faults.note_start(session, start.run)
            self._note_suspect(session, start.run)

    def _note_suspect(self, session: TargetSession, run: RunKey) -> None:
        task = self.context.draft.task(run.task)
        suspicion = suspicion_of(task.crashes) if task else Suspicion.NONE
        if suspicion is not Suspicion.NONE:
            session.suspects[run] = suspicion

    def overdue_runs(self) -> list[RunKey]:
        """Return the runs whose tasks should get a speculative run.

        The result is empty within ``SPECULATION_INTERVAL_MS`` of the previous check.
        """
        now_ms = self.context.clock.monotonic_ms()
        if now_ms < self.speculation_due_ms:
            return []
        self.speculation_due_ms = now_ms + SPECULATION_INTERVAL_MS
        overdue = []
        for session in self.context.sessions.values():
            target = self.context.draft.target(session.incarnation)
            if target is None or not target.speculative_count:
                continue
            rows = session.progress_of(target)
            overdue += [row.run for row in rows if needs_speculative_run(row, now_ms)]
        return overdue
