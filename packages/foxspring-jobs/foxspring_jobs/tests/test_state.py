import random
import unittest

from foxspring_jobs._commands import Advance, CancelJob, ReplaceTable, RunStart
from foxspring_jobs._snapshot import decode_state, encode_state
from foxspring_jobs._state import EndKind, JobPhase
from foxspring_jobs._task_states import StepState
from foxspring_jobs.tests.builders import (
    JOB,
    TABLE,
    end,
    registered,
    run_key,
    spec,
    start,
    state_with,
    step,
    submit,
)


class JobRulesTest(unittest.TestCase):
    def test_later_step_waits_for_all_earlier_tasks(self) -> None:
        state = state_with(registered())
        submit(state, spec(step(2), step(1, after=(0,))))
        job = state.jobs[JOB]
        for index in range(2):
            self.assertFalse(job.step_is_ready(0, 1))
            start(state, run_key(index))
            end(state, run_key(index))
        self.assertTrue(job.step_is_ready(0, 1))

    def test_completed_only_when_every_task_is_done(self) -> None:
        state = state_with(registered())
        submit(state, spec(step(2)))
        for index in range(2):
            self.assertIsNot(state.jobs[JOB].phase, JobPhase.COMPLETED)
            start(state, run_key(index))
            end(state, run_key(index))
        self.assertIs(state.jobs[JOB].phase, JobPhase.COMPLETED)

    def test_job_fails_after_max_attempts_and_counts_only_failures(
        self,
    ) -> None:
        state = state_with(registered())
        submit(state, spec())
        kinds = (EndKind.LAPSED, EndKind.FAILED, EndKind.STOPPED, EndKind.FAILED)
        for number, kind in enumerate(kinds, 1):
            self.assertFalse(state.jobs[JOB].has_ended())
            start(state, run_key(number=number))
            end(state, run_key(number=number), kind)
        self.assertIs(state.jobs[JOB].phase, JobPhase.FAILED)

    def test_long_running_task_has_no_attempt_limit_and_runs_again(self) -> None:
        state = state_with(registered())
        submit(state, spec(step(long_running=True)))
        for number in range(1, 6):
            start(state, run_key(number=number))
            end(state, run_key(number=number), EndKind.FAILED)
        self.assertFalse(state.jobs[JOB].has_ended())
        self.assertEqual(state.jobs[JOB].occurrences[0][0].idle, 1)

    def test_resubmitting_a_job_changes_nothing(self) -> None:
        state = state_with(registered())
        submit(state, spec(step(3)))
        submit(state, spec(step(1)))
        self.assertEqual(state.jobs[JOB].spec.steps[0].task_count, 3)

    def test_checkpoint_of_a_stopped_run_is_kept(self) -> None:
        state = state_with(registered())
        submit(state, spec(step(checkpoints=True)))
        start(state, run_key())
        end(state, run_key(), EndKind.STOPPED, checkpoint="c1")
        task = state.task(run_key().task)
        self.assertEqual(task.checkpoint if task else "", "c1")

    def test_cancelled_job_starts_nothing_and_lists_obsolete_runs(self) -> None:
        state = state_with(registered())
        submit(state, spec(step(2)))
        start(state, run_key(0))
        state.apply(CancelJob(JOB), 5)
        start(state, run_key(1))
        self.assertEqual(state.obsolete_runs, [run_key(0)])
        self.assertEqual(list(state.targets["t1"].runs), [run_key(0)])

    def test_gang_is_done_when_one_of_its_runs_is_done(self) -> None:
        state = state_with(registered())
        submit(state, spec(step(2, gang=True)))
        for index in range(2):
            start(state, run_key(index))
        end(state, run_key(0))
        self.assertIs(state.jobs[JOB].phase, JobPhase.COMPLETED)


