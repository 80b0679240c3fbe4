"""Ticks don't pile up before a busy leader, and one that can't begin isn't final."""

import threading
import unittest
from typing import Any, cast
from unittest import mock

from foxspring_control.raft import LeadershipChange
from foxspring_link import ManualClock

from foxspring_jobs import _service
from foxspring_jobs._leader_context import LeaderSettings
from foxspring_jobs._leading_attempts import RETRY_MS
from foxspring_jobs._metrics import Metrics
from foxspring_jobs._service import JobService
from foxspring_jobs._state_machine import JobStateMachine

WAIT_S = 10.0
TICKS = 20


class CountingLeader:
    """Counts its ticks; the first ones can be made to fail."""

    def __init__(self, failures: int = 0) -> None:
        self.ticks = 0
        self.failures = failures

    def note_queue_time(self, waited_ms: int) -> None:
        """Do nothing."""

    def is_deposed(self) -> bool:
        """Return False."""
        return False

    def tick(self) -> None:
        """Count a tick."""
        self.ticks += 1
        if self.ticks <= self.failures:
            raise RuntimeError("a tick that fails")

    def end(self) -> None:
        """Do nothing."""


def finish_actions(test: unittest.TestCase, service: JobService) -> None:
    """Wait until the service has done all that was queued before."""
    done = threading.Event()
    service.post(done.set)
    test.assertTrue(done.wait(WAIT_S))


class TickTest(unittest.TestCase):
    def service(self, leader: CountingLeader) -> JobService:
        service = JobService(
            LeaderSettings(),
            cast(Any, None),
            JobStateMachine(),
            lambda address, message: None,
            cast(Any, None),
            ManualClock(),
            Metrics(),
        )
        service.leader = cast(Any, leader)
        self.addCleanup(service.close)
        return service

    def test_ticks_do_not_pile_up_behind_a_long_action(self) -> None:
        """Guards: queued ticks went before the calls, which were never answered."""
        leader = CountingLeader()
        service = self.service(leader)
        release = threading.Event()
        service.post(lambda: release.wait(WAIT_S))
        for _ in range(TICKS):
            service.queue_tick()
        release.set()
        finish_actions(self, service)
        self.assertEqual(leader.ticks, 1)

    def test_ticks_go_on_after_one_that_failed(self) -> None:
        leader = CountingLeader(failures=1)
        service = self.service(leader)
        for _ in range(2):
            service.queue_tick()
            finish_actions(self, service)
        self.assertEqual(leader.ticks, 2)


class BeginTest(unittest.TestCase):
    # Found beside issue 52: a leader that could not begin kept its lease and declined
    # every call.
    def test_leader_that_cannot_begin_hands_over_and_tries_again(self) -> None:
        clock = ManualClock()
        log = mock.Mock()
        service = JobService(
            LeaderSettings(),
            log,
            JobStateMachine(),
            lambda address, message: None,
            cast(Any, None),
            clock,
            Metrics(),
        )
        self.addCleanup(service.close)
        failing = mock.patch.object(
            _service, "decode_state", side_effect=ValueError("odd state")
        )
        with failing, self.assertLogs("foxspring_jobs", "ERROR") as logs:
            service.on_leadership(LeadershipChange(True, 3, "a", "a:1"))
            finish_actions(self, service)
        self.assertIn("event=leading_failed term=3", logs.output[0])
        self.assertIsNone(service.leader)
        log.transfer_leadership.assert_called_once()
        clock.advance(RETRY_MS)
        service.queue_tick()
        finish_actions(self, service)
        self.assertIsNotNone(service.leader)
