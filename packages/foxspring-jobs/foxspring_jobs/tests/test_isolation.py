"""Tasks under which targets have crashed are kept apart from each other."""

import unittest
from collections import Counter
from collections.abc import Iterable
from unittest import mock

from foxspring_jobs._candidates import Candidate
from foxspring_jobs._commands import Advance, RegisterTarget, RunStart, TargetLoss
from foxspring_jobs._crash_counts import Suspicion
from foxspring_jobs._isolation import max_isolated
from foxspring_jobs._specs import StepSpec
from foxspring_jobs._state import State
from foxspring_jobs.tests.builders import (
    JOB,
    OTHER_JOB,
    registered,
    run_key,
    spec,
    state_with,
    step,
    submit,
)
from foxspring_jobs.tests.planning import plan

BIG = 64_000
# After the crashes.
WALL_MS = 2_000


def targets(count: int) -> list[RegisterTarget]:
    return [registered(f"t{number:03}", cores=BIG) for number in range(count)]


def crash(state: State, name: str) -> None:
    """Let a target crash under all its runs; another incarnation is back at once."""
    target = state.targets[name]
    loss = TargetLoss(target.incarnation, True, early_runs=tuple(target.runs))
    state.apply(Advance(losses=(loss,)), 1_000)
    again = target.incarnation._replace(
        incarnation_ms=target.incarnation.incarnation_ms + 1
    )
    state.apply(target.registered._replace(incarnation=again), 1_000)


def places(starts: Iterable[RunStart]) -> Counter[str]:
    return Counter(start.incarnation.target_id for start in starts)


class SuspectTest(unittest.TestCase):
    def suspects(self, count: int, kind: StepSpec, crashes: int = 1) -> State:
        """Return a state with waiting tasks that were beside each crash."""
        state = state_with(*targets(8))
        submit(state, spec(kind._replace(task_count=count)))
        for number in range(1, crashes + 1):
            incarnation = state.targets["t000"].incarnation
            starts = [
                RunStart(run_key(index, number), incarnation) for index in range(count)
            ]
            state.apply(Advance(starts=tuple(starts)), 500)
            crash(state, "t000")
        return state

    def test_suspects_avoid_each_other(self) -> None:
        for kind in (step(), step(long_running=True), step(gang=False, image="x")):
            state = self.suspects(6, kind)
            starts = plan(state, wall_ms=WALL_MS)
            self.assertEqual(len(starts), 6)
            self.assertEqual(max(places(starts).values()), 1)

    def test_suspects_share_targets_rather_than_wait(self) -> None:
        starts = plan(self.suspects(20, step()), wall_ms=WALL_MS)
        self.assertEqual(len(starts), 20)

    def test_nothing_starts_beside_an_isolated_task(self) -> None:
        state = self.suspects(1, step(), crashes=2)
        submit(state, spec(step(40)), OTHER_JOB)
        starts = plan(state, wall_ms=WALL_MS)
        self.assertEqual(len(starts), 41)
        place = next(s.incarnation for s in starts if s.run.task.job_id == JOB)
        self.assertEqual(places(starts)[place.target_id], 1)

    def test_isolated_task_goes_where_the_fewest_runs_are(self) -> None:
        state = self.suspects(1, step(long_running=True), crashes=2)
        submit(state, spec(step(14)), OTHER_JOB)
        names = sorted(state.targets)
        starts = [
            RunStart(
                run_key(index, job_id=OTHER_JOB),
                state.targets[names[index % 7]].incarnation,
            )
            for index in range(14)
        ]
        state.apply(Advance(starts=tuple(starts)), 500)
        self.assertEqual(places(plan(state, wall_ms=WALL_MS)), {names[7]: 1})

    def test_isolated_tasks_of_a_step_run_one_at_a_time(self) -> None:
        self.assertEqual(
            len(plan(self.suspects(5, step(), crashes=2), wall_ms=WALL_MS)), 1
        )

    def test_target_with_an_isolated_task_accepts_nothing(self) -> None:
        state = self.suspects(3, step())
        candidates = [Candidate(target) for target in state.targets.values()]
        for candidate in candidates:
            candidate.begin_plan(0, False, Suspicion.ISOLATED)
        self.assertEqual(plan(state, candidates=candidates, wall_ms=WALL_MS), [])

    def test_isolated_tasks_close_a_share_of_the_targets(self) -> None:
        count = 40
        state = state_with(*targets(count))
        jobs = [f"{number:016x}" for number in range(count)]
        for job_id in jobs:
            submit(state, spec(step(long_running=True)), job_id)
        for number in (1, 2):
            incarnation = state.targets["t000"].incarnation
            keys = [run_key(0, number, job_id=job_id) for job_id in jobs]
            starts = tuple(RunStart(key, incarnation) for key in keys)
            state.apply(Advance(starts=starts), 500)
            crash(state, "t000")
        candidates = [Candidate(target) for target in state.targets.values()]
        self.assertEqual(
            len(plan(state, candidates=candidates, wall_ms=WALL_MS)), count
        )
        closed = sum(c.suspicion is Suspicion.ISOLATED for c in candidates)
        self.assertEqual(closed, max_isolated(count))


class PlanCostTest(unittest.TestCase):
    """Load pattern: a failure domain crashes on a site of hundreds of targets."""

    def looks_at_targets(self, crashed: bool) -> int:
        """Return how often a plan looks at a target after the loss of a domain."""
        state = state_with(*targets(400))
        names = sorted(state.targets)[:60]
        for number in range(60):
            submit(state, spec(step(10)), f"{number:016x}")
        starts = [
            RunStart(
                run_key(index, job_id=f"{number:016x}"),
                state.targets[names[number]].incarnation,
            )
            for number in range(60)
            for index in range(10)
        ]
        state.apply(Advance(starts=tuple(starts)), 500)
        lost = [state.targets[name] for name in names]
        losses = [
            TargetLoss(target.incarnation, crashed, early_runs=tuple(target.runs))
            for target in lost
        ]
        state.apply(Advance(losses=tuple(losses)), 1_000)
        with mock.patch.object(
            Candidate, "accepts", autospec=True, side_effect=Candidate.accepts
        ) as accepts:
            self.assertEqual(len(plan(state, wall_ms=WALL_MS)), 600)
        return accepts.call_count

    def test_crashed_domain_costs_no_more_looks_than_a_silent_one(self) -> None:
        self.assertLessEqual(
            self.looks_at_targets(crashed=True), self.looks_at_targets(crashed=False)
        )


if __name__ == "__main__":
    unittest.main()
