"""A member begins to lead, again and again, and each time targets can follow."""

import unittest
from unittest import mock

from foxspring_control import ProposeOutcome

from foxspring_jobs._call_handler import NO_TABLE
from foxspring_jobs._commands import Advance
from foxspring_jobs._job_log import JobLog
from foxspring_jobs._operations import (
    Outcome,
    PingLeader,
    ReadTableCall,
    Reply,
    SubmitCall,
    make_call,
)
from foxspring_jobs._orders import StartOrder
from foxspring_jobs._service import GENERATIONS_PER_TERM, TOKENS_PER_TERM
from foxspring_jobs._state import JobPhase
from foxspring_jobs._waiting_calls import CALLS_PERCENT, MAX_WAIT_MS, PERCENT
from foxspring_jobs.tests.builders import (
    JOB,
    OTHER_JOB,
    QUEUE,
    registered,
    run_key,
    spec,
    state_with,
)
from foxspring_jobs.tests.service_builders import MAX_PENDING, OnDone, ServiceSite

RECOVERED_WITHIN_MS = 8_000
# Of the 15 s within which service has to be back after a fault.
SERVES_WITHIN_MS = 3_000
TARGETS = 4
REFUSED_MS = 30_000
MAX_RESTARTS = 20


class TokenTest(unittest.TestCase):
    # Found beside issue 55: after 1,000 beginnings in a process the fencing tokens of
    # a term began anew, and targets refused every order of that leader.
    def test_tokens_never_get_lower(self) -> None:
        site = ServiceSite(self)
        tokens = []
        for term in (1, 2):
            site.lead(term)
            for _ in range(GENERATIONS_PER_TERM + 1):
                site.service.on_reset()
                site.finish()
                assert site.service.leader is not None
                tokens.append(site.service.leader.context.token)
        self.assertEqual(tokens, sorted(tokens))
        self.assertLess(tokens[-1], 3 * TOKENS_PER_TERM)


class FailedDecisionTest(unittest.TestCase):
    """A job waits for one target when something about its start fails."""

    def setUp(self) -> None:
        self.site = ServiceSite(self)
        self.site.machine.state = state_with(registered("t1", cores=1_000))
        self.site.lead()
        self.site.run(500)

    def submit(self) -> None:
        path = f"{QUEUE.path_prefix}{JOB}"
        reply = self.site.call(SubmitCall(QUEUE.host, path, spec()))
        assert isinstance(reply, Reply)
        self.assertIs(reply.answer.outcome, Outcome.OK)

    def phase(self) -> JobPhase:
        return self.site.machine.state.jobs[JOB].phase

    # Found beside issue 55: what was in the leader's draft and not in its log was never
    # proposed, and the job waited until another member led.
    def test_decision_that_fails_half_way_is_made_anew(self) -> None:
        failing = mock.patch.object(
            JobLog, "note_starts", side_effect=RuntimeError("unexpected")
        )
        with failing, self.assertLogs("foxspring_jobs", "ERROR"):
            self.submit()
            self.site.run(300)
        self.assertIs(self.phase(), JobPhase.PENDING)
        self.site.run(RECOVERED_WITHIN_MS)
        self.assertIs(self.phase(), JobPhase.ACTIVE)

    # Found beside issue 55: a leader counted the proposal as in flight for good, and
    # after two of them it decided nothing more.
    def test_leader_goes_on_after_proposals_that_could_not_be_made(self) -> None:
        propose = self.site.log.propose.side_effect

        def propose_no_start(kind: str, body: bytes, done: OnDone) -> None:
            if kind == Advance.__name__:
                raise ValueError("too large")
            propose(kind, body, done)

        self.site.log.propose.side_effect = propose_no_start
        with self.assertLogs("foxspring_jobs", "ERROR"):
            self.submit()
            self.site.run(3_000)
        self.site.log.propose.side_effect = propose
        self.assertIs(self.phase(), JobPhase.PENDING)
        self.site.run(RECOVERED_WITHIN_MS)
        self.assertIs(self.phase(), JobPhase.ACTIVE)


