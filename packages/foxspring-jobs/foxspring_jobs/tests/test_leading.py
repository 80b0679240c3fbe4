"""A member begins to lead, again and again, and each time targets can follow."""

import unittest
from unittest import mock

from foxspring_jobs._commands import Advance
from foxspring_jobs._job_log import JobLog
from foxspring_jobs._operations import Outcome, Reply, SubmitCall
from foxspring_jobs._service import GENERATIONS_PER_TERM, TOKENS_PER_TERM
from foxspring_jobs._state import JobPhase
from foxspring_jobs.tests.builders import JOB, QUEUE, registered, spec, state_with
from foxspring_jobs.tests.service_builders import OnDone, ServiceSite

RECOVERED_WITHIN_MS = 8_000


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


if __name__ == "__main__":
    unittest.main()
