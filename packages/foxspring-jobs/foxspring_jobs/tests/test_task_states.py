"""Tasks that have not begun, or are done, cost next to nothing."""

import random
import tracemalloc
import unittest

import msgspec

from foxspring_jobs._commands import CancelJob
from foxspring_jobs._snapshot import decode_state, encode_state
from foxspring_jobs._specs import MAX_TASKS_PER_OCCURRENCE
from foxspring_jobs._state import EndKind, JobPhase, State
from foxspring_jobs._task_states import DONE_TASK, NEW_TASK, TaskState
from foxspring_jobs.tests.builders import (
    JOB,
    end,
    registered,
    run_key,
    spec,
    start,
    state_with,
    step,
    submit,
)

# The users' site takes 2.6 times 3.4 jobs a second for 6 s.
BURST = 53
MEMBER_MB = 296
# The applied state, the leader's draft, and one more while that is made.
COPIES = 3
MB = 1_000_000


class SharedStateTest(unittest.TestCase):
    def test_burst_of_wide_jobs_fits_in_a_member(self) -> None:
        """Guards: each accepted task costs a leader memory before its turn (LOST)."""
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        state = state_with(registered())
        for number in range(BURST):
            wide = spec(step(MAX_TASKS_PER_OCCURRENCE))
            submit(state, wide, f"{number:016x}")
        held_mb = tracemalloc.get_traced_memory()[0] / MB
        self.assertLess(COPIES * held_mb, MEMBER_MB / 4)
        tracemalloc.reset_peak()
        draft, _ = decode_state(encode_state(state, 0))
        peak_mb = tracemalloc.get_traced_memory()[1] / MB
        self.assertLess(peak_mb, MEMBER_MB / 4)
        self.assertEqual(len(draft.active), BURST)

    def test_done_tasks_share_their_state(self) -> None:
        state = state_with(registered(cores=100_000))
        submit(state, spec(step(3)))
        tasks = state.jobs[JOB].occurrences[0][0].tasks
        start(state, run_key(0))
        end(state, run_key(0))
        self.assertIs(tasks[0], DONE_TASK)
        self.assertIs(tasks[1], NEW_TASK)

    def test_job_that_has_ended_keeps_its_tasks_only_while_one_runs(self) -> None:
        """Guards: ended jobs, kept for their callers, that fill a member (LOST)."""
        state = state_with(registered())
        submit(state, spec(step(3)))
        start(state, run_key(0))
        start(state, run_key(1))
        end(state, run_key(0), EndKind.FAILED)
        state.apply(CancelJob(JOB), 5)
        job = state.jobs[JOB]
        self.assertEqual(list(state.runs_of(job))[0][0], run_key(1))
        end(state, run_key(1), EndKind.STOPPED)
        self.assertEqual((job.occurrences, job.spec.payload), ({}, ""))
        self.assertEqual(job.failures(), 1)
        self.assertIs(job.phase, JobPhase.CANCELLED)
        self.assertEqual(state.targets["t1"].runs, {})

    def test_shared_state_cannot_be_changed(self) -> None:
        """Guards: a change of one task that shows in all others."""
        for task in (NEW_TASK, DONE_TASK):
            with self.assertRaises(AttributeError):
                task.attempts = 1
            with self.assertRaises(TypeError):
                task.runs[1] = registered().incarnation

    def test_start_changes_no_other_task(self) -> None:
        state = state_with(registered())
        submit(state, spec(step(3)))
        start(state, run_key(1))
        tasks = state.jobs[JOB].occurrences[0][0].tasks
        self.assertEqual([task.last_run for task in tasks], [0, 1, 0])


class SnapshotTest(unittest.TestCase):
    """A snapshot holds each task as it is, whichever tasks share their state."""

    def state(self, seed: int) -> State:
        rng = random.Random(seed)
        state = state_with(registered(cores=100_000))
        kinds = (EndKind.DONE, EndKind.DONE, EndKind.FAILED, EndKind.STOPPED)
        wide = step(
            12, gang=seed % 5 == 0, long_running=seed % 4 == 0, speculative=True
        )
        submit(state, spec(wide, step(2, after=(0,))))
        for number in range(1, 30):
            run = run_key(rng.randrange(12), number)
            start(state, run)
            task = state.task(run.task)
            if task is not None and task.runs and rng.random() < 0.7:
                running = run._replace(number=min(task.runs))
                checkpoint = rng.choice(("", "c"))
                end(state, running, rng.choice(kinds), checkpoint=checkpoint)
        if seed % 7 == 0:
            state.apply(CancelJob(JOB), 5)
        return state

    def test_round_trip_after_random_starts_and_ends(self) -> None:
        for seed in range(50):
            with self.subTest(seed=seed):
                state = self.state(seed)
                again, _ = decode_state(encode_state(state, 7))
                self.assertEqual(encode_state(again, 7), encode_state(state, 7))
                for steps in zip(
                    state.jobs[JOB].occurrences.get(0, ()),
                    again.jobs[JOB].occurrences.get(0, ()),
                    strict=True,
                ):
                    before, after = (list(map(essence, s.tasks)) for s in steps)
                    self.assertEqual(after, before)
                    self.assertEqual(*(s.unfinished for s in steps))
                    self.assertEqual(*(s.idle for s in steps))
                    self.assertEqual(*(s.running for s in steps))

    def test_snapshot_of_the_release_before_is_read(self) -> None:
        """Guards: a new version that can't start on the disks of the old one."""
        state = state_with(registered())
        submit(state, spec(step(4)))
        for ordinal in range(3):
            start(state, run_key(ordinal))
        end(state, run_key(0))
        end(state, run_key(1), EndKind.FAILED, checkpoint="c")
        rows = msgspec.msgpack.decode(encode_state(state, 7))
        new_task = [False, 0, 0, "", [], [0, 0, 0, 0, 0], 0]
        done_task = [True, 0, 1, "", [], [0, 0, 0, 0, 0], 0]
        step_row = rows[4][0][7][0][1][0]
        own_tasks = dict(zip(step_row[2], step_row[1], strict=True))
        all_tasks = [done_task, own_tasks[1], own_tasks[2], new_task]
        step_row[:] = [step_row[0], all_tasks]
        again, _ = decode_state(msgspec.msgpack.encode(rows))
        self.assertEqual(encode_state(again, 7), encode_state(state, 7))
        self.assertIs(again.jobs[JOB].phase, JobPhase.ACTIVE)


def essence(task: TaskState) -> tuple[object, ...]:
    """Return what decisions depend on."""
    if task.done and not task.runs:
        return (True, task.attempts)
    return (
        task.done,
        task.attempts,
        task.last_run,
        task.checkpoint,
        dict(task.runs),
        task.crashes,
    )


if __name__ == "__main__":
    unittest.main()
