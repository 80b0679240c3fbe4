"""Handles reports from targets: registration, restart, draining and shutdown."""

import logging
from collections.abc import Callable

from foxspring_jobs._commands import (
    Advance,
    Command,
    RegisterTarget,
    TargetIncarnation,
)
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
    """Handles heartbeats and acknowledges them once new information is committed."""

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
        self.sequences: dict[TargetIncarnation, int] = {}
        context.register = self.register

    def report(self, report: TargetReport, answer: Respond) -> None:
        """Handle a target's heartbeat.

        It is acknowledged once new information in it is committed.
        """
        registration = report.registered
        incarnation = registration.incarnation
        problem = self._unusable(registration)
        if problem is not None:
            answer(problem)
            return
        known = self.context.draft.targets.get(incarnation.target_id)
        if (
            known is not None
            and known.incarnation.incarnation_ms > incarnation.incarnation_ms
        ):
            answer(Answer(Outcome.OK, "older incarnation"))
            return
        if report.sequence < self.sequences.get(incarnation, 0):
            answer(Answer(Outcome.OK, "older report"))
            return
        self.sequences[incarnation] = report.sequence
        session = self.context.sessions.get(incarnation.target_id)
        if session is not None and session.incarnation == incarnation:
            session.reported_ms = self.context.clock.monotonic_ms()
        same_incarnation = known is not None and known.incarnation == incarnation
        if same_incarnation and known is not None and known.registered.draining:
            registration = registration._replace(draining=True)
        if same_incarnation and known is not None and known.registered == registration:
            answer(Answer(Outcome.OK))
            return
        if known is not None and not same_incarnation:
            self.poller.adopt(registration)
            answer(Answer(Outcome.OK, "adopting"))
        else:
            self.register(registration, answer)

    def _unusable(self, registration: RegisterTarget) -> Answer | None:
        """Return the answer to a target whose service is not configured, else None.

        Such a target must not even displace another one at its address.
        """
        table = self.context.draft.table
        if table.version == 0:
            return Answer(Outcome.UNAVAILABLE, "no configuration yet")
        if any(pool.name == registration.service for pool in table.pools):
            return None
        _LOG.warning(
            "event=target_refused target=%s service=%s reason=%r",
            registration.incarnation.target_id,
            registration.service,
            "unknown service",
        )
        return Answer(Outcome.INVALID, f"unknown service {registration.service}")

    def register(self, registration: RegisterTarget, answer: Respond) -> None:
        """Propose a registration and answer once it is committed."""

        def done(committed: bool) -> None:
            _LOG.info(
                "event=target_registered target=%s born=%d draining=%s committed=%s",
                registration.incarnation.target_id,
                registration.incarnation.incarnation_ms,
                registration.draining,
                committed,
            )
            if committed:
                self.poller.open_session(registration)
            answer(committed_answer(committed))
            self.context.decide()

        self._propose_crash(registration)
        self.propose(RegisterTarget(*registration), done)
        session = self.context.sessions.get(registration.incarnation.target_id)
        if session is not None and session.incarnation == registration.incarnation:
            session.draining = session.draining or registration.draining
            self.orders.evacuate(session)

    def _propose_crash(self, registration: RegisterTarget) -> None:
        """Propose what is known of the earlier incarnation that one replaces."""
        session = self.context.sessions.get(registration.incarnation.target_id)
        if session is None or session.replaced is None:
            return
        loss, session.replaced = session.replaced, None
        if self.context.draft.target(loss.incarnation) is not None:
            self.propose(Advance(losses=(loss,)), lambda _committed: None)

    def target_leaving(
        self, target_id: str, incarnation_ms: int, answer: Respond
    ) -> None:
        """Record that a target is shutting down; it gets no more work.

        It is acknowledged once that is committed, since a later leader has to know it.
        """
        session = self.context.sessions.get(target_id)
        if session is None or incarnation_ms not in (
            0,
            session.incarnation.incarnation_ms,
        ):
            answer(Answer(Outcome.OK))
            return
        session.draining = True
        session.leaving = True
        _LOG.info("event=target_left target=%s", target_id)
        target = self.context.draft.target(session.incarnation)
        if target is None or target.registered.draining:
            answer(Answer(Outcome.OK))
        else:
            self.register(target.registered._replace(draining=True), answer)
