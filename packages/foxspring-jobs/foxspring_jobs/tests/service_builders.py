"""Builders of a job service beside a replicated log that a test controls."""

import threading
import unittest
from collections.abc import Callable
from typing import Any, cast
from unittest import mock

from foxspring_control import ProposeOutcome
from foxspring_control.raft import LeadershipChange
from foxspring_link import ManualClock

from foxspring_jobs._leader_context import LeaderSettings
from foxspring_jobs._metrics import Metrics
from foxspring_jobs._operations import NotLeading, Reply, make_call
from foxspring_jobs._orders import TargetApi
from foxspring_jobs._service import JobService
from foxspring_jobs._state_machine import JobStateMachine

WAIT_S = 10.0
OWN_ADDRESS = "a:1"
CALLER_ADDRESS = "c:1"
OnDone = Callable[[ProposeOutcome], None]


class ServiceSite:
    """A job service whose log answers as told, on a clock that a test advances.

    ``outcome`` is the status of each proposal and barrier; None leaves them open.
    """

    def __init__(self, test: unittest.TestCase) -> None:
        self.test = test
        self.clock = ManualClock()
        self.machine = JobStateMachine()
        self.sent: list[Reply | NotLeading] = []
        self.outcome: str | None = "applied"
        self.is_lease_valid = True
        self.log = mock.Mock()
        self.log.settings.link_address = OWN_ADDRESS
        self.log.membership.return_value.members = ()
        self.log.lease_valid.side_effect = lambda: self.is_lease_valid
        self.log.propose.side_effect = lambda kind, body, done: self._answer(done)
        self.log.read_barrier.side_effect = self._answer
        self.api = mock.Mock(spec=TargetApi)
        self.service = JobService(
            LeaderSettings(),
            self.log,
            self.machine,
            self._send,
            cast(Any, self.api),
            self.clock,
            Metrics(),
        )
        test.addCleanup(self.service.close)

    def _answer(self, done: OnDone) -> None:
        if self.outcome is not None:
            done(ProposeOutcome(self.outcome))

    def _send(self, address: str, message: Any) -> None:
        self.sent.append(message)

    def finish(self) -> None:
        """Wait until the service has done all that was queued before."""
        # A barrier's answer is queued by an action that is queued itself.
        for _ in range(2):
            done = threading.Event()
            self.service.post(done.set)
            self.test.assertTrue(done.wait(WAIT_S))

    def lead(self, term: int = 1) -> None:
        """Let the member lead in a term."""
        self.service.on_leadership(LeadershipChange(True, term, "a", OWN_ADDRESS))
        self.finish()

    def follow(self, leader_id: str = "", term: int = 1) -> None:
        """Let the member follow a leader, or none."""
        address = f"{leader_id}:1" if leader_id else ""
        change = LeadershipChange(False, term, leader_id, address)
        self.service.on_leadership(change)
        self.finish()

    def run(self, duration_ms: int, tick_ms: int = 50) -> None:
        """Advance the clock with the service's ticks."""
        for _ in range(duration_ms // tick_ms):
            self.clock.advance(tick_ms)
            self.service.queue_tick()
            self.finish()

    def call(self, operation: Any) -> Reply | NotLeading:
        """Return the message that answers a call."""
        before = len(self.sent)
        self.service.receive(make_call(1, CALLER_ADDRESS, operation))
        self.finish()
        self.test.assertEqual(len(self.sent), before + 1)
        return self.sent[-1]
