import random
import unittest

from foxspring_model import Resources

from foxspring_jobs._candidates import Candidate
from foxspring_jobs._commands import TaskKey
from foxspring_jobs._ranking import Ranking
from foxspring_jobs._room_index import RoomIndex
from foxspring_jobs._state import TargetState
from foxspring_jobs.tests.builders import JOB, registered, step

STEP_KEY = (JOB, 0, 0)


def candidates(count: int) -> list[Candidate]:
    choice = random.Random(7)
    sizes = [choice.choice((2_000, 3_000, 4_000)) for _ in range(count)]
    return [
        Candidate(TargetState(registered(f"t{n}", cores=cores)))
        for n, cores in enumerate(sizes)
    ]


class RankingTest(unittest.TestCase):
    """Ranking chooses the same targets as scoring all of them for each task."""

    def choose_all(self, available: list[Candidate], count: int) -> list[str]:
        wide = step(count, resources=Resources(700, 100))
        chosen = []
        for ordinal in range(count):
            fitting = [
                candidate
                for candidate in available
                if candidate.accepts(STEP_KEY, wide, wide.reserved(), "pool")
            ]
            if not fitting:
                break
            best = min(fitting, key=lambda candidate: -candidate.unused_cores())
            best.reserve(TaskKey(*STEP_KEY, ordinal), wide)
            chosen.append(best.target.incarnation.target_id)
        return chosen

    def rank_all(self, available: list[Candidate], count: int) -> tuple[list[str], int]:
        wide = step(count, resources=Resources(700, 100))
        scored = 0

        def score(candidate: Candidate) -> tuple[float, ...]:
            nonlocal scored
            scored += 1
            return (-candidate.unused_cores(),)

        ranking = Ranking(
            available,
            lambda candidate: candidate.accepts(
                STEP_KEY, wide, wide.reserved(), "pool"
            ),
            score,
        )
        chosen = []
        for ordinal in range(count):
            best = ranking.best()
            if best is None:
                break
            best[0].reserve(TaskKey(*STEP_KEY, ordinal), wide)
            ranking.rescore_best()
            chosen.append(best[0].target.incarnation.target_id)
        return chosen, scored

    def test_choice_equals_scoring_all_targets_each_time(self) -> None:
        for count in (1, 30, 500):
            with self.subTest(count=count):
                ranked, scored = self.rank_all(candidates(100), count)
                self.assertEqual(ranked, self.choose_all(candidates(100), count))
                self.assertLessEqual(scored, 100 + count)

    def test_no_best_target_where_none_accepts(self) -> None:
        ranking = Ranking(
            candidates(3), lambda _candidate: False, lambda _candidate: (0.0,)
        )
        self.assertIsNone(ranking.best())
        self.assertEqual(ranking.candidates(), [])


class RoomIndexTest(unittest.TestCase):
    def test_candidates_with_room_in_their_order(self) -> None:
        available = candidates(50)
        index = RoomIndex(available)
        for cores in (0, 2_000, 2_001, 3_000, 4_000, 4_001):
            with self.subTest(cores=cores):
                expected = [c for c in available if c.free.cores_milli >= cores]
                self.assertEqual(list(index.with_cores(cores)), expected)

    def test_candidate_that_lost_room_is_still_found(self) -> None:
        available = candidates(3)
        index = RoomIndex(available)
        size = available[0].free.cores_milli
        available[0].reserve(TaskKey(*STEP_KEY, 0), step(1))
        self.assertIn(available[0], index.with_cores(size))


if __name__ == "__main__":
    unittest.main()
