"""What targets say of themselves: registrations, lives, drains and leaves."""

import logging
from collections.abc import Callable

from foxspring_jobs._commands import Command, RegisterTarget, TargetLife
from foxspring_jobs._leader_context import LeaderContext, Respond
from foxspring_jobs._operations import (
    Answer,
    Outcome,
    TargetReport,
    committed_answer,
)
from foxspring_jobs._target_orders import TargetOrders
from foxspring_jobs._target_poller import TargetPoller

_LOG = logging.getLogger(__name__)

Propose = Callable[[Command, Callable[[bool], None]], object]


class TargetReports:
    """Takes heartbeats; acknowledged once what is new in them is committed."""

    def __init__(
        self,
        context: LeaderContext,
        poller: TargetPoller,
        orders: TargetOrders,
        propose: Propose,
    ) -> None:
        self.context = context
        self.poller = poller
        self.orders = orders
        self.propose = propose
        self.sequences: dict[TargetLife, int] = {}
        context.register = self.register

    def report(self, report: TargetReport, answer: Respond) -> None:
        """Take a target's heartbeat; acknowledged once what is new is committed."""
        fresh = report.registered
        life = fresh.life
        problem = self._unusable(fresh)
        if problem is not None:
            answer(problem)
            return
        known = self.context.draft.targets.get(life.target_id)
        if known is not None and known.life.born_ms > life.born_ms:
            answer(Answer(Outcome.OK, "older life"))
            return
        if report.sequence < self.sequences.get(life, 0):
            answer(Answer(Outcome.OK, "older report"))
            return
        self.sequences[life] = report.sequence
        same_incarnation = known is not None and known.life == life
        if same_incarnation and known is not None and known.registered.draining:
            fresh = fresh._replace(draining=True)
        if same_incarnation and known is not None and known.registered == fresh:
            answer(Answer(Outcome.OK))
            return
        self.poller.retire_address(fresh)
        if known is not None and not same_incarnation:
            self.poller.adopt(fresh)
            answer(Answer(Outcome.OK, "adopting"))
        else:
            self.register(fresh, answer)

    def _unusable(self, fresh: RegisterTarget) -> Answer | None:
        """Return the answer to a target that no configuration speaks of.

        It must not even push out another one at its address.
        """
        table = self.context.draft.table
        if table.version == 0:
            return Answer(Outcome.UNAVAILABLE, "no configuration yet")
        if any(pool.name == fresh.service for pool in table.pools):
            return None
        _LOG.warning(
            "event=target_refused target=%s service=%s reason=%r",
            fresh.life.target_id,
            fresh.service,
            "unknown service",
        )
        return Answer(Outcome.INVALID, f"unknown service {fresh.service}")

    def register(self, fresh: RegisterTarget, answer: Respond) -> None:
        """Propose a registration; answered once it is committed."""

        def done(committed: bool) -> None:
            _LOG.info(
                "event=target_registered target=%s born=%d draining=%s committed=%s",
                fresh.life.target_id,
                fresh.life.born_ms,
                fresh.draining,
                committed,
            )
            if committed:
                self.poller.open_session(fresh)
            answer(committed_answer(committed))
            self.context.decide()

        self.propose(RegisterTarget(*fresh), done)
        session = self.context.sessions.get(fresh.life.target_id)
        if session is not None and session.life == fresh.life:
            session.draining = session.draining or fresh.draining
            self.orders.evacuate(session)

    def target_leaving(self, target_id: str, born_ms: int, answer: Respond) -> None:
        """Note that a target ends now; it gets nothing more."""
        session = self.context.sessions.get(target_id)
        if session is not None and born_ms in (0, session.life.born_ms):
            session.draining = True
            session.left = True
            _LOG.info("event=target_left target=%s", target_id)
        answer(Answer(Outcome.OK))
