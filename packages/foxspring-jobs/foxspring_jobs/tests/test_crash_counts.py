import unittest

from foxspring_jobs._commands import (
    Advance,
    RegisterTarget,
    RunStart,
    TargetIncarnation,
    TargetLoss,
)
from foxspring_jobs._crash_counts import (
    CRASH_MEMORY_MS,
    MAX_CRASHES,
    MAX_EARLY_CRASHES,
    NO_CRASHES,
    SURELY_LASTING_MS,
    CrashCount,
    RunAge,
    after_crash,
    after_silence,
    is_given_up,
    is_held_back,
)
from foxspring_jobs._silent_losses import MAX_LOSSES, MEMORY_MS
from foxspring_jobs._snapshot import decode_state, encode_state
from foxspring_jobs._startable import startable_tasks
from foxspring_jobs._state import JobPhase, State
from foxspring_jobs.tests.builders import (
    JOB,
    registered,
    run_key,
    spec,
    state_with,
    step,
    submit,
)


def counted(*ages: RunAge, interval_ms: int = 1_000) -> CrashCount:
    count = NO_CRASHES
    for number, age in enumerate(ages, 1):
        count = after_crash(count, age, number * interval_ms)
    return count


class CrashCountTest(unittest.TestCase):
    def test_early_crashes_give_a_task_up(self) -> None:
        ages = [RunAge.EARLY] * MAX_EARLY_CRASHES
        self.assertFalse(is_given_up(counted(*ages[1:])))
        self.assertTrue(is_given_up(counted(*ages)))

    def test_run_that_lasted_clears_the_early_crashes_before_it(self) -> None:
        ages = [RunAge.EARLY, RunAge.EARLY, RunAge.LASTING, RunAge.EARLY]
        self.assertFalse(is_given_up(counted(*ages)))

    def test_no_order_of_ages_allows_more_than_the_last_crash(self) -> None:
        for age in RunAge:
            ages = [RunAge.LASTING, RunAge.UNKNOWN] * MAX_CRASHES
            self.assertTrue(is_given_up(counted(*ages[: MAX_CRASHES - 1], age)))

    def test_crashes_far_apart_are_not_added_up(self) -> None:
        ages = [RunAge.EARLY] * MAX_CRASHES
        apart = counted(*ages, interval_ms=CRASH_MEMORY_MS + 1)
        self.assertEqual(apart.total, 1)

    def test_old_crashes_hold_no_task_back(self) -> None:
        old = CrashCount(total=MAX_CRASHES - 1, early=MAX_EARLY_CRASHES - 1, last_ms=1)
        self.assertTrue(is_held_back(after_silence(old, RunAge.EARLY, 2)))
        later_ms = CRASH_MEMORY_MS + 2
        self.assertFalse(is_held_back(after_silence(old, RunAge.EARLY, later_ms)))


class SilentLossTest(unittest.TestCase):
    """A target that was lost in silence has crashed if another takes its place."""

    def state(self) -> State:
        state = state_with(registered("t1", 1))
        submit(state, spec(step(1)))
        self.lose(state, registered("t1", 1), at_ms=1_000)
        return state

    def lose(self, state: State, target: RegisterTarget, at_ms: int) -> None:
        state.apply(target, at_ms)
        job = state.jobs[JOB]
        task = job.occurrences[0][0].tasks[0]
        run = run_key(number=task.last_run + 1)
        start = RunStart(run, target.incarnation)
        state.apply(Advance(starts=(start,)), at_ms)
        loss = TargetLoss(target.incarnation, False, early_runs=(run,))
        state.apply(Advance(losses=(loss,)), at_ms)

    def crashes(self, state: State) -> CrashCount:
        task = state.task(run_key().task)
        assert task is not None
        return task.crashes

    def test_silence_alone_is_no_crash(self) -> None:
        count = CrashCount(silent=1, silent_early=1)
        self.assertEqual(self.crashes(self.state()), count)

    def test_later_incarnation_shows_the_crash(self) -> None:
        for back in (registered("t1", 9), registered("t9", 9, address="t1.example:80")):
            state = self.state()
            state.apply(back, 5_000)
            self.assertEqual(self.crashes(state), CrashCount(1, 0, 5_000))

    def test_same_incarnation_shows_that_it_was_only_silent(self) -> None:
        state = self.state()
        state.apply(registered("t1", 1), 5_000)
        state.apply(registered("t1", 9), 6_000)
        self.assertEqual(self.crashes(state), NO_CRASHES)

    def test_other_targets_show_nothing(self) -> None:
        state = self.state()
        state.apply(registered("t9", 9), 5_000)
        self.assertEqual(self.crashes(state).total, 0)
        self.assertEqual(self.crashes(state).silent, 1)

    def test_snapshot_keeps_counts_and_silent_losses(self) -> None:
        state = self.state()
        state.apply(registered("t1", 9), 5_000)
        self.lose(state, registered("t1", 9), at_ms=6_000)
        restored, _ = decode_state(encode_state(state, 7))
        self.assertEqual(self.crashes(restored), CrashCount(1, 0, 5_000, 1, 1))
        restored.apply(registered("t1", 20), 9_000)
        self.assertEqual(self.crashes(restored).total, 2)

    def test_silent_losses_are_bounded_and_forgotten(self) -> None:
        state = self.state()
        for number in range(2, MAX_LOSSES + 10):
            self.lose(state, registered(f"t{number}", number), at_ms=2_000)
        state.apply(Advance(), 2_000)
        self.assertEqual(len(state.silent_losses.rows), MAX_LOSSES)
        self.assertEqual(self.crashes(state).silent, MAX_LOSSES)
        state.apply(Advance(), MEMORY_MS + 2_001)
        self.assertEqual(state.silent_losses.rows, [])
        self.assertEqual(self.crashes(state), NO_CRASHES)


