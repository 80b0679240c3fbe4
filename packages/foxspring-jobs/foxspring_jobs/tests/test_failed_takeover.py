"""No member, or not every one, can take the state over: who leads, what is answered.

The hand-overs are played in virtual time, and once over real links and disks.
"""

import itertools
import time
import unittest
from collections.abc import Callable
from typing import Any, cast
from unittest import mock

from foxspring_control import ProposeOutcome

from foxspring_jobs import _service
from foxspring_jobs._operations import (
    Answer,
    CancelCall,
    NotLeading,
    Outcome,
    PingLeader,
    ReadCall,
    ReadTableCall,
    ReplaceTableCall,
    Reply,
    SubmitCall,
    TargetLeaving,
    TargetReport,
)
from foxspring_jobs._snapshot import decode_state
from foxspring_jobs.tests.builders import (
    JOB,
    OTHER_JOB,
    QUEUE,
    TABLE,
    registered,
    spec,
    state_with,
    submit,
)
from foxspring_jobs.tests.real_group import RealGroup
from foxspring_jobs.tests.service_builders import ServiceSite

PATH = f"{QUEUE.path_prefix}{JOB}"
SUBMIT = SubmitCall(QUEUE.host, PATH, spec())
READ = ReadCall(QUEUE.host, PATH)
MEMBERS = 5
ELECTION_MS = 200
PLAYED_MS = 60_000
# One that is tried, and then fewer and fewer.
MAX_LEADERSHIPS = 15
MIN_KEPT_MS = 3_000
REGAINED_MS = 6_000
DEADLINE_S = 15.0
OBSERVED_S = 2.0
REASON = "an odd state"
ODD_STATE = ValueError(REASON)


