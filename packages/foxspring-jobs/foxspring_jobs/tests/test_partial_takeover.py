"""A target that can't be taken over leaves the others to the new leader."""

import unittest
from unittest import mock

from foxspring_jobs._commands import RegisterTarget
from foxspring_jobs._operations import Outcome
from foxspring_jobs._state import JobPhase
from foxspring_jobs._takeover import TAKEOVER_RETRY_MS
from foxspring_jobs._target_poller import TargetPoller
from foxspring_jobs.tests.builders import OTHER_JOB, registered, run_key, spec, step
from foxspring_jobs.tests.fake_cluster import FakeCluster

LOGGER = "foxspring_jobs"
OPEN_SESSION = TargetPoller.open_session


def failing_for(*names: str) -> "mock._patch[object]":
    """Return a patch that lets sessions with some targets fail."""

    def open_session(
        self: TargetPoller, target: RegisterTarget, taking_over: bool = False
    ) -> None:
        OPEN_SESSION(self, target, taking_over)
        if target.incarnation.target_id in names:
            raise KeyError("unexpected")

    return mock.patch.object(TargetPoller, "open_session", open_session)


class PartialTakeoverTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cluster = FakeCluster(registered("t1"), registered("t2"))
        self.addCleanup(lambda: self.assertEqual(self.cluster.violations, []))
        self.cluster.run(1_500)
        self.cluster.submit(spec(step(2, max_per_target=1)))
        self.cluster.run(200)

    # Issue 55: what kept one target from being taken over kept every member from
    # leading.
    def test_leader_begins_although_one_target_cannot_be_taken_over(self) -> None:
        with failing_for("t1"), self.assertLogs(LOGGER, "ERROR") as logs:
            self.cluster.change_leader()
            self.cluster.submit(spec(), OTHER_JOB)
            self.cluster.run(3_000)
        self.assertIn("event=targets_not_taken_over count=1 of=2", logs.output[0])
        self.assertIs(self.cluster.answers[-1].outcome, Outcome.OK)
        self.assertIs(self.cluster.phase(OTHER_JOB), JobPhase.COMPLETED)
        self.assertIs(self.cluster.phase(), JobPhase.ACTIVE)

    def test_the_target_is_taken_over_once_that_succeeds(self) -> None:
        with failing_for("t1"), self.assertLogs(LOGGER, "ERROR"):
            self.cluster.change_leader()
            self.cluster.run(3_000)
        self.cluster.run(TAKEOVER_RETRY_MS + 1_000)
        self.assertIs(self.cluster.phase(), JobPhase.COMPLETED)
        self.assertEqual([self.cluster.starts_of(run_key(n)) for n in range(2)], [1, 1])

    def test_member_that_can_take_over_no_target_does_not_lead(self) -> None:
        with failing_for("t1", "t2"), self.assertRaises(KeyError):
            self.cluster.change_leader()


if __name__ == "__main__":
    unittest.main()
