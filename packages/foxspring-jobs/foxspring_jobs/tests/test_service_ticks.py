"""Ticks don't pile up before a busy leader."""

import threading
import unittest
from typing import Any, cast

from foxspring_link import ManualClock

from foxspring_jobs._leader_context import LeaderSettings
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

    def finish_actions(self, service: JobService) -> None:
        """Wait until the service has done all that was queued before."""
        done = threading.Event()
        service.post(done.set)
        self.assertTrue(done.wait(WAIT_S))

    def test_ticks_do_not_pile_up_behind_a_long_action(self) -> None:
        """Guards: queued ticks went before the calls, which were never answered."""
        leader = CountingLeader()
        service = self.service(leader)
        release = threading.Event()
        service.post(lambda: release.wait(WAIT_S))
        for _ in range(TICKS):
            service.queue_tick()
        release.set()
        self.finish_actions(service)
        self.assertEqual(leader.ticks, 1)

    def test_ticks_go_on_after_one_that_failed(self) -> None:
        leader = CountingLeader(failures=1)
        service = self.service(leader)
        for _ in range(2):
            service.queue_tick()
            self.finish_actions(service)
        self.assertEqual(leader.ticks, 2)
