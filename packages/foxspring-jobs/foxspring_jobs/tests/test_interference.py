import random
import unittest

from foxspring_jobs._commands import RunKey, TaskKey
from foxspring_jobs._interference import Interference
from foxspring_jobs._pressure import (
    FillRow,
    Move,
    Pace,
    Relief,
    ServingRow,
    relieve,
)

TARGET_MS = 50
TRUE_EFFECTS = {"calm": 0.0, "mild": 0.005, "rough": 0.03}


def learnt(seed: int = 3, rounds: int = 400) -> Interference:
    """Return a table that has watched random mixes beside a swinging load."""
    rng = random.Random(seed)
    table = Interference()
    for _ in range(rounds):
        fills = {f: rng.choice((0, 0, 8_000, 16_000)) for f in TRUE_EFFECTS}
        own = 0.45 + rng.uniform(-0.2, 0.2)
        pressed = own + sum(TRUE_EFFECTS[f] * c / 1_000 for f, c in fills.items())
        tail = 12 / (1 - min(pressed, 0.99))
        table.observe("web", int(tail), TARGET_MS, fills)
    return table


def fill(number: int, image: str, pace: int = 100, movable: bool = False) -> FillRow:
    run = RunKey(TaskKey("job", 0, 0, number), 1)
    return FillRow(run, image, 8_000, pace, movable)


def serving(tail_ms: int, own: float = 0.4) -> ServingRow:
    return ServingRow("web", TARGET_MS, tail_ms, own)


class LearningTest(unittest.TestCase):
    def test_effects_of_mixed_fills_are_told_apart(self) -> None:
        for seed in range(5):
            table = learnt(seed)
            effects = {f: table.effect("web", f) for f in TRUE_EFFECTS}
            self.assertLess(effects["calm"], 0.008, seed)
            self.assertGreater(effects["rough"], 0.015, seed)
            self.assertLess(effects["mild"], effects["rough"], seed)

    def test_change_of_an_effect_is_noticed(self) -> None:
        table = learnt()
        for _ in range(60):
            table.observe("web", 400, TARGET_MS, {"calm": 16_000})
        self.assertGreater(table.effect("web", "calm"), 0.015)

    def test_measurement_of_nothing_changes_nothing(self) -> None:
        table = Interference()
        table.observe("web", 0, TARGET_MS, {"calm": 8_000})
        self.assertEqual(table.estimates, {})


def never(_fill: FillRow) -> bool:
    return False


def always(_fill: FillRow) -> bool:
    return True


class ReliefTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = learnt()

    def relieve(
        self, tail_ms: int, *fills: FillRow, own: float = 0.4, place: bool = False
    ) -> list[Relief]:
        check = always if place else never
        return relieve([serving(tail_ms, own)], fills, self.table, check)

    def test_fill_that_explains_the_tail_is_paced(self) -> None:
        calm, rough = fill(0, "calm"), fill(1, "rough")
        reliefs = self.relieve(70, calm, rough)
        self.assertEqual([r.run for r in reliefs], [rough.run])
        self.assertIsInstance(reliefs[0], Pace)

    def test_fill_with_a_better_place_is_moved(self) -> None:
        rough = fill(0, "rough", movable=True)
        self.assertEqual(self.relieve(300, rough, place=True), [Move(rough.run)])

    def test_task_that_stays_over_its_target_is_freed_of_every_fill(self) -> None:
        row = ServingRow("web", TARGET_MS, 60, 0.4, over_ms=1_500)
        calm, other = fill(0, "calm", movable=True), fill(1, "calm")
        reliefs = relieve([row], [calm, other], self.table, never)
        self.assertEqual(reliefs, [Move(calm.run), Pace(other.run, 0)])

    def test_low_tail_changes_nothing(self) -> None:
        self.assertEqual(self.relieve(25, fill(0, "rough")), [])

    def test_paced_fill_is_let_go_when_the_own_load_is_low(self) -> None:
        reliefs = self.relieve(20, fill(0, "mild", pace=0), own=0.2)
        raised = [r.percent for r in reliefs if isinstance(r, Pace)]
        self.assertEqual([percent > 0 for percent in raised], [True])

    def test_paced_fill_stays_paced_while_the_own_load_is_high(self) -> None:
        self.assertEqual(self.relieve(40, fill(0, "rough", pace=0), own=0.7), [])


if __name__ == "__main__":
    unittest.main()