class Group:
    """Five members that hand one leadership over in the order of their numbers.

    ``broken`` are the members that can't take the state over.
    """

    def __init__(self, test: unittest.TestCase, broken: set[int]) -> None:
        self.sites = [ServiceSite(test) for _ in range(MEMBERS)]
        self.broken = broken
        self.leader = 0
        self.term = 0
        self.due_ms: int | None = 0
        self.now_ms = 0
        self.began_ms: list[int] = []
        self.transfers: list[Callable[[ProposeOutcome], None]] = []
        for site in self.sites:
            site.machine.state = state_with(registered("t1"))
            submit(site.machine.state, spec())
            site.log.transfer_leadership.side_effect = self.transfers.append

    def run(self, duration_ms: int, tick_ms: int = 50) -> None:
        """Advance the clocks of all members."""
        for _ in range(duration_ms // tick_ms):
            self.now_ms += tick_ms
            if self.due_ms is not None and self.now_ms >= self.due_ms:
                self.elect()
            for number, site in enumerate(self.sites):
                with self.breaking(number):
                    site.run(tick_ms, tick_ms)
            if self.transfers and self.due_ms is None:
                self.due_ms = self.now_ms + ELECTION_MS
                for site in self.sites:
                    site.follow(term=self.term)

    def breaking(self, number: int) -> Any:
        """Return a context in which a member is broken if it is to be."""
        error = ODD_STATE if number in self.broken else None
        return mock.patch.object(
            _service, "decode_state", side_effect=error, wraps=decode_state
        )

    def elect(self) -> None:
        """Let the next member lead."""
        self.due_ms = None
        self.leader = (self.leader + 1) % MEMBERS
        self.term += 1
        self.began_ms.append(self.now_ms)
        handed_over = list(self.transfers)
        self.transfers.clear()
        for number, site in enumerate(self.sites):
            with self.breaking(number):
                if number == self.leader:
                    site.lead(self.term)
                else:
                    site.follow(f"m{self.leader}", self.term)
        for done in handed_over:
            done(ProposeOutcome("applied"))


class VirtualGroupTest(unittest.TestCase):
    # Issue 55: members that could not begin handed the leadership around without end,
    # many times a second, and refused every call.
    def test_leadership_does_not_circle_if_no_member_can_begin(self) -> None:
        group = Group(self, set(range(MEMBERS)))
        with self.assertLogs("foxspring_jobs", "ERROR"):
            group.run(PLAYED_MS)
        self.assertLessEqual(len(group.began_ms), MAX_LEADERSHIPS)
        # The first one may be handed on at once.
        kept_ms = [b - a for a, b in itertools.pairwise(group.began_ms[1:])]
        self.assertGreaterEqual(min(kept_ms), MIN_KEPT_MS)

    def test_member_that_can_begin_leads_within_seconds(self) -> None:
        for able in (1, 2):
            with self.subTest(able=able), self.assertLogs("foxspring_jobs"):
                group = Group(self, set(range(MEMBERS)) - {able})
                group.leader = MEMBERS - 1
                group.run(REGAINED_MS)
                self.assertEqual(group.leader, able)
                self.assertIsNotNone(group.sites[able].service.leader)

    def test_group_serves_again_once_the_reason_is_gone(self) -> None:
        group = Group(self, set(range(MEMBERS)))
        with self.assertLogs("foxspring_jobs", "ERROR"):
            group.run(60_000)
        group.broken = set()
        group.run(REGAINED_MS)
        site = group.sites[group.leader]
        self.assertEqual(site.service.leading_error, "")
        reply = site.call(SubmitCall(QUEUE.host, QUEUE.path_prefix + OTHER_JOB, spec()))
        self.assertIs(cast(Reply, reply).answer.outcome, Outcome.OK)


class AnswersTest(unittest.TestCase):
    """A member that leads and can't take the state over, after another one tried."""

    def setUp(self) -> None:
        self.site = ServiceSite(self)
        self.site.machine.state = state_with(registered("t1"))
        submit(self.site.machine.state, spec())
        failing = mock.patch.object(_service, "decode_state", side_effect=ODD_STATE)
        failing.start()
        self.addCleanup(failing.stop)
        self.site.follow("b", 1)
        with self.assertLogs("foxspring_jobs", "ERROR") as logs:
            self.site.lead(2)
        self.assertIn("event=leading_failed term=2", logs.output[0])

    def answer(self, operation: Any) -> Answer:
        reply = self.site.call(operation)
        assert isinstance(reply, Reply)
        self.assertEqual(reply.leader_address, "a:1")
        return reply.answer

    def test_reason_is_kept_until_the_state_is_taken_over(self) -> None:
        self.assertEqual(self.site.service.leading_error, f"ValueError: {REASON}")
        self.site.log.transfer_leadership.assert_not_called()
        mock.patch.stopall()
        with mock.patch.object(_service, "decode_state", decode_state):
            self.site.run(2_000)
        self.assertEqual(self.site.service.leading_error, "")

    def test_what_is_read_is_answered_from_the_committed_state(self) -> None:
        self.assertIs(self.answer(PingLeader()).outcome, Outcome.OK)
        self.assertEqual(self.answer(READ).phase, "pending")
        self.assertEqual(self.answer(ReadTableCall()).document, TABLE.document)

    def test_the_rest_is_refused_at_once_with_the_reason(self) -> None:
        for operation in (
            SUBMIT,
            CancelCall(QUEUE.host, PATH),
            ReplaceTableCall(TABLE),
            TargetReport(registered("t1"), 1, 1),
            TargetLeaving("t1", 0),
        ):
            with self.subTest(operation=operation):
                answer = self.answer(operation)
                self.assertIs(answer.outcome, Outcome.UNAVAILABLE)
                self.assertIn(REASON, answer.detail)
        self.assertEqual(self.site.proposed, 0)

    def test_nothing_is_answered_without_a_valid_lease(self) -> None:
        self.site.is_lease_valid = False
        for operation in (PingLeader(), READ, ReadTableCall(), SUBMIT):
            with self.subTest(operation=operation):
                self.assertIsInstance(self.site.call(operation), NotLeading)

    def test_calls_during_a_hand_over_go_on_to_the_next_leader(self) -> None:
        with self.assertLogs("foxspring_jobs", "ERROR"):
            self.site.run(4_000)
        self.site.log.transfer_leadership.assert_called_once()
        self.assertIsInstance(self.site.call(SUBMIT), NotLeading)


class RealGroupTest(unittest.TestCase):
    """Three members with their own links, logs and disks."""

    def setUp(self) -> None:
        self.group = RealGroup(self, 3)
        self.members = self.group.members
        self.wait_until = self.group.wait_until
        self.call = self.group.call

    def test_reads_are_answered_and_work_goes_on_once_a_member_can_begin(self) -> None:
        self.wait_until(
            lambda: self.call(ReplaceTableCall(TABLE)).outcome is Outcome.OK
        )
        self.assertIs(self.call(SUBMIT).outcome, Outcome.OK)
        with (
            mock.patch.object(_service, "decode_state", side_effect=ODD_STATE),
            self.assertLogs("foxspring_jobs", "ERROR") as logs,
        ):
            for member in self.members:
                member.service.on_reset()
            self.wait_until(self.has_refused)
            refused = len(logs.output)
            began = time.monotonic()
            self.wait_until(lambda: self.call(READ).phase == "pending")
            self.wait_until(lambda: self.call(ReadTableCall()).outcome is Outcome.OK)
            time.sleep(max(0.0, began + OBSERVED_S - time.monotonic()))
            handed_over = [
                line for line in logs.output[refused:] if "hands_over=True" in line
            ]
            self.assertLessEqual(len(handed_over), 1)
        self.wait_until(self.group.leads)
        other = SubmitCall(QUEUE.host, QUEUE.path_prefix + OTHER_JOB, spec())
        self.wait_until(lambda: self.call(other).outcome is Outcome.OK)
        self.assertEqual(self.call(READ).phase, "pending")

    def has_refused(self) -> bool:
        answer = self.call(SUBMIT)
        return answer.outcome is Outcome.UNAVAILABLE and REASON in answer.detail


if __name__ == "__main__":
    unittest.main()
