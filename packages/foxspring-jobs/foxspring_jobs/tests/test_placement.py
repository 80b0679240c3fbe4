import random
import unittest

from foxspring_model import Resources

from foxspring_jobs._candidates import Candidate
from foxspring_jobs._commands import Advance, SubmitJob, TaskKey
from foxspring_jobs._interference import Interference
from foxspring_jobs._placement import Planner
from foxspring_jobs._specs import StepSpec
from foxspring_jobs._startable import startable_tasks
from foxspring_jobs._state import EndKind, JobPhase, State
from foxspring_jobs._task_states import StepState, TaskState
from foxspring_jobs._waiting import Precedence, Rank, WaitingStep, waiting_steps
from foxspring_jobs.tests.builders import (
    JOB,
    OTHER_JOB,
    QUEUE,
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

HEAVY = "heavy"
LIGHT = "light"


def plan_and_start(state: State) -> None:
    state.apply(Advance(starts=tuple(plan(state))), 0)


def serving(image: str = "web", **more: object) -> StepSpec:
    return step(1, long_running=True, image=image, latency_target_ms=50, **more)


def best_effort_step(count: int, image: str = LIGHT, cores: int = 1_000) -> StepSpec:
    resources = Resources(cores_milli=cores, memory_mb=100)
    return step(count, best_effort=True, image=image, resources=resources)


def trained_interference() -> Interference:
    """Return an estimate in which only heavy best-effort tasks lengthen tails."""
    interference = Interference()
    for _ in range(60):
        interference.observe("web", 20, 50, {})
        interference.observe("web", 20, 50, {LIGHT: 2_000})
        interference.observe("web", 300, 50, {HEAVY: 2_000})
    return interference


class OrderTest(unittest.TestCase):
    def test_least_remaining_work_goes_first_within_a_priority(self) -> None:
        state = state_with(registered(cores=1_000))
        submit(state, spec(step(20, estimated_ms=500)), JOB)
        submit(state, spec(step(1, estimated_ms=5_000)), OTHER_JOB)
        starts = plan(state)
        self.assertEqual(jobs_of(starts), [OTHER_JOB])

    def test_restart_does_not_wait_for_an_equal_step_of_a_higher_priority(
        self,
    ) -> None:
        """The new tasks may not use the reserve; the interrupted one may."""
        names = [f"t{number:02}" for number in range(20)]
        state = state_with(*map(registered, names))
        lasting = step(64, long_running=True, image="web")
        low = QUEUE._replace(priority=1)
        state.apply(SubmitJob(JOB, low, spec(lasting)), 0)
        plan_and_start(state)
        first, *_ = (t for t in state.targets.values() if t.runs)
        state.apply(Advance(lost_targets=(first.incarnation,)), 0)
        state.apply(SubmitJob(OTHER_JOB, QUEUE, spec(lasting)), 0)
        self.assertIn(JOB, jobs_of(plan(state)))

    def test_job_that_has_begun_goes_before_a_smaller_new_one(self) -> None:
        state = state_with(registered("t1"))
        submit(state, spec(step(8)))
        for index in range(4):
            start(state, run_key(index), "t1")
        submit(state, spec(step(1)), OTHER_JOB)
        end(state, run_key(0))
        self.assertEqual(jobs_of(plan(state)), [JOB])

    def test_late_jobs_are_ordered_by_slack(self) -> None:
        state = state_with(registered(cores=1_000))
        submit(state, spec(step(1, estimated_ms=5_000)), JOB)
        submit(state, spec(step(20, estimated_ms=4_000)), OTHER_JOB)
        starts = plan(state, wall_ms=8_000)
        self.assertEqual(jobs_of(starts), [OTHER_JOB])

    def test_late_job_of_which_half_is_placed_goes_before_a_new_one(self) -> None:
        for placed, first in ((4, JOB), (3, OTHER_JOB)):
            with self.subTest(placed=placed):
                state = state_with(registered(cores=placed * 1_000))
                submit(state, spec(step(8)))
                for index in range(placed):
                    start(state, run_key(index), "t1")
                end(state, run_key(0))
                submit(state, spec(step(1)), OTHER_JOB)
                state.jobs[OTHER_JOB].submitted_ms = 1_200
                starts = plan(state, wall_ms=1_200)
                self.assertEqual(jobs_of(starts), [first])

    def test_most_jobs_are_on_time_under_overload(self) -> None:
        """One wide and ten small jobs arrive together for one target."""
        cluster = FakeCluster(registered(cores=2_000))
        cluster.run(200)
        relaxed = QUEUE._replace(latency_target_ms=5_000)
        cluster.submit(spec(step(20, estimated_ms=500)), JOB, relaxed)
        small = [f"{number:016x}" for number in range(10)]
        for job_id in small:
            cluster.submit(spec(step(1, estimated_ms=600)), job_id, relaxed)
        cluster.run(4_000)
        done = [j for j in small if cluster.phase(j) is JobPhase.COMPLETED]
        self.assertEqual(len(done), len(small))
        cluster.run(8_000)
        self.assertIs(cluster.phase(JOB), JobPhase.COMPLETED)

    def test_hopelessly_late_job_waits_for_others(self) -> None:
        state = state_with(registered(cores=1_000))
        submit(state, spec(step(1, estimated_ms=100)), JOB)
        late_ms = 10_000
        state.jobs[JOB].submitted_ms = 0
        submit(state, spec(step(1, estimated_ms=100)), OTHER_JOB)
        state.jobs[OTHER_JOB].submitted_ms = late_ms
        starts = plan(state, wall_ms=late_ms)
        self.assertEqual(jobs_of(starts), [OTHER_JOB])

    def test_priority_goes_before_slack(self) -> None:
        state = state_with(registered(cores=1_000))
        submit(state, spec(step(1, estimated_ms=100)), JOB)
        state.jobs[JOB].queue = QUEUE._replace(priority=2)
        submit(state, spec(step(1, estimated_ms=9_000)), OTHER_JOB)
        starts = plan(state)
        self.assertEqual(jobs_of(starts), [OTHER_JOB])

    def test_wide_step_that_does_not_fit_does_not_block_other_sizes(self) -> None:
        state = state_with(registered(cores=1_000))
        big = step(1, resources=Resources(cores_milli=3_000, memory_mb=1))
        submit(state, spec(big), JOB)
        submit(state, spec(step(1)), OTHER_JOB)
        self.assertEqual(len(plan(state)), 1)


class BoundsTest(unittest.TestCase):
    def test_never_more_than_fits(self) -> None:
        state = state_with(registered("t1"), registered("t2"))
        submit(state, spec(step(30)))
        self.assertEqual(len(plan(state)), 8)

    def test_step_respects_max_per_target(self) -> None:
        state = state_with(registered("t1"), registered("t2"))
        submit(state, spec(step(6, max_per_target=2)))
        self.assertEqual(len(plan(state)), 4)

    def test_label_is_required(self) -> None:
        state = state_with(registered("t1"), registered("t2", labels=("gpu", "r1")))
        submit(state, spec(step(2, required_label="gpu")))
        names = {s.incarnation.target_id for s in plan(state)}
        self.assertEqual(names, {"t2"})

    def test_draining_target_gets_nothing(self) -> None:
        state = state_with(registered("t1", draining=True))
        submit(state, spec())
        self.assertEqual(plan(state), [])

    def test_gang_starts_whole_or_not_at_all(self) -> None:
        state = state_with(registered("t1"))
        submit(state, spec(step(5, gang=True)))
        self.assertEqual(plan(state), [])
        state.apply(registered("t2"), 0)
        starts = plan(state)
        self.assertEqual({s.run.number for s in starts}, {1})
        self.assertEqual(len(starts), 5)


class ServingAndBestEffortTest(unittest.TestCase):
    """Best-effort tasks beside serving tasks."""

    def serving_cluster(self) -> State:
        state = state_with(registered("t1"), registered("t2"))
        submit(state, spec(serving()), OTHER_JOB)
        start(state, run_key(job_id=OTHER_JOB), "t1")
        return state

    def test_heavy_best_effort_task_avoids_serving_tasks(self) -> None:
        state = self.serving_cluster()
        submit(state, spec(best_effort_step(3, HEAVY)))
        names = {s.incarnation.target_id for s in plan(state, trained_interference())}
        self.assertEqual(names, {"t2"})

    def test_light_best_effort_task_runs_beside_serving_tasks(self) -> None:
        state = self.serving_cluster()
        submit(state, spec(best_effort_step(6, LIGHT)))
        names = {s.incarnation.target_id for s in plan(state, trained_interference())}
        self.assertEqual(names, {"t1", "t2"})

    def test_harmful_best_effort_task_waits_while_targets_are_busy(
        self,
    ) -> None:
        state = state_with(registered("t1"))
        submit(state, spec(serving(resources=Resources(cores_milli=3_000))), OTHER_JOB)
        start(state, run_key(job_id=OTHER_JOB), "t1")
        submit(state, spec(best_effort_step(2, HEAVY, 2_000)))
        self.assertEqual(plan(state, trained_interference()), [])

    def test_best_effort_job_runs_in_a_free_service_beside_a_full_one(self) -> None:
        state = state_with(registered("t1"), registered("t2"))
        for name in ("o1", "o2", "o3"):
            state.apply(registered(name)._replace(service="other"), 0)
            state.targets[name].used = registered().capacity
        submit(state, spec(best_effort_step(2, cores=5_000)))
        self.assertEqual(len(plan(state)), 1)

    def test_best_effort_step_that_fits_nowhere_holds_up_no_smaller_one(self) -> None:
        wanted = best_effort_step(1)
        too_much_memory = wanted.resources._replace(memory_mb=100_000)
        for first in (
            wanted._replace(required_label="none has it"),
            wanted._replace(resources=too_much_memory),
        ):
            with self.subTest(first=first):
                state = state_with(registered("t1"))
                submit(state, spec(first), JOB)
                submit(state, spec(wanted), OTHER_JOB)
                self.assertEqual(len(plan(state)), 1)

    def test_best_effort_job_without_runs_does_not_wait_for_one_that_has_some(
        self,
    ) -> None:
        state = state_with(registered("t1"), registered("t2"))
        submit(state, spec(best_effort_step(3, cores=5_000)), JOB)
        self.assertEqual(len(plan(state)), 1)
        start(state, run_key(), "t1")
        submit(state, spec(best_effort_step(3, cores=5_000)), OTHER_JOB)
        self.assertEqual(len(plan(state)), 1)

    def test_no_best_effort_start_beside_a_task_over_its_target(self) -> None:
        state = self.serving_cluster()
        submit(state, spec(best_effort_step(6, LIGHT)))
        candidates = [Candidate(target) for target in state.targets.values()]
        candidates[0].any_over_target = True
        planner = Planner(state, candidates, trained_interference())
        starts = planner.plan(waiting_steps(state, 0))
        self.assertEqual({s.incarnation.target_id for s in starts}, {"t2"})

    def test_long_running_task_leaves_the_short_task_reserve(self) -> None:
        state = state_with(registered("t1", cores=1_000))
        submit(state, spec(serving()))
        self.assertEqual(plan(state), [])

    def test_long_running_task_uses_the_reserve_where_two_would_fit(self) -> None:
        state = state_with(registered("t1", cores=1_000), registered("t2", cores=1_000))
        submit(state, spec(serving()))
        self.assertEqual(len(plan(state)), 1)

    def test_serving_tasks_are_packed_by_image(self) -> None:
        state = self.serving_cluster()
        submit(state, spec(serving("web")))
        self.assertEqual(
            plan(state, trained_interference())[0].incarnation.target_id, "t1"
        )
        state = self.serving_cluster()
        submit(state, spec(serving("other")))
        self.assertEqual(
            plan(state, trained_interference())[0].incarnation.target_id, "t2"
        )


class WaitingBestEffortTest(unittest.TestCase):
    """A best-effort task that can wait takes the best target of all or none."""

    def random_candidates(self, rng: random.Random) -> list[Candidate]:
        names = [f"t{number}" for number in range(6)]
        state = state_with(*(registered(name, cores=8_000) for name in names))
        for name in names:
            submit(state, spec(serving()), name)
            if rng.random() < 0.7:
                start(state, run_key(job_id=name), name)
        candidates = []
        for target in state.targets.values():
            candidate = Candidate(target, on_probation=rng.random() < 0.4)
            for image in (LIGHT, HEAVY):
                cores = rng.choice((2_000, 4_000, 6_000))
                candidate.best_effort_cores[image] = cores
                candidate.total_best_effort_cores += cores
            candidates.append(candidate)
        return candidates

    def best_of_all(
        self, planner: Planner, waiting: WaitingStep, wanted: StepSpec
    ) -> list[str]:
        job = planner.state.jobs[waiting.job_id]
        best = planner.ranked_targets(job, waiting)[0]
        candidate = next(c for c in planner.candidates if c.target.incarnation == best)
        cores = wanted.resources.cores_milli
        too_risky = candidate.risk(planner.effects, wanted.image, cores) > 1
        waits = too_risky or candidate.is_crowded(wanted)
        return [] if waits else [best.target_id]

    def test_choice_equals_that_of_all_scores(self) -> None:
        interference = trained_interference()
        chosen_count = 0
        for seed in range(200):
            rng = random.Random(seed)
            wanted = best_effort_step(
                1, rng.choice((LIGHT, HEAVY)), rng.choice((1_000, 3_000))
            )
            state = state_with()
            submit(state, spec(wanted), JOB)
            planner = Planner(state, self.random_candidates(rng), interference)
            waiting = WaitingStep(Precedence.NORMAL, 0, Rank.IN_TIME, 0, 0, JOB, 0, 0)
            expected = self.best_of_all(planner, waiting, wanted)
            planner.try_place(TaskKey(JOB, 0, 0, 0), wanted, state.jobs[JOB])
            chosen = [
                candidate.target.incarnation.target_id
                for candidate in planner.candidates
                if candidate.started
            ]
            self.assertEqual(chosen, expected, seed)
            chosen_count += len(chosen)
        self.assertGreater(chosen_count, 50)
        self.assertLess(chosen_count, 150)


class RestartOrderTest(unittest.TestCase):
    """Interrupted long-running tasks compete with new work for one target."""

    def interrupted(self, cores: int = 1_000, count: int = 1) -> State:
        """Return a state in which the first task of a service was interrupted."""
        state = state_with(registered("t1", cores=cores), registered("t2", cores=cores))
        submit(state, spec(step(count, long_running=True)), OTHER_JOB)
        run = run_key(job_id=OTHER_JOB)
        start(state, run, "t2")
        lost = state.targets["t2"].incarnation
        state.apply(Advance(lost_targets=(lost,)), 0)
        return state

    def test_overdue_restart_goes_before_work_of_a_higher_priority(self) -> None:
        state = self.interrupted(cores=1_500)
        state.jobs[OTHER_JOB].queue = QUEUE._replace(priority=2)
        submit(state, spec(step(3, estimated_ms=100)), JOB)
        overdue = frozenset({(OTHER_JOB, 0, 0)})
        starts = plan(state, overdue_restarts=overdue)
        self.assertEqual(jobs_of(starts), [OTHER_JOB])

    def test_restart_waits_for_jobs_in_time_until_it_is_overdue(self) -> None:
        state = self.interrupted(cores=1_500)
        submit(state, spec(step(3, estimated_ms=100)), JOB)
        self.assertEqual(jobs_of(plan(state)), [JOB])

    def test_restart_goes_before_late_jobs(self) -> None:
        state = self.interrupted(cores=1_500)
        submit(state, spec(step(3, estimated_ms=100)), JOB)
        starts = plan(state, wall_ms=600)
        self.assertEqual(jobs_of(starts), [OTHER_JOB])

    def test_restart_uses_the_reserve_for_short_tasks_once_overdue(self) -> None:
        state = self.interrupted()
        self.assertEqual(plan(state), [])
        overdue = frozenset({(OTHER_JOB, 0, 0)})
        starts = plan(state, overdue_restarts=overdue)
        self.assertEqual([s.run.number for s in starts], [2])

    def test_tasks_that_never_started_gain_nothing_from_an_interruption(self) -> None:
        state = self.interrupted(cores=2_000, count=3)
        submit(state, spec(step(1, estimated_ms=100)), JOB)
        overdue = frozenset({(OTHER_JOB, 0, 0)})
        starts = plan(state, overdue_restarts=overdue)
        tasks = [(s.run.task.job_id, s.run.task.ordinal) for s in starts]
        self.assertEqual(tasks, [(OTHER_JOB, 0), (JOB, 0)])

    def test_overdue_restart_is_not_blocked_by_a_recent_one_of_the_same_kind(
        self,
    ) -> None:
        state = self.interrupted()
        # This service sorts first, was interrupted just now and leaves the reserve.
        submit(state, spec(step(1, long_running=True)), JOB)
        recent = run_key(job_id=JOB)
        start(state, recent, "t1")
        end(state, recent, EndKind.FAILED)
        overdue = frozenset({(OTHER_JOB, 0, 0)})
        starts = plan(state, overdue_restarts=overdue)
        self.assertEqual(jobs_of(starts), [OTHER_JOB])

    def test_new_long_running_task_does_not_take_the_room_of_an_interrupted_one(
        self,
    ) -> None:
        state = self.interrupted()
        state.apply(registered("t3", cores=1_000), 0)
        submit(state, spec(step(1, long_running=True, image="new")), JOB)
        self.assertNotIn(JOB, jobs_of(plan(state)))


class SuspectJobTest(unittest.TestCase):
    """Tasks of a step with repeated failures are tried one at a time."""

    def startable(
        self, attempts: list[int], done: int = -1, running: int = -1
    ) -> list[int]:
        tasks = [TaskState() for _ in attempts]
        for task, count in zip(tasks, attempts, strict=True):
            task.attempts = count
        if done >= 0:
            tasks[done].done = True
        if running >= 0:
            tasks[running].runs[1] = registered().incarnation
        state = StepState(tasks)
        return [index for index, _ in startable_tasks(state, step(len(attempts)))]

    def test_cases(self) -> None:
        cases: tuple[tuple[list[int], int, int, list[int]], ...] = (
            ([0, 0, 0, 0], -1, -1, [0, 1, 2, 3]),
            ([0, 1, 0, 0], -1, -1, [0, 1, 2, 3]),
            ([0, 1, 2, 0], -1, -1, [2]),
            ([1, 1, 0, 0], -1, 3, []),
            ([1, 1, 0, 0], 3, -1, [0, 1, 2]),
        )
        for attempts, done, running, expected in cases:
            with self.subTest(attempts=attempts, done=done, running=running):
                self.assertEqual(self.startable(attempts, done, running), expected)


if __name__ == "__main__":
    unittest.main()
