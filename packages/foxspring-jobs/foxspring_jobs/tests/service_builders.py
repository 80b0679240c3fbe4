"""Builders of a job service beside a replicated log that a test controls."""

import threading
import unittest
from collections.abc import Callable
from typing import Any, NamedTuple, cast
from unittest import mock

from foxspring_control import LogEntry, ProposeOutcome
from foxspring_control.raft import LeadershipChange
from foxspring_control.raft._replicated_log import MAX_BODY_BYTES
from foxspring_link import ManualClock

from foxspring_jobs._leader_context import LeaderSettings
from foxspring_jobs._metrics import Metrics
from foxspring_jobs._operations import NotLeading, Reply, TargetReport, make_call
from foxspring_jobs._orders import (
    OnTargetResult,
    PollRequest,
    ReportedEnd,
    ResultKind,
    TargetApi,
    TargetEndpoint,
    TargetResult,
    TargetView,
)
from foxspring_jobs._service import JobService
from foxspring_jobs._state_machine import JobStateMachine

WAIT_S = 10.0
HEARTBEAT_MS = 1_000
MAX_PENDING = 8
OWN_ADDRESS = "a:1"
CALLER_ADDRESS = "c:1"
OnDone = Callable[[ProposeOutcome], None]


class Poll(NamedTuple):
    """A poll that a target has not answered."""

    endpoint: TargetEndpoint
    request: PollRequest
    done: OnTargetResult


class ServiceSite:
    """A job service whose log answers as told, on a clock that a test advances.

    ``outcome`` is the status of each proposal; those that are ``applied`` change the
    state. Barriers depend on the lease. ``polls`` are those not answered yet; each
    target lists the ends in ``finished``.
    """

    def __init__(self, test: unittest.TestCase) -> None:
        self.test = test
        self.clock = ManualClock()
        self.machine = JobStateMachine()
        self.sent: list[Reply | NotLeading] = []
        self.outcome = "applied"
        self.polls: list[Poll] = []
        self.finished: tuple[ReportedEnd, ...] = ()
        self.proposed = 0
        self.is_lease_valid = True
        self.log = mock.Mock()
        self.log.settings.link_address = OWN_ADDRESS
        self.log.settings.max_pending = MAX_PENDING
        self.log.membership.return_value.members = ()
        self.log.lease_valid.side_effect = lambda: self.is_lease_valid
        self.log.propose.side_effect = self._propose
        self.log.read_barrier.side_effect = self._read_barrier
        self.api = mock.Mock(spec=TargetApi)
        self.api.poll.side_effect = lambda *call: self.polls.append(Poll(*call))
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

    def _propose(self, kind: str, body: bytes, done: OnDone) -> None:
        self.proposed += 1
        if len(body) > MAX_BODY_BYTES:
            raise ValueError("too large")
        if self.outcome == "applied":
            index = self.machine.applied_index() + 1
            entry = LogEntry(index, 1, kind, body, self.clock.wall_ms())
            self.machine.apply([entry])
        done(ProposeOutcome(self.outcome))

    def _read_barrier(self, done: OnDone) -> None:
        done(ProposeOutcome("applied" if self.is_lease_valid else "not_leader"))

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
        """Advance the clock with the service's ticks; targets keep the contract."""
        for _ in range(duration_ms // tick_ms):
            self.clock.advance(tick_ms)
            if self.clock.now_ms % HEARTBEAT_MS < tick_ms:
                self._report()
            self.service.queue_tick()
            self.finish()
            polls, self.polls = self.polls, []
            for poll in polls:
                cursor = poll.request.cursor
                ends = tuple(row for row in self.finished if row.number > cursor)
                view = TargetView(self.clock.now_ms, (), ends)
                poll.done(TargetResult(ResultKind.OK, self.clock.now_ms, view))
            self.finish()

    def _report(self) -> None:
        for target in list(self.machine.state.targets.values()):
            report = TargetReport(target.registered, self.clock.now_ms, 0)
            self.service.receive(make_call(0, CALLER_ADDRESS, report))

    def call(self, operation: Any) -> Any:
        """Return the message that answers a call: ``Reply`` or ``NotLeading``."""
        before = len(self.sent)
        self.service.receive(make_call(1, CALLER_ADDRESS, operation))
        self.finish()
        self.test.assertEqual(len(self.sent), before + 1)
        return self.sent[-1]
