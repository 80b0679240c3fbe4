"""A step without a task that may start now says nothing of the room for others."""

import unittest

from foxspring_model import Resources

from foxspring_jobs._crash_counts import MAX_CRASHES, CrashCount
from foxspring_jobs._specs import StepSpec
from foxspring_jobs._state import EndKind, JobPhase, State
from foxspring_jobs._waiting import Precedence, Rank, WaitingStep
from foxspring_jobs.tests.builders import (
    JOB,
    OTHER_JOB,
    end,
    registered,
    run_key,
    spec,
    start,
    state_with,
    step,
    submit,
)
from foxspring_jobs.tests.fake_cluster import FakeCluster
from foxspring_jobs.tests.planning import jobs_of, plan

LONG_MS = 20_000
HELD_BACK = CrashCount(silent=MAX_CRASHES)
STEP_KEY = (JOB, 0, 0)
# Leaves room for all, but less than half of the target.
MOST = Resources(cores_milli=60_000, memory_mb=100)


def waiting(job_id: str, rank: Rank = Rank.IN_TIME) -> WaitingStep:
    return WaitingStep(Precedence.NORMAL, 0, rank, 0, 0, job_id, 0, 0)


def hold_back(state: State, job_id: str = JOB) -> None:
    """Let the tasks of a job wait until it is known what became of lost targets."""
    for task_step in state.jobs[job_id].occurrences[0]:
        task_step.has_crashes = True
        for ordinal in range(len(task_step.tasks)):
            task_step.own(ordinal).crashes = HELD_BACK


class EqualStepTest(unittest.TestCase):
    """Jobs that come first in the order, and an equal one with room for it."""

    def site(self, job_step: StepSpec) -> State:
        state = state_with(registered("t1", cores=64_000))
        submit(state, spec(job_step), JOB)
        submit(state, spec(job_step), OTHER_JOB)
        return state

    def test_equal_step_starts_beside_a_job_that_is_tried_one_task_at_a_time(
        self,
    ) -> None:
        """Guards: a job that can't be done held up an equal sound one (review/5)."""
        state = self.site(step(2))
        for index in range(2):
            start(state, run_key(index))
            end(state, run_key(index), EndKind.FAILED)
        start(state, run_key(0, number=2))
        steps = [waiting(JOB), waiting(OTHER_JOB)]
        self.assertEqual(jobs_of(plan(state, steps=steps)), [OTHER_JOB, OTHER_JOB])

    def test_equal_step_starts_beside_tasks_that_are_held_back(self) -> None:
        """Guards: a job whose targets fell silent held up equal ones."""
        for kind in (step(2), step(2, speculative=True), step(2, data_rack="r1")):
            with self.subTest(kind=kind):
                state = self.site(kind)
                hold_back(state)
                steps = [waiting(JOB), waiting(OTHER_JOB)]
                self.assertEqual(
                    jobs_of(plan(state, steps=steps)), [OTHER_JOB, OTHER_JOB]
                )

    def test_equal_restart_is_not_blocked_by_one_that_is_held_back(self) -> None:
        """Guards: an interrupted task waited though its service had room."""
        state = self.site(step(long_running=True))
        submit(state, spec(step(long_running=True, resources=MOST)), "c" * 16)
        start(state, run_key(job_id="c" * 16))
        for job_id in (JOB, OTHER_JOB):
            run = run_key(job_id=job_id)
            start(state, run)
            end(state, run, EndKind.FAILED)
        hold_back(state)
        steps = [waiting(JOB, Rank.RESTART), waiting(OTHER_JOB, Rank.RESTART)]
        self.assertEqual(jobs_of(plan(state, steps=steps)), [OTHER_JOB])

    def test_step_that_fits_nowhere_still_blocks_equal_ones(self) -> None:
        state = self.site(step(resources=MOST))
        submit(state, spec(step(resources=MOST)), "c" * 16)
        self.assertEqual(len(plan(state)), 1)


class HeldTargetTest(unittest.TestCase):
    def test_no_target_is_held_for_a_restart_that_may_not_start(self) -> None:
        """Guards: a target ran empty for tasks that were not to start."""
        state = state_with(registered("t1"))
        submit(state, spec(step(long_running=True)), JOB)
        start(state, run_key())
        end(state, run_key(), EndKind.FAILED)
        hold_back(state)
        whole = step(resources=Resources(cores_milli=4_000, memory_mb=100))
        submit(state, spec(whole), OTHER_JOB)
        steps = [waiting(JOB, Rank.RESTART), waiting(OTHER_JOB)]
        holding = frozenset({STEP_KEY})
        self.assertEqual(
            jobs_of(plan(state, steps=steps, holding=holding)), [OTHER_JOB]
        )


class LeaderTest(unittest.TestCase):
    def test_sound_job_is_done_beside_an_equal_one_that_fails(self) -> None:
        """Guards: a sound job waited for 20 s while a failing one was tried again."""
        cluster = FakeCluster(*(registered(f"t{number}") for number in range(6)))
        self.addCleanup(lambda: self.assertEqual(cluster.violations, []))
        cluster.run(1_500)
        equal = spec(step(2, estimated_ms=LONG_MS))
        for target in cluster.targets.values():
            target.fails = True
            target.work_ms_by_job[OTHER_JOB] = 500
        cluster.submit(equal)
        cluster.run(300)
        for target in cluster.targets.values():
            target.work_ms = LONG_MS
            target.fails = False
        cluster.run(700)
        step_state = cluster.committed.jobs[JOB].occurrences[0][0]
        self.assertEqual((step_state.failures(), step_state.running), (2, 1))
        cluster.submit(equal, OTHER_JOB)
        cluster.run(1_500)
        self.assertIs(cluster.phase(OTHER_JOB), JobPhase.COMPLETED)
