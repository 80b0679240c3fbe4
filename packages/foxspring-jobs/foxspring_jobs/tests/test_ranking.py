import random
import unittest

from foxspring_model import Resources

from foxspring_jobs._commands import TaskKey
from foxspring_jobs._ranking import Ranking
from foxspring_jobs._rooms import Room
from foxspring_jobs._state import TargetState
from foxspring_jobs.tests.builders import JOB, registered, step

PLACE = (JOB, 0, 0)


def rooms(count: int) -> list[Room]:
    choice = random.Random(7)
    sizes = [choice.choice((2_000, 3_000, 4_000)) for _ in range(count)]
    return [
        Room(TargetState(registered(f"t{n}", cores=cores)))
        for n, cores in enumerate(sizes)
    ]


class RankingTest(unittest.TestCase):
    """A wide step gets the targets that scoring all of them each time would give."""

    def choose_all(self, among: list[Room], count: int) -> list[str]:
        wide = step(count, resources=Resources(700, 100))
        chosen = []
        for ordinal in range(count):
            fitting = [
                room
                for room in among
                if room.accepts(PLACE, wide, wide.reserved(), "pool")
            ]
            if not fitting:
                break
            best = min(fitting, key=lambda room: -room.spare_cores())
            best.take(TaskKey(*PLACE, ordinal), wide)
            chosen.append(best.target.life.target_id)
        return chosen

    def rank_all(self, among: list[Room], count: int) -> tuple[list[str], int]:
        wide = step(count, resources=Resources(700, 100))
        scored = 0

        def score(room: Room) -> tuple[float, ...]:
            nonlocal scored
            scored += 1
            return (-room.spare_cores(),)

        ranking = Ranking(
            among,
            lambda room: room.accepts(PLACE, wide, wide.reserved(), "pool"),
            score,
        )
        chosen = []
        for ordinal in range(count):
            best = ranking.best()
            if best is None:
                break
            best[0].take(TaskKey(*PLACE, ordinal), wide)
            ranking.rescore_best()
            chosen.append(best[0].target.life.target_id)
        return chosen, scored

    def test_the_choice_is_that_of_scoring_all_each_time(self) -> None:
        for count in (1, 30, 500):
            with self.subTest(count=count):
                ranked, scored = self.rank_all(rooms(100), count)
                self.assertEqual(ranked, self.choose_all(rooms(100), count))
                self.assertLessEqual(scored, 100 + count)

    def test_nothing_is_best_where_nothing_accepts(self) -> None:
        ranking = Ranking(rooms(3), lambda _room: False, lambda _room: (0.0,))
        self.assertIsNone(ranking.best())
        self.assertEqual(ranking.rooms(), [])


if __name__ == "__main__":
    unittest.main()
