import random
import unittest

from foxspring_jobs._commands import RunKey, TaskKey
from foxspring_jobs._interference import Interference
from foxspring_jobs._mitigation import (
    BestEffortRun,
    Mitigation,
    Move,
    Pace,
    ServingTask,
    mitigate,
)

TARGET_MS = 50
TRUE_EFFECTS = {"calm": 0.0, "mild": 0.005, "rough": 0.03}


def learnt(seed: int = 3, rounds: int = 400) -> Interference:
    """Return a table that has watched random mixes beside a swinging load."""
    rng = random.Random(seed)
    interference = Interference()
    for _ in range(rounds):
        best_effort_cores = {f: rng.choice((0, 0, 8_000, 16_000)) for f in TRUE_EFFECTS}
        own_pressure = 0.45 + rng.uniform(-0.2, 0.2)
        pressed = own_pressure + sum(
            TRUE_EFFECTS[f] * c / 1_000 for f, c in best_effort_cores.items()
        )
        tail = 12 / (1 - min(pressed, 0.99))
        interference.observe("web", int(tail), TARGET_MS, best_effort_cores)
    return interference


def best_effort(
    number: int, image: str, pace: int = 100, movable: bool = False
) -> BestEffortRun:
    run = RunKey(TaskKey("job", 0, 0, number), 1)
    return BestEffortRun(run, image, 8_000, pace, movable)


def serving(tail_ms: int, own_pressure: float = 0.4) -> ServingTask:
    return ServingTask("web", TARGET_MS, tail_ms, own_pressure)


class LearningTest(unittest.TestCase):
    def test_effects_of_mixed_fills_are_told_apart(self) -> None:
        for seed in range(5):
            interference = learnt(seed)
            effects = {f: interference.effect("web", f) for f in TRUE_EFFECTS}
            self.assertLess(effects["calm"], 0.008, seed)
            self.assertGreater(effects["rough"], 0.015, seed)
            self.assertLess(effects["mild"], effects["rough"], seed)

    def test_change_of_an_effect_is_noticed(self) -> None:
        interference = learnt()
        for _ in range(60):
            interference.observe("web", 400, TARGET_MS, {"calm": 16_000})
        self.assertGreater(interference.effect("web", "calm"), 0.015)

    def test_measurement_of_nothing_changes_nothing(self) -> None:
        interference = Interference()
        interference.observe("web", 0, TARGET_MS, {"calm": 8_000})
        self.assertEqual(interference.estimates, {})


def never(_fill: BestEffortRun) -> bool:
    return False


def always(_fill: BestEffortRun) -> bool:
    return True


class MitigationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.interference = learnt()

    def mitigate(
        self,
        tail_ms: int,
        *best_effort_cores: BestEffortRun,
        own_pressure: float = 0.4,
        place: bool = False,
    ) -> list[Mitigation]:
        check = always if place else never
        return mitigate(
            [serving(tail_ms, own_pressure)],
            best_effort_cores,
            self.interference,
            check,
        )

    def test_fill_that_explains_the_tail_is_paced(self) -> None:
        calm, rough = best_effort(0, "calm"), best_effort(1, "rough")
        mitigations = self.mitigate(70, calm, rough)
        self.assertEqual([r.run for r in mitigations], [rough.run])
        self.assertIsInstance(mitigations[0], Pace)

    def test_fill_with_a_better_place_is_moved(self) -> None:
        rough = best_effort(0, "rough", movable=True)
        self.assertEqual(self.mitigate(300, rough, place=True), [Move(rough.run)])

    def test_task_that_stays_over_its_target_is_freed_of_every_fill(self) -> None:
        row = ServingTask("web", TARGET_MS, 60, 0.4, over_target_ms=1_500)
        calm, other = best_effort(0, "calm", movable=True), best_effort(1, "calm")
        mitigations = mitigate([row], [calm, other], self.interference, never)
        self.assertEqual(mitigations, [Move(calm.run), Pace(other.run, 0)])

    def test_low_tail_changes_nothing(self) -> None:
        self.assertEqual(self.mitigate(25, best_effort(0, "rough")), [])

    def test_paced_fill_is_let_go_when_the_own_load_is_low(self) -> None:
        mitigations = self.mitigate(
            20, best_effort(0, "mild", pace=0), own_pressure=0.2
        )
        raised = [r.percent for r in mitigations if isinstance(r, Pace)]
        self.assertEqual([percent > 0 for percent in raised], [True])

    def test_paced_fill_stays_paced_while_the_own_load_is_high(self) -> None:
        self.assertEqual(
            self.mitigate(40, best_effort(0, "rough", pace=0), own_pressure=0.7), []
        )


if __name__ == "__main__":
    unittest.main()
