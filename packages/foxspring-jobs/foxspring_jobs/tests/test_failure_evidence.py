"""Which failures count against a target, and what they do to it."""

import unittest

from foxspring_jobs._commands import TaskKey
from foxspring_jobs._failure_evidence import FAILURES_OF_FAULTY_WORK, FailureEvidence
from foxspring_jobs._health import (
    MAX_FAILED_TASKS,
    MAX_QUARANTINE_MS,
    PROBE_INTERVAL_MS,
    QUARANTINE_MS,
    QUARANTINE_RESET_MS,
    STALL_BLAME,
    TargetHealth,
)
from foxspring_jobs._state import EndKind, State
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

TASK = run_key(0).task
SECOND_TASK = run_key(1).task
OTHER_TASK = run_key(job_id=OTHER_JOB).task


def is_never_faulty(_task: TaskKey) -> bool:
    return False


class TaskEvidenceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.evidence = FailureEvidence()

    def test_task_that_fails_on_a_second_target_is_faulty(self) -> None:
        self.evidence.note_failed(TASK, "t1")
        self.evidence.note_failed(TASK, "t1")
        self.assertFalse(self.evidence.is_faulty(TASK))
        self.evidence.note_failed(TASK, "t2")
        self.assertTrue(self.evidence.is_faulty(TASK))
        self.assertFalse(self.evidence.is_faulty(SECOND_TASK))

    # Guards against a task that only one target may run, and that keeps it in
    # quarantine for good.
    def test_task_that_fails_often_on_its_only_target_is_faulty(self) -> None:
        for _ in range(FAILURES_OF_FAULTY_WORK):
            self.assertFalse(self.evidence.is_faulty(TASK))
            self.evidence.note_failed(TASK, "t1")
        self.assertTrue(self.evidence.is_faulty(TASK))

    # Guards against innocent tasks that stand still on two slow targets in a row.
    def test_run_without_progress_is_weaker_evidence(self) -> None:
        for _ in range(FAILURES_OF_FAULTY_WORK):
            self.assertFalse(self.evidence.is_faulty(TASK))
            self.evidence.note_stalled(TASK)
        self.assertTrue(self.evidence.is_faulty(TASK))

    def test_success_clears_the_task_and_its_step_but_no_other_task(self) -> None:
        for target in ("t1", "t2"):
            self.evidence.note_failed(TASK, target)
            self.evidence.note_failed(SECOND_TASK, target)
        self.evidence.note_success(TASK)
        self.assertFalse(self.evidence.is_faulty(TASK))
        self.assertTrue(self.evidence.is_faulty(SECOND_TASK))
        self.evidence.note_success(SECOND_TASK)
        self.assertEqual(self.evidence.steps, {})

    def test_what_failed_is_forgotten_with_its_job(self) -> None:
        state = state_with(registered())
        submit(state, spec(step(2)))
        self.evidence.note_failed(TASK, "t1")
        self.evidence.note_failed(OTHER_TASK, "t1")
        self.evidence.forget_purged(state)
        self.assertEqual(list(self.evidence.steps), [(JOB, 0, 0)])


class StepEvidenceTest(unittest.TestCase):
    """A step of which several tasks fail once each."""

    def setUp(self) -> None:
        self.evidence = FailureEvidence()

    def state(self) -> State:
        state = state_with(registered("t1"), registered("t2"))
        submit(state, spec(step(4, long_running=True)))
        for index in range(4):
            start(state, run_key(index), f"t{1 + index % 2}")
        return state

    def fail_run(self, state: State, index: int, target: str) -> None:
        end(state, run_key(index), EndKind.FAILED)
        self.evidence.note_failed(run_key(index).task, target)
        self.evidence.judge_steps(state)

    def test_step_is_faulty_once_more_of_its_runs_have_failed_than_run(self) -> None:
        state = self.state()
        self.fail_run(state, 0, "t1")
        self.fail_run(state, 1, "t2")
        self.assertFalse(self.evidence.is_faulty(TASK))
        self.fail_run(state, 2, "t1")
        self.assertTrue(self.evidence.is_faulty(TASK))

    # Guards against a faulty target that passes as sound since all of a job was on it.
    def test_step_whose_runs_all_fail_on_one_target_is_not_faulty(self) -> None:
        state = self.state()
        for index in range(4):
            self.fail_run(state, index, "t1")
        self.assertFalse(self.evidence.is_faulty(TASK))

    def test_unknown_steps_do_not_count_as_running(self) -> None:
        state = self.state()
        for number in (0, 9):
            task = TaskKey(JOB, 7, number, 0)
            self.evidence.note_failed(task, "t1")
            self.evidence.note_failed(task._replace(ordinal=1), "t2")
        self.assertEqual(len(self.evidence.judge_steps(state)), 2)