class WaitingCallsTest(unittest.TestCase):
    # Issue 55: as many calls as may wait for the log left no room for the leader's
    # decisions; each one that was refused ended a leadership.
    def test_calls_leave_room_for_decisions(self) -> None:
        site = ServiceSite(self)
        site.machine.state = state_with(registered("t1"))
        site.lead()
        waiting: list[OnDone] = []
        site.log.read_barrier.side_effect = waiting.append
        calls = [make_call(n, "c:1", ReadTableCall()) for n in range(MAX_PENDING)]
        for call in calls:
            site.service.receive(call)
        site.finish()
        self.assertEqual(len(waiting), MAX_PENDING * CALLS_PERCENT // PERCENT)
        refused = [m for m in site.sent if isinstance(m, Reply)]
        self.assertEqual(len(refused), MAX_PENDING - len(waiting))
        self.assertEqual({m.answer.outcome for m in refused}, {Outcome.UNAVAILABLE})
        self.assertIs(site.call(PingLeader()).answer.outcome, Outcome.OK)
        for done in waiting:
            done(ProposeOutcome("applied"))
        site.finish()
        site.log.read_barrier.side_effect = lambda done: done(ProposeOutcome("applied"))
        self.assertIs(site.call(ReadTableCall()).answer.outcome, Outcome.OK)

    def test_calls_that_are_never_answered_do_not_count_for_good(self) -> None:
        site = ServiceSite(self)
        site.lead()
        site.log.read_barrier.side_effect = lambda done: None
        for number in range(MAX_PENDING):
            site.service.receive(make_call(number, "c:1", ReadTableCall()))
        site.finish()
        site.clock.advance(MAX_WAIT_MS)
        site.log.read_barrier.side_effect = lambda done: done(ProposeOutcome("applied"))
        self.assertEqual(site.call(ReadTableCall()).answer, NO_TABLE)


class RefusedProposalTest(unittest.TestCase):
    """The log refuses proposals for a while although the member leads on."""

    def setUp(self) -> None:
        self.site = ServiceSite(self)
        targets = [registered(f"t{n}", cores=1_000) for n in range(TARGETS)]
        self.site.machine.state = state_with(*targets)
        self.site.lead()
        self.site.run(500)

    def submit(self, job_id: str) -> Outcome:
        path = f"{QUEUE.path_prefix}{job_id}"
        reply = self.site.call(SubmitCall(QUEUE.host, path, spec()))
        return reply.answer.outcome if isinstance(reply, Reply) else Outcome.UNKNOWN

    def active_jobs(self) -> list[str]:
        jobs = self.site.machine.state.jobs.values()
        return [job.job_id for job in jobs if job.phase is JobPhase.ACTIVE]

    # Issue 55: a leader with a valid lease began anew every 50 ms, each time from the
    # whole state and with a poll of each target.
    def test_leader_whose_proposals_are_refused_seldom_begins_anew(self) -> None:
        self.site.outcome = "not_leader"
        first = self.site.service.generation
        for number in range(REFUSED_MS // 1_000):
            # A call or a poll brings something to propose at any time.
            for _ in range(20):
                self.submit(f"{number:016x}")
                self.site.run(50)
        self.assertLessEqual(self.site.service.generation - first, MAX_RESTARTS)

    def test_member_serves_again_soon_after_proposals_are_taken(self) -> None:
        for refused_ms in (100, 1_000, REFUSED_MS):
            with self.subTest(refused_ms=refused_ms):
                job_id = f"{refused_ms:016x}"
                self.assertIs(self.submit(job_id), Outcome.OK)
                self.site.outcome = "not_leader"
                for _ in range(refused_ms // 100):
                    self.submit(JOB)
                    self.site.run(100)
                self.site.outcome = "applied"
                self.site.run(SERVES_WITHIN_MS)
                self.assertIs(self.submit(JOB), Outcome.OK)
                self.site.run(500)
                self.assertIn(job_id, self.active_jobs())
                self.assertIn(JOB, self.active_jobs())

    def test_lease_that_is_not_valid_for_a_while_ends_no_leadership_for_good(
        self,
    ) -> None:
        self.site.outcome, self.site.is_lease_valid = "not_leader", False
        for _ in range(20):
            self.submit(JOB)
            self.site.run(100)
        self.site.outcome, self.site.is_lease_valid = "applied", True
        self.site.run(SERVES_WITHIN_MS)
        self.assertIs(self.submit(JOB), Outcome.OK)
        self.site.run(500)
        self.assertEqual(self.active_jobs(), [JOB])

    def test_run_that_was_committed_is_not_started_again(self) -> None:
        self.assertIs(self.submit(JOB), Outcome.OK)
        self.site.run(500)
        self.assertEqual(self.active_jobs(), [JOB])
        self.site.outcome = "not_leader"
        for _ in range(50):
            self.submit(OTHER_JOB)
            self.site.run(100)
        self.site.outcome = "applied"
        self.site.run(SERVES_WITHIN_MS)
        task = self.site.machine.state.jobs[JOB].occurrences[0][0].tasks[0]
        self.assertEqual(list(task.runs), [1])
        runs = {
            call.args[1].run
            for call in self.site.api.order.call_args_list
            if isinstance(call.args[1], StartOrder)
        }
        self.assertEqual(runs, {run_key()})


if __name__ == "__main__":
    unittest.main()
