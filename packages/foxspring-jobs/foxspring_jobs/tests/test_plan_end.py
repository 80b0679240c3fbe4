"""A plan ends after a while, so that calls and results don't wait for all starts."""

import unittest
from unittest import mock

from foxspring_jobs import _leader
from foxspring_jobs._state import JobPhase
from foxspring_jobs.tests.builders import (
    JOB,
    OTHER_JOB,
    registered,
    spec,
    state_with,
    step,
    submit,
)
from foxspring_jobs.tests.fake_cluster import FakeCluster
from foxspring_jobs.tests.planning import jobs_of, plan

STEPS = 12


class PlanEndTest(unittest.TestCase):
    def test_plan_that_is_over_leaves_further_steps_to_the_next(self) -> None:
        """Guards: calls waited for 11 s while a job of 12,000 steps was started."""
        state = state_with(registered())
        submit(state, spec(step(2)), JOB)
        submit(state, spec(step(1, estimated_ms=100_000)), OTHER_JOB)
        self.assertEqual(jobs_of(plan(state, is_over=lambda: True)), [JOB, JOB])

    def test_plan_without_a_start_goes_on(self) -> None:
        """Guards: a step that can start would wait behind those that cannot."""
        state = state_with(registered())
        submit(state, spec(step(required_label="nowhere")), JOB)
        submit(state, spec(step(1, estimated_ms=100_000)), OTHER_JOB)
        self.assertEqual(jobs_of(plan(state, is_over=lambda: True)), [OTHER_JOB])

    def test_all_steps_start_in_later_plans(self) -> None:
        cluster = FakeCluster(*(registered(f"t{number}") for number in range(STEPS)))
        cluster.run(1_500)
        with mock.patch.object(_leader, "MAX_PLAN_MS", 0):
            cluster.submit(spec(*[step(2)] * STEPS))
            cluster.run(3_000)
        self.assertEqual(cluster.violations, [])
        self.assertIs(cluster.phase(), JobPhase.COMPLETED)
