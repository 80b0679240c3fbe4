"""Candidates that are kept from plan to plan are as new ones would be."""

import random
import unittest
from typing import Any

from foxspring_model import Resources

from foxspring_jobs._candidate_pool import CandidatePool
from foxspring_jobs._candidates import Candidate
from foxspring_jobs._commands import TaskKey
from foxspring_jobs.tests.builders import registered, run_key, spec, step
from foxspring_jobs.tests.fake_cluster import FakeCluster

SMALL = Resources(cores_milli=500, memory_mb=100)


def content(candidate: Candidate) -> dict[str, Any]:
    """Return what decisions depend on."""
    left_out = ("target", "version", "expected", "_images")
    values = {k: v for k, v in vars(candidate).items() if k not in left_out}
    return values | {"target": candidate.target.incarnation}


class CandidatePoolTest(unittest.TestCase):
    def test_kept_candidates_equal_new_ones_after_each_change(self) -> None:
        rng = random.Random(1)
        cluster = FakeCluster(*(registered(f"t{n}", cores=8_000) for n in range(4)))
        cluster.run(1_500)
        pool = CandidatePool(cluster.leader.context)
        for number in range(60):
            best_effort = rng.random() < 0.5
            kind = {"best_effort": best_effort, "image": "batch" if best_effort else ""}
            serving = {"long_running": True, "image": "web", "latency_target_ms": 50}
            more = serving if number % 10 == 0 else kind
            job = spec(step(rng.randint(1, 4), resources=SMALL, **more))
            cluster.submit(job, f"{number:016x}")
            self.pace_some(cluster, rng)
            cluster.run(rng.randrange(5, 400))
            fresh = CandidatePool(cluster.leader.context).candidates()
            kept = pool.candidates()
            self.assertEqual(list(map(content, kept)), list(map(content, fresh)))
            self.reserve_some(kept, rng)

    def pace_some(self, cluster: FakeCluster, rng: random.Random) -> None:
        session = rng.choice(list(cluster.leader.context.sessions.values()))
        target = cluster.leader.context.draft.target(session.incarnation)
        for run in list(target.runs if target else ())[:1]:
            if rng.random() < 0.5:
                session.pace(run, 50, cluster.clock.monotonic_ms())

    def reserve_some(self, candidates: list[Candidate], rng: random.Random) -> None:
        """Change candidates as a plan does whose starts are not committed."""
        candidate = rng.choice(candidates)
        if rng.random() < 0.5:
            candidate.reserve(TaskKey("job", 0, 0, 0), step(resources=SMALL))
        else:
            candidate.hold(SMALL)

    def test_candidate_without_changes_is_kept(self) -> None:
        cluster = FakeCluster(registered("t1"))
        cluster.run(1_500)
        pool = CandidatePool(cluster.leader.context)
        first = pool.candidates()
        self.assertIs(pool.candidates()[0], first[0])

    def test_target_with_another_capacity_is_seen_with_it(self) -> None:
        cluster = FakeCluster(registered("t1", cores=4_000))
        cluster.run(1_500)
        pool = CandidatePool(cluster.leader.context)
        self.assertEqual(pool.candidates()[0].free.cores_milli, 4_000)
        cluster.leader.context.draft.apply(registered("t1", cores=8_000), 0)
        self.assertEqual(pool.candidates()[0].free.cores_milli, 8_000)

    def test_candidate_on_probation_is_another_one(self) -> None:
        cluster = FakeCluster(registered("t1"))
        cluster.run(1_500)
        pool = CandidatePool(cluster.leader.context)
        first = pool.candidates()[0]
        session = cluster.leader.context.sessions["t1"]
        session.health.note_failed(run_key().task)
        second = pool.candidates()[0]
        self.assertIsNot(second, first)
        self.assertTrue(second.on_probation)

    def test_lost_target_is_no_candidate(self) -> None:
        cluster = FakeCluster(registered("t1"), registered("t2"))
        cluster.run(1_500)
        pool = CandidatePool(cluster.leader.context)
        self.assertEqual(len(pool.candidates()), 2)
        incarnation = cluster.targets["t1.example:80"].registered.incarnation
        cluster.leader.context.declare_lost(incarnation, "test")
        self.assertEqual(len(pool.candidates()), 1)


if __name__ == "__main__":
    unittest.main()