class HealthTest(unittest.TestCase):
    def setUp(self) -> None:
        self.health = TargetHealth()

    def is_to_blame(self) -> bool:
        return self.health.is_to_blame(is_never_faulty)

    def test_failures_of_one_job_do_not_blame_the_target(self) -> None:
        for _ in range(5):
            self.health.note_failed(TASK)
            self.health.note_failed(SECOND_TASK)
        self.assertFalse(self.is_to_blame())
        self.assertTrue(self.health.may_start(0))
        self.assertTrue(self.health.on_probation())

    def test_failures_of_several_jobs_blame_the_target(self) -> None:
        self.health.note_failed(TASK)
        self.health.note_failed(OTHER_TASK)
        self.assertTrue(self.is_to_blame())
        self.assertFalse(self.health.is_to_blame(lambda task: task == TASK))

    def test_one_run_without_progress_blames_the_target(self) -> None:
        self.health.note_failed(TASK, STALL_BLAME)
        self.health.note_failed(TASK)
        self.assertTrue(self.is_to_blame())

    def test_quarantine_lasts_until_a_probe_succeeds(self) -> None:
        self.health.quarantine(0)
        self.assertFalse(self.health.may_start(QUARANTINE_MS - 1))
        self.assertTrue(self.health.may_start(QUARANTINE_MS))
        self.health.note_start(QUARANTINE_MS)
        self.assertFalse(self.health.may_start(QUARANTINE_MS + 1))
        self.assertTrue(self.health.may_start(QUARANTINE_MS + PROBE_INTERVAL_MS))
        self.health.clear()
        self.assertTrue(self.health.may_start(QUARANTINE_MS + 1))

    def test_each_quarantine_is_longer_up_to_a_limit(self) -> None:
        pauses_ms = [self.health.quarantine(0) for _ in range(4)]
        self.assertEqual(pauses_ms[0], QUARANTINE_MS)
        self.assertEqual(pauses_ms, sorted(pauses_ms))
        self.assertEqual(pauses_ms[-1], MAX_QUARANTINE_MS)

    def test_quarantine_ends_on_a_target_with_only_long_running_tasks(self) -> None:
        self.health.quarantine(0)
        self.assertFalse(self.health.is_quiet(QUARANTINE_MS + QUARANTINE_RESET_MS - 1))
        self.assertTrue(self.health.is_quiet(QUARANTINE_MS + QUARANTINE_RESET_MS))
        self.health.clear()
        self.health.note_start(QUARANTINE_MS + QUARANTINE_RESET_MS)
        self.assertTrue(self.health.may_start(QUARANTINE_MS + QUARANTINE_RESET_MS))

    def test_failed_tasks_kept_are_bounded(self) -> None:
        for index in range(2 * MAX_FAILED_TASKS):
            self.health.note_failed(run_key(index).task)
        self.assertEqual(len(self.health.failed), MAX_FAILED_TASKS)

    def test_failures_of_a_step_are_forgotten(self) -> None:
        for task in (TASK, SECOND_TASK, OTHER_TASK):
            self.health.note_failed(task)
        self.health.forget_failures(TASK[:3])
        self.assertEqual(list(self.health.failed), [OTHER_TASK])


if __name__ == "__main__":
    unittest.main()
