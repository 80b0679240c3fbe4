"""A target's view that can't be handled costs that target at most, not the others."""

import unittest

from foxspring_jobs._commands import RunKey, TaskKey
from foxspring_jobs._orders import ReportedEnd
from foxspring_jobs._state import EndKind, JobPhase
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


if __name__ == "__main__":
    unittest.main()