class CountsTest(unittest.TestCase):
    """A step's counts follow each change as if all its tasks were counted again."""

    def test_counts_after_random_starts_and_ends(self) -> None:
        for seed in range(20):
            rng = random.Random(seed)
            state = state_with(registered(cores=100_000))
            wide = step(
                6, gang=seed % 5 == 0, long_running=seed % 4 == 0, speculative=True
            )
            submit(state, spec(wide))
            counts = state.jobs[JOB].occurrences[0][0]
            for number in range(1, 60):
                run = run_key(rng.randrange(6), number)
                start(state, run)
                task = counts.tasks[run.task.ordinal]
                if task.runs and rng.random() < 0.7:
                    running = run._replace(number=min(task.runs))
                    kinds = (EndKind.DONE, EndKind.STOPPED, EndKind.LAPSED)
                    end(state, running, rng.choice(kinds))
                again = StepState(counts.tasks)
                with self.subTest(seed=seed, number=number):
                    self.assertEqual(counts.idle, again.idle)
                    self.assertEqual(counts.running, again.running)
                    self.assertEqual(counts.unfinished, again.unfinished)


class PlacementRulesTest(unittest.TestCase):
    def test_start_that_does_not_fit_is_refused(self) -> None:
        state = state_with(registered(cores=1_500))
        submit(state, spec(step(2)))
        with self.assertLogs("foxspring_model", "CRITICAL"):
            start(state, run_key(0))
            start(state, run_key(1))
        self.assertEqual(list(state.targets["t1"].runs), [run_key(0)])

    def test_second_target_for_a_task_is_refused(self) -> None:
        state = state_with(registered("t1"), registered("t2"))
        submit(state, spec())
        with self.assertLogs("foxspring_model", "CRITICAL"):
            start(state, run_key(number=1), "t1")
            start(state, run_key(number=2), "t2")
        self.assertEqual(len(state.targets["t2"].runs), 0)

    def test_run_numbers_only_increase(self) -> None:
        state = state_with(registered())
        submit(state, spec())
        start(state, run_key(number=3))
        end(state, run_key(number=3), EndKind.LAPSED)
        start(state, run_key(number=3))
        self.assertEqual(len(state.targets["t1"].runs), 0)

    def test_new_incarnation_ends_the_runs_of_the_earlier_one(self) -> None:
        state = state_with(registered(incarnation_ms=1))
        submit(state, spec())
        start(state, run_key())
        state.apply(registered(incarnation_ms=2), 0)
        task = state.task(run_key().task)
        self.assertEqual(task.runs if task else None, {})
        state.apply(registered(incarnation_ms=1), 0)
        self.assertEqual(state.targets["t1"].incarnation.incarnation_ms, 2)

    def test_start_on_an_earlier_incarnation_changes_nothing(self) -> None:
        state = state_with(registered(incarnation_ms=1))
        submit(state, spec())
        start(state, run_key())
        old = state.targets["t1"].incarnation
        state.apply(registered(incarnation_ms=2), 0)
        state.apply(Advance(starts=(RunStart(run_key(number=2), old),)), 0)
        self.assertEqual(len(state.targets["t1"].runs), 0)

    def test_draining_is_not_reverted(self) -> None:
        state = state_with(registered(draining=True))
        state.apply(registered(draining=False), 0)
        self.assertTrue(state.targets["t1"].registered.draining)


class TableTest(unittest.TestCase):
    def test_highest_version_stays(self) -> None:
        state = state_with()
        state.apply(ReplaceTable(TABLE._replace(version=5, document=b"5")), 0)
        for version in (5, 4):
            late = TABLE._replace(version=version, document=b"late")
            state.apply(ReplaceTable(late), 0)
        self.assertEqual((state.table.version, state.table.document), (5, b"5"))


class SnapshotTest(unittest.TestCase):
    def test_state_survives_a_round_trip(self) -> None:
        state = state_with(registered("t1"), registered("t2", draining=True))
        submit(state, spec(step(2, best_effort=True, image="f"), step(1, after=(0,))))
        start(state, run_key(0))
        end(state, run_key(0), EndKind.FAILED, checkpoint="c")
        start(state, run_key(1))
        data = encode_state(state, 7)
        again, index = decode_state(data)
        self.assertEqual(index, 7)
        self.assertEqual(encode_state(again, 7), data)
        self.assertEqual(again.targets["t1"].used, state.targets["t1"].used)
        self.assertEqual(again.targets["t1"].best_effort_cores, {"f": 1_000})
        self.assertIn(JOB, again.active)

    def test_invalid_bytes_are_refused(self) -> None:
        with self.assertRaises(ValueError):
            decode_state(b"not a state")


if __name__ == "__main__":
    unittest.main()
