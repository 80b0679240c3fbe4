"""Long-running tasks leave capacity that large short tasks can use."""

import random
import unittest

from foxspring_model import Resources

from foxspring_jobs._candidates import Candidate, Effects
from foxspring_jobs._commands import RegisterTarget
from foxspring_jobs._compaction import compact_services, compaction_score
from foxspring_jobs._interference import Interference
from foxspring_jobs._specs import StepSpec
from foxspring_jobs.tests.builders import (
    registered,
    run_key,
    spec,
    start,
    state_with,
    step,
    submit,
)
from foxspring_jobs.tests.load_replay import (
    FAILURE_DOMAINS,
    LONG_QUEUE,
    SHORT_QUEUE,
    Arrival,
    Replay,
    cores_of,
    largest,
    long_running_jobs,
    share_in_time,
    short_jobs,
    site,
)

TARGETS = 240
SETTLE_MS = 2_000
SHORT_WORK_MS = 10_000
SEEDS = (1, 2, 3)


class LoadTest(unittest.TestCase):
    """Long-running tasks ask for five sixths of a site, short ones for 3%."""

    def replay(self, seed: int, targets: list[RegisterTarget]) -> Replay:
        rng = random.Random(seed)
        cores = cores_of(targets)
        replay = Replay(targets)
        until_ms = SETTLE_MS + SHORT_WORK_MS
        arrivals = long_running_jobs(rng, cores * 5 // 6)
        arrivals += short_jobs(rng, cores * 3 // 100, SETTLE_MS, until_ms)
        replay.run(arrivals, until_ms + SETTLE_MS)
        return replay

    def test_short_tasks_that_take_a_third_of_a_target_are_in_time(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                jobs = self.replay(seed, site(TARGETS)).jobs_of(SHORT_QUEUE)
                self.assertGreaterEqual(share_in_time(jobs), 0.9)
                self.assertGreaterEqual(share_in_time(largest(jobs, 0.1)), 0.5)

    def test_targets_of_one_size(self) -> None:
        jobs = self.replay(4, site(TARGETS, cores=(64,))).jobs_of(SHORT_QUEUE)
        self.assertGreaterEqual(share_in_time(jobs), 0.9)

    def test_every_long_running_task_runs(self) -> None:
        replay = self.replay(5, site(TARGETS))
        for job in replay.jobs_of(LONG_QUEUE):
            self.assertEqual([s.idle for s in job.occurrences[0]], [0])

    def test_free_targets_are_spread_over_failure_domains(self) -> None:
        replay = self.replay(6, site(TARGETS))
        free = [
            target.registered.failure_domain
            for target in replay.state.targets.values()
            if not target.long_running_count
        ]
        for domain in set(free):
            self.assertLessEqual(free.count(domain), len(free) // 2)
        self.assertGreaterEqual(len(set(free)), FAILURE_DOMAINS - 1)

    def test_short_tasks_are_in_time_after_the_loss_of_a_failure_domain(self) -> None:
        rng = random.Random(7)
        targets = site(TARGETS)
        cores = cores_of(targets)
        replay = Replay(targets)
        replay.run(long_running_jobs(rng, cores * 65 // 100), SETTLE_MS)
        replay.lose_failure_domain("fd-0")
        replay.run([], SETTLE_MS)
        until_ms = replay.now_ms + SHORT_WORK_MS
        short = short_jobs(rng, cores * 3 // 100, replay.now_ms, until_ms)
        replay.run(short, SHORT_WORK_MS + SETTLE_MS)
        self.assertGreaterEqual(share_in_time(replay.jobs_of(SHORT_QUEUE)), 0.9)


class CompactionTest(unittest.TestCase):
    def service_step(self, count: int, cores: int, image: str = "web") -> StepSpec:
        size = Resources(cores_milli=cores, memory_mb=100)
        return step(
            count,
            resources=size,
            long_running=True,
            image=image,
            latency_target_ms=50,
        )

    def test_services_are_compact_only_while_their_demand_leaves_targets(self) -> None:
        for tasks, expected in ((8, {"pool"}), (9, set())):
            with self.subTest(tasks=tasks):
                state = state_with(registered("t1", cores=10_000))
                submit(state, spec(self.service_step(tasks, 1_000)))
                candidates = [Candidate(state.targets["t1"])]
                self.assertEqual(compact_services(state, candidates), expected)

    def test_target_that_is_filled_without_a_remainder_goes_first(self) -> None:
        state = state_with(registered("t1", cores=7_000), registered("t2", cores=6_000))
        submit(state, spec(self.service_step(4, 1_000)))
        for index, target in enumerate(("t1", "t2")):
            start(state, run_key(index), target)
        next_step = self.service_step(1, 3_000)
        scores = {
            name: compaction_score(
                Candidate(target), next_step, Effects(Interference()), True
            )
            for name, target in state.targets.items()
        }
        self.assertLess(scores["t1"], scores["t2"])

    def test_free_target_is_spared_only_where_few_are_left(self) -> None:
        state = state_with(registered("t1"), registered("t2"))
        submit(state, spec(self.service_step(2, 1_000)))
        start(state, run_key(0), "t1")
        other = self.service_step(1, 1_000, "other")
        for spare, first in ((True, "t1"), (False, "t2")):
            with self.subTest(spare=spare):
                best = min(
                    state.targets,
                    key=lambda name, spare=spare: compaction_score(  # type: ignore[misc]
                        Candidate(state.targets[name]),
                        other,
                        Effects(Interference()),
                        spare,
                    ),
                )
                self.assertEqual(best, first)


class ReplayTest(unittest.TestCase):
    def test_arrivals_are_submitted_in_time(self) -> None:
        replay = Replay([registered("t1")])
        replay.run([Arrival(200, SHORT_QUEUE, spec(step(1, estimated_ms=100)))], 150)
        self.assertEqual(replay.jobs_of(SHORT_QUEUE), [])
        replay.run([Arrival(200, SHORT_QUEUE, spec(step(1, estimated_ms=100)))], 500)
        self.assertEqual(share_in_time(replay.jobs_of(SHORT_QUEUE)), 1.0)


if __name__ == "__main__":
    unittest.main()
