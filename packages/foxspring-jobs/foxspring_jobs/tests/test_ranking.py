import random
import unittest

from foxspring_model import Resources

from foxspring_jobs._candidates import Candidate
from foxspring_jobs._commands import TaskKey
from foxspring_jobs._ranking import Ranking
from foxspring_jobs._state import TargetState
from foxspring_jobs.tests.builders import JOB, registered, step

PLACE = (JOB, 0, 0)


def candidates(count: int) -> list[Candidate]:
    choice = random.Random(7)
    sizes = [choice.choice((2_000, 3_000, 4_000)) for _ in range(count)]
    return [
        Candidate(TargetState(registered(f"t{n}", cores=cores)))
        for n, cores in enumerate(sizes)
    ]


class RankingTest(unittest.TestCase):
    """A wide step gets the targets that scoring all of them each time would give."""

    def choose_all(self, among: list[Candidate], count: int) -> list[str]:
        wide = step(count, resources=Resources(700, 100))
        chosen = []
        for ordinal in range(count):
            fitting = [
                candidate
                for candidate in among
                if candidate.accepts(PLACE, wide, wide.reserved(), "pool")
            ]
            if not fitting:
                break
            best = min(fitting, key=lambda candidate: -candidate.unused_cores())
            best.reserve(TaskKey(*PLACE, ordinal), wide)
            chosen.append(best.target.life.target_id)
        return chosen

    def rank_all(self, among: list[Candidate], count: int) -> tuple[list[str], int]:
        wide = step(count, resources=Resources(700, 100))
        scored = 0

        def score(candidate: Candidate) -> tuple[float, ...]:
            nonlocal scored
            scored += 1
            return (-candidate.unused_cores(),)

        ranking = Ranking(
            among,
            lambda candidate: candidate.accepts(PLACE, wide, wide.reserved(), "pool"),
            score,
        )
        chosen = []
        for ordinal in range(count):
            best = ranking.best()
            if best is None:
                break
            best[0].reserve(TaskKey(*PLACE, ordinal), wide)
            ranking.rescore_best()
            chosen.append(best[0].target.life.target_id)
        return chosen, scored

    def test_the_choice_is_that_of_scoring_all_each_time(self) -> None:
        for count in (1, 30, 500):
            with self.subTest(count=count):
                ranked, scored = self.rank_all(candidates(100), count)
                self.assertEqual(ranked, self.choose_all(candidates(100), count))
                self.assertLessEqual(scored, 100 + count)

    def test_nothing_is_best_where_nothing_accepts(self) -> None:
        ranking = Ranking(candidates(3), lambda _room: False, lambda _room: (0.0,))
        self.assertIsNone(ranking.best())
        self.assertEqual(ranking.candidates(), [])


if __name__ == "__main__":
    unittest.main()
