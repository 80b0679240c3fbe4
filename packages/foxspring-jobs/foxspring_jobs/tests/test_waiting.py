"""The waiting steps that are kept from plan to plan are as new ones would be."""

import random
import unittest

from foxspring_model import Resources

from foxspring_jobs._commands import (
    Advance,
    CancelJob,
    RunEnd,
    RunKey,
    RunStart,
    TaskKey,
)
from foxspring_jobs._specs import JobSpec
from foxspring_jobs._state import EndKind
from foxspring_jobs._waiting import (
    OverdueSteps,
    Rank,
    WaitingOrder,
    WaitingStep,
    waiting_steps,
)
from foxspring_jobs.tests.builders import registered, spec, state_with, step, submit

SMALL = Resources(cores_milli=200, memory_mb=10)
TARGETS = tuple(f"t{number}" for number in range(4))
CORES = 200_000
SEEDS = range(8)
ROUNDS = 150
INTERVAL_MS = 300


class Site:
    """A state with random changes; ``seen`` are the ranks that steps had."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.state = state_with(*(registered(t, cores=CORES) for t in TARGETS))
        self.now_ms = 0
        self.submitted = 0
        self.seen: set[Rank] = set()

    def change(self) -> None:
        """Make a few random changes and let time pass."""
        changes = (self.submit, self.start, self.start, self.end, self.open)
        for change in self.rng.choices(changes, k=self.rng.randrange(4)):
            change()
        if self.rng.random() < 0.05:
            self.rng.choice((self.cancel, self.lose_target))()
        # The wall clock may also be set back.
        self.now_ms += self.rng.choice((0, 0, 20, 300, 900, -200))

    def submit(self) -> None:
        self.submitted += 1
        submit(self.state, self.random_job(), f"{self.submitted:016x}")

    def random_job(self) -> JobSpec:
        kind = self.rng.randrange(4)
        first = step(
            self.rng.randint(1, 6),
            resources=SMALL,
            estimated_ms=self.rng.randrange(50, 1_500),
            long_running=kind == 0,
            gang=kind == 1 and self.rng.random() < 0.3,
        )
        if kind == 0:
            return spec(first)
        steps = (first, first._replace(after=(0,)))[: self.rng.randint(1, 2)]
        if kind == 1:
            return spec(
                *steps,
                repetitions=3,
                first_due_ms=self.now_ms,
                interval_ms=INTERVAL_MS,
            )
        return spec(*steps)

    def waiting(self) -> list[WaitingStep]:
        return waiting_steps(self.state, self.now_ms)

    def start(self) -> None:
        waiting = self.waiting()
        if not waiting:
            return
        key = self.rng.choice(waiting).step_key()
        tasks = self.state.jobs[key[0]].occurrences[key[1]][key[2]].tasks
        idle = [n for n, t in enumerate(tasks) if not t.runs and not t.done]
        for index in idle[: self.rng.randint(1, 6)]:
            run = RunKey(TaskKey(*key, index), tasks[index].last_run + 1)
            target = self.rng.choice(list(self.state.targets.values()))
            self.apply(Advance(starts=(RunStart(run, target.incarnation),)))

    def end(self) -> None:
        target = self.rng.choice(list(self.state.targets.values()))
        for run in list(target.runs)[: self.rng.randint(1, 6)]:
            kinds = (EndKind.DONE, EndKind.DONE, EndKind.FAILED, EndKind.LAPSED)
            kind = self.rng.choice(kinds)
            self.apply(Advance(ends=(RunEnd(run, target.incarnation, kind),)))

    def open(self) -> None:
        for job in list(self.state.active.values()):
            if job.spec.is_timed():
                last = min(job.opened_count, job.spec.repetitions - 1)
                opened = (job.job_id, self.rng.randint(0, last))
                self.apply(Advance(opened=(opened,)))

    def cancel(self) -> None:
        for job in list(self.state.active.values())[:1]:
            self.state.apply(CancelJob(job.job_id), self.now_ms)

    def lose_target(self) -> None:
        """Lose a target, which then registers again."""
        name = self.rng.choice(TARGETS)
        lost = self.state.targets[name].incarnation
        self.apply(Advance(lost_targets=(lost,)))
        again = registered(name, lost.incarnation_ms + 1, cores=CORES)
        self.state.apply(again, self.now_ms)

    def apply(self, advance: Advance) -> None:
        self.state.apply(advance, self.now_ms)

    def some_restarts(self) -> OverdueSteps:
        """Return some waiting steps as overdue, at times none."""
        keys = [s.step_key() for s in self.waiting() if s.rank is Rank.RESTART]
        count = self.rng.randrange(len(keys) + 1)
        chosen = self.rng.sample(keys, count)
        half = count // 2
        return OverdueSteps(frozenset(chosen[:half]), frozenset(chosen[half:]))


class WaitingOrderTest(unittest.TestCase):
    def test_kept_steps_equal_new_ones_after_random_changes(self) -> None:
        seen: set[Rank] = set()
        for seed in SEEDS:
            site = Site(seed)
            order = WaitingOrder()
            for number in range(ROUNDS):
                site.change()
                overdue = site.some_restarts()
                expected = waiting_steps(site.state, site.now_ms, overdue)
                with self.subTest(seed=seed, round=number):
                    kept = order.steps(site.state, site.now_ms, overdue)
                    self.assertEqual(kept, expected)
                seen |= {waiting.rank for waiting in expected}
        self.assertEqual(seen, set(Rank))

    def test_rank_changes_with_time_alone(self) -> None:
        state = state_with(registered())
        submit(state, spec(step(estimated_ms=500)))
        order = WaitingOrder()
        # The objective is 1,000 ms, of which the step takes 500.
        ranks = [
            order.steps(state, wall_ms)[0].rank
            for wall_ms in (0, 500, 501, 2_500, 2_501, 500)
        ]
        in_time, late, hopeless = Rank.IN_TIME, Rank.LATE, Rank.HOPELESS
        expected = [in_time, in_time, late, late, hopeless, in_time]
        self.assertEqual(ranks, expected)

    def test_result_may_be_changed(self) -> None:
        state = state_with(registered())
        submit(state, spec())
        order = WaitingOrder()
        order.steps(state, 0).clear()
        self.assertEqual(len(order.steps(state, 0)), 1)


if __name__ == "__main__":
    unittest.main()