class HeldBackTest(unittest.TestCase):
    def test_task_waits_until_it_is_known_whether_its_targets_crashed(self) -> None:
        state = state_with(registered("t1", 1))
        submit(state, spec(step(2)))
        for number in range(1, MAX_EARLY_CRASHES + 1):
            job = state.jobs[JOB]
            idle = startable_tasks(job.occurrences[0][0], job.spec.steps[0])
            self.assertEqual(len(idle), 2)
            target = registered(f"t{number}", 1)
            state.apply(target, 0)
            start = RunStart(run_key(number=number), target.incarnation)
            state.apply(Advance(starts=(start,)), 0)
            loss = TargetLoss(target.incarnation, False, early_runs=(start.run,))
            state.apply(Advance(losses=(loss,)), 0)
        steps = state.jobs[JOB].occurrences[0]
        idle = startable_tasks(steps[0], state.jobs[JOB].spec.steps[0])
        self.assertEqual([index for index, _ in idle], [1])
        state.apply(registered("t1", 1), 0)
        idle = startable_tasks(steps[0], state.jobs[JOB].spec.steps[0])
        self.assertEqual([index for index, _ in idle], [0, 1])


class BesideTest(unittest.TestCase):
    def test_lasting_run_beside_an_early_one_counts_no_crash(self) -> None:
        state = state_with(registered("t1", 1))
        submit(state, spec(step(2)))
        incarnation = TargetIncarnation("t1", 1)
        runs = (run_key(0), run_key(1))
        starts = tuple(RunStart(run, incarnation) for run in runs)
        state.apply(Advance(starts=starts), 0)
        loss = TargetLoss(incarnation, True, runs[:1], runs[1:])
        state.apply(Advance(losses=(loss,)), 9_000)
        tasks = state.jobs[JOB].occurrences[0][0].tasks
        self.assertEqual([task.crashes.total for task in tasks], [1, 0])

    def test_run_of_unknown_age_that_began_long_ago_has_lasted(self) -> None:
        for began_ms, early in ((0, 0), (SURELY_LASTING_MS, 2)):
            state = state_with(registered("t1", 1))
            submit(state, spec(step(1)))
            task = state.jobs[JOB].occurrences[0][0].own(0)
            task.crashes = CrashCount(total=2, early=2)
            incarnation = TargetIncarnation("t1", 1)
            start = RunStart(run_key(), incarnation)
            state.apply(Advance(starts=(start,)), began_ms)
            loss = TargetLoss(incarnation, True)
            state.apply(Advance(losses=(loss,)), SURELY_LASTING_MS)
            self.assertEqual(task.crashes.early, early)


class GivenUpTest(unittest.TestCase):
    def test_given_up_job_starts_nothing_and_says_why(self) -> None:
        state = state_with(registered("t1", 1))
        submit(state, spec(step(2)))
        for number in range(1, MAX_EARLY_CRASHES + 1):
            run = run_key(number=number)
            incarnation = TargetIncarnation("t1", number)
            state.apply(registered("t1", number), number)
            state.apply(Advance(starts=(RunStart(run, incarnation),)), number)
            loss = TargetLoss(incarnation, True, early_runs=(run,))
            state.apply(Advance(losses=(loss,)), number)
        self.assertIs(state.jobs[JOB].phase, JobPhase.FAILED)
        self.assertEqual([row.task for row in state.given_up], [run_key().task])
        self.assertEqual(state.given_up[0].crashes.total, MAX_EARLY_CRASHES)
        self.assertNotIn(JOB, state.active)


if __name__ == "__main__":
    unittest.main()
