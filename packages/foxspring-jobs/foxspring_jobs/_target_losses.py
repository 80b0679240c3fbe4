"""Gives up targets that are lost, with the runs on them."""

import logging

from foxspring_jobs._commands import TargetIncarnation, TargetLoss
from foxspring_jobs._leader_context import LeaderContext
from foxspring_jobs._metrics import LOST
from foxspring_jobs._session import TargetSession
from foxspring_jobs._state import TargetState

_LOG = logging.getLogger(__name__)

# In a log line.
UNKNOWN_MS = -1
# Another incarnation runs where the lost one did.
CRASH_REASONS = frozenset({"address_reused", "other_life"})


def close_session(context: LeaderContext, session: TargetSession) -> None:
    """Close a session; results that arrive later are ignored."""
    session.closed = True
    context.ports.release(session)


class TargetLosses:
    """Declares incarnations of targets lost for one leadership."""

    def __init__(self, context: LeaderContext) -> None:
        self.context = context

    def declare_lost(self, incarnation: TargetIncarnation, reason: str) -> None:
        """Give up an incarnation of a target and every run on it.

        If it is not registered yet, the earlier incarnation that it follows is given
        up, whose runs it was to take over.
        """
        session = self.context.sessions.get(incarnation.target_id)
        target = self._registered_up_to(incarnation)
        runs = len(target.runs) if target else 0
        self.context.metrics.count(LOST, reason)
        _LOG.warning(
            "event=target_lost target=%s born=%d why=%s runs=%d silent_ms=%d",
            *incarnation,
            reason,
            runs,
            self._silent_ms(session),
        )
        if target is not None:
            self._log_lost_runs(target, session, reason)
        if session is not None and session.incarnation == incarnation:
            close_session(self.context, session)
            del self.context.sessions[incarnation.target_id]
        if target is not None and not self._is_lost(target.incarnation):
            self._lose(target, session, reason in CRASH_REASONS)

    def _is_lost(self, incarnation: TargetIncarnation) -> bool:
        lost = incarnation in self.context.lost_targets
        return lost or any(
            loss.incarnation == incarnation for loss in self.context.losses
        )

    def _lose(
        self, target: TargetState, session: TargetSession | None, crashed: bool
    ) -> None:
        planned = target.registered.draining or (
            session is not None and session.draining
        )
        if planned:
            self.context.lost_targets.append(target.incarnation)
        elif session is not None and session.incarnation == target.incarnation:
            self.context.losses.append(session.loss(target, crashed))
        else:
            self.context.losses.append(TargetLoss(target.incarnation, crashed))

    def crash_of(self, session: TargetSession) -> TargetLoss | None:
        """Return the crash of an incarnation that another one follows.

        It is None if the incarnation isn't registered or its end was planned.
        """
        target = self.context.draft.target(session.incarnation)
        if target is None or target.registered.draining or session.draining:
            return None
        return session.loss(target, crashed=True)

    def _silent_ms(self, session: TargetSession | None) -> int:
        """Return for how long a target has shown nothing of itself."""
        if session is None or not session.failed_polls:
            return 0
        return self.context.clock.monotonic_ms() - session.polled_ms

    def _log_lost_runs(
        self, target: TargetState, session: TargetSession | None, reason: str
    ) -> None:
        for run in target.runs:
            lasted_ms = session.lasted_ms(run) if session is not None else None
            _LOG.info(
                "event=run_lost job=%s task=%d.%d.%d run=%d target=%s why=%s "
                "lasted_ms=%d",
                *run.task,
                run.number,
                target.incarnation.target_id,
                reason,
                UNKNOWN_MS if lasted_ms is None else lasted_ms,
            )

    def _registered_up_to(self, incarnation: TargetIncarnation) -> TargetState | None:
        """Return the target's registered incarnation, unless it is a later one."""
        target = self.context.draft.targets.get(incarnation.target_id)
        if target is None:
            return None
        later = target.incarnation.incarnation_ms > incarnation.incarnation_ms
        return None if later else target
