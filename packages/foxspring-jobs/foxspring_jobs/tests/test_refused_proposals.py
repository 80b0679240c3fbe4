"""The log refuses proposals: the member that leads serves again by itself."""

import itertools
import threading
import time
import unittest
from unittest import mock

from foxspring_control import ProposeOutcome
from foxspring_control.raft import RaftSettings

from foxspring_jobs import _member
from foxspring_jobs._member import MemberSettings, raft_settings
from foxspring_jobs._operations import Answer, Outcome, ReplaceTableCall, SubmitCall
from foxspring_jobs.tests.builders import OTHER_JOB, QUEUE, TABLE, spec
from foxspring_jobs.tests.real_group import RealGroup

MAX_PENDING = 16
CALLERS = 24
JOBS_PER_CALLER = 8
SERVES_WITHIN_S = 6.0


def with_few_pending(settings: MemberSettings, member_id: str) -> RaftSettings:
    """Return settings with which few callers and entries may wait."""
    return raft_settings(settings, member_id)._replace(max_pending=MAX_PENDING)


class RefusedProposalsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.numbers = itertools.count(1)

    def group(self, count: int) -> RealGroup:
        group = RealGroup(self, count)
        group.wait_until(
            lambda: group.call(ReplaceTableCall(TABLE)).outcome is Outcome.OK
        )
        return group

    def submit(self, group: RealGroup, job_id: str, member: int = 0) -> Outcome:
        path = QUEUE.path_prefix + job_id
        return group.call(SubmitCall(QUEUE.host, path, spec()), member).outcome

    def assert_serves_soon(self, group: RealGroup) -> None:
        began = time.monotonic()
        job_id = f"{next(self.numbers):016x}"
        group.wait_until(lambda: self.submit(group, job_id) is Outcome.OK)
        self.assertLess(time.monotonic() - began, SERVES_WITHIN_S)

    def assert_kept(self, group: RealGroup, accepted: list[str]) -> None:
        leader = group.leader()
        assert leader is not None
        with leader.machine.lock:
            known = set(leader.machine.state.jobs)
        self.assertEqual(set(accepted) - known, set())

    # Issue 55: a full queue, or too many uncommitted entries, deposes the leader.
    def test_service_is_back_after_more_calls_than_may_wait(self) -> None:
        with mock.patch.object(_member, "raft_settings", with_few_pending):
            group = self.group(3)
            accepted: list[str] = []
            outcomes: list[Outcome] = []

            def submit_jobs(member: int) -> None:
                for _ in range(JOBS_PER_CALLER):
                    job_id = f"{next(self.numbers):016x}"
                    outcome = self.submit(group, job_id, member)
                    outcomes.append(outcome)
                    if outcome is Outcome.OK:
                        accepted.append(job_id)

            threads = [
                threading.Thread(target=submit_jobs, args=(number % 3,))
                for number in range(CALLERS)
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            self.assertEqual(len(outcomes), CALLERS * JOBS_PER_CALLER)
            self.assert_serves_soon(group)
            self.assert_kept(group, accepted)

    # Issue 55: a transfer that finds no successor deposes the leader, which keeps its
    # term.
    def test_service_is_back_after_a_transfer_that_found_no_successor(self) -> None:
        group = self.group(1)
        leader = group.leader()
        assert leader is not None
        accepted = [f"{next(self.numbers):016x}" for _ in range(3)]
        for job_id in accepted:
            self.assertIs(self.submit(group, job_id), Outcome.OK)
        term = leader.log.status().term
        deposed = leader.service.leader
        assert deposed is not None
        outcomes: list[ProposeOutcome] = []
        leader.log.transfer_leadership(outcomes.append)
        answers: list[Answer] = []
        # What the leader proposes itself waits for no barrier.
        leader.service.post(
            lambda: deposed.submit(OTHER_JOB, QUEUE, spec(), answers.append)
        )
        group.wait_until(lambda: leader.service.leader is not deposed)
        self.assert_serves_soon(group)
        self.assertEqual(outcomes[0].status, "rejected")
        self.assertIs(answers[0].outcome, Outcome.UNKNOWN)
        self.assertEqual(leader.log.status().term, term)
        self.assert_kept(group, accepted)


if __name__ == "__main__":
    unittest.main()
