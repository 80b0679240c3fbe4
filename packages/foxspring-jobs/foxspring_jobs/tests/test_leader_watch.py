"""When a member says that no leader serves, and how often; its metrics."""

import logging
import unittest
from pathlib import Path
from typing import Any, cast
from unittest import mock

from foxspring_control.raft import LeadershipChange
from foxspring_link import ManualClock

from foxspring_jobs._leader_watch import (
    REASON_MAX_AGE_MS,
    TROUBLE_ENDS_AFTER_MS,
    LeaderWatch,
)
from foxspring_jobs._metrics import Metrics
from foxspring_jobs._operations import (
    DeclineReason,
    NotLeading,
    PingLeader,
    make_call,
)
from foxspring_jobs.tests.leader_views import NO_LEADER, raft_status
from foxspring_jobs.tests.small_group import ENTRY, SmallGroup, wait_until

CHECK_MS = 300
INTERVAL_MS = 5_000
FOLLOWS = LeadershipChange(False, 4, "b", "b:1")
LEADS = LeadershipChange(True, 4, "a", "a:1")


class LeaderWatchTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.log = mock.Mock()
        self.log.status.return_value = raft_status()
        self.log.lease_valid.return_value = False
        self.log.stalled_ms.return_value = 0
        self.log.waiting_for.return_value = ""
        self.service = mock.Mock(leader=None, leading_error="")
        self.metrics = Metrics()
        self.watch = LeaderWatch(
            cast(Any, self.log),
            cast(Any, self.service),
            self.clock,
            self.metrics,
            Path("/"),
            INTERVAL_MS,
        )

    def lines_in(self, duration_ms: int, changes: dict[int, Any] | None = None) -> int:
        """Check at intervals; ``changes`` are leaders by the number of the check."""
        with self.assertLogs("foxspring_jobs", "WARNING") as logs:
            logging.getLogger("foxspring_jobs").warning("the beginning")
            for number in range(duration_ms // CHECK_MS):
                if changes and number in changes:
                    self.watch.note_leadership(changes[number])
                self.clock.advance(CHECK_MS)
                self.watch.check()
        self.lines = logs.output[1:]
        return len(self.lines)

    def test_lines_come_at_intervals_while_there_is_no_leader(self) -> None:
        self.assertEqual(self.lines_in(INTERVAL_MS - CHECK_MS), 0)
        self.assertEqual(self.lines_in(4 * INTERVAL_MS), 4)
        for line in self.lines:
            self.assertIn("why='elections without a leader: 5 of 5 voters", line)

    def test_short_failover_is_not_logged(self) -> None:
        self.watch.note_leadership(FOLLOWS)
        self.assertEqual(self.lines_in(2 * INTERVAL_MS), 0)
        self.assertEqual(self.lines_in(INTERVAL_MS, {1: NO_LEADER, 6: FOLLOWS}), 0)
        self.assertEqual(self.lines_in(2 * INTERVAL_MS), 0)

    # Issue 55: a member that lost each leader soon logged nothing, since it knew one
    # at each check that was due.
    def test_leaders_that_are_lost_soon_are_logged(self) -> None:
        changes = {n: FOLLOWS if n % 4 else NO_LEADER for n in range(200)}
        self.assertLess(3 * CHECK_MS, TROUBLE_ENDS_AFTER_MS)
        self.assertGreaterEqual(self.lines_in(4 * INTERVAL_MS, changes), 3)
        self.assertRegex(self.lines[-1], r"why='\d+ leaders lost in 60 s, 0 at a snap")

    # Issue 55: nor did one that led and could not begin.
    def test_leader_that_cannot_begin_is_logged(self) -> None:
        self.watch.note_leadership(LEADS)
        self.service.leading_error = "ValueError: odd state"
        self.assertEqual(self.lines_in(3 * INTERVAL_MS), 2)
        self.assertIn("why='could not take over the state: ValueError", self.lines[0])

    def test_lines_end_once_a_leader_serves(self) -> None:
        self.lines_in(2 * INTERVAL_MS)
        self.watch.note_leadership(LEADS)
        self.service.leader = mock.Mock()
        self.log.lease_valid.return_value = True
        self.lines_in(TROUBLE_ENDS_AFTER_MS + CHECK_MS)
        self.assertEqual(self.lines_in(4 * INTERVAL_MS), 0)

    # Seen in the soak: a call that came before the log was read ended as action_failed.
    def test_member_that_starts_declines_with_a_reason(self) -> None:
        group = SmallGroup("a")
        answers: list[Any] = []
        with group, self.assertNoLogs("foxspring_jobs", "ERROR"):
            member = group.members["a"]
            cast(Any, member.link).send = lambda _address, answer: answers.append(
                answer
            )
            member.service.receive(make_call(1, ENTRY, PingLeader()))
            wait_until(lambda: len(answers) == 2, "a decline and its reason")
        self.assertEqual(answers[0], NotLeading(1, ""))
        self.assertEqual(answers[1], DeclineReason("a", "reads its log"))

    def test_reason_is_computed_a_few_times_a_second_at_most(self) -> None:
        for _ in range(600):
            self.watch.reason()
            self.clock.advance(1)
        most = 600 // REASON_MAX_AGE_MS + 1
        self.assertLessEqual(self.log.status.call_count, most)

    def test_metrics_tell_the_causes_apart(self) -> None:
        self.log.status.return_value = raft_status(heard=2, refusal_reason="empty")
        self.log.stalled_ms.return_value = 7_000
        self.service.leading_error = "ValueError"
        self.watch.note_leadership(FOLLOWS)
        self.watch.note_leadership(NO_LEADER)
        self.watch.check()
        text = self.metrics.exposition().decode()
        for line in (
            "foxspring_member_voters 5",
            "foxspring_member_voters_heard 2",
            "foxspring_member_refuses 1",
            "foxspring_member_elections 3",
            "foxspring_member_lease_valid 0",
            "foxspring_member_takeover_fails 1",
            "foxspring_member_log_waits_ms 7000",
            'foxspring_leaders_lost_total{at_snapshot="False"} 1',
        ):
            with self.subTest(line=line):
                self.assertIn(line, text)


if __name__ == "__main__":
    unittest.main()
