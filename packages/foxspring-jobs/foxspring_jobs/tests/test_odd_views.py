"""A target's view that can't be handled costs that target at most, not the others."""

import unittest
from unittest import mock

from foxspring_jobs._commands import RunKey, TaskKey
from foxspring_jobs._orders import ReportedEnd
from foxspring_jobs._session import TargetSession
from foxspring_jobs._state import EndKind, JobPhase, TargetState
from foxspring_jobs._target_mitigation import TargetMitigation
from foxspring_jobs.tests.builders import JOB, registered, spec, step
from foxspring_jobs.tests.fake_cluster import FakeCluster


class OddViewTest(unittest.TestCase):
    # Found beside issue 55: the end of a step that its job hasn't ended the polls of
    # the target that listed it, so that its runs never ended.
    def test_target_that_lists_an_unknown_step_is_polled_on(self) -> None:
        cluster = FakeCluster(registered("t1", cores=1_000))
        cluster.run(1_500)
        cluster.submit(spec(step(1)))
        cluster.run(200)
        target = cluster.targets["t1.example:80"]
        self.assertEqual(len(target.running), 1)
        target.ends += 1
        unknown = RunKey(TaskKey(JOB, 0, 7, 0), 1)
        target.finished.append(ReportedEnd(target.ends, unknown, EndKind.FAILED, ""))
        cluster.run(3_000)
        self.assertIs(cluster.phase(), JobPhase.COMPLETED)

    # Found beside issue 55: a target was never polled again after an exception, and the
    # work on it never went on elsewhere.
    def test_work_of_a_target_whose_views_fail_goes_on_elsewhere(self) -> None:
        cluster = FakeCluster(registered("t1"), registered("t2"))
        cluster.run(1_500)
        cluster.submit(spec(step(2, max_per_target=1)))
        failing = mock.patch.object(TargetMitigation, "mitigate", fail_at_first_target)
        with failing, self.assertLogs("foxspring_jobs", "ERROR"):
            cluster.run(20_000)
        self.assertIs(cluster.phase(), JobPhase.COMPLETED)
        self.assertEqual(cluster.violations, [])


def fail_at_first_target(
    _mitigation: TargetMitigation, session: TargetSession, _target: TargetState
) -> None:
    """Fail for one target, in place of ``TargetMitigation.mitigate``."""
    if session.incarnation.target_id == "t1":
        raise KeyError("unexpected")


if __name__ == "__main__":
    unittest.main()
