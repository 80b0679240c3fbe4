import random
import unittest

from foxspring_jobs._commands import RunKey, TaskKey
from foxspring_jobs._interference import (
    DRIFT_VARIANCE,
    INITIAL_BASELINE,
    INITIAL_DEVIATION,
    INITIAL_EFFECT,
    MAX_IMAGES,
    NOISE_VARIANCE,
    OTHER_IMAGES,
    UNUSED_AFTER_UPDATES,
    Estimate,
    Interference,
)
from foxspring_jobs._pressure import (
    BestEffortRun,
    Mitigation,
    Move,
    Pace,
    ServingTask,
    mitigate,
)

TARGET_MS = 50
TRUE_EFFECTS = {"calm": 0.0, "mild": 0.005, "rough": 0.03}


def trained_interference(seed: int = 3, rounds: int = 400) -> Interference:
    """Return estimates learned from random best-effort mixes under a varying load."""
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


def kalman_means(updates: list[tuple[float, dict[str, float]]]) -> dict[str, float]:
    """Return the means of a Kalman filter that keeps its covariance pair by pair."""
    mean: dict[str, float] = {}
    covariance: dict[tuple[str, str], float] = {}
    for pressure, cores in updates:
        for image in cores:
            mean.setdefault(image, INITIAL_EFFECT)
            covariance.setdefault((image, image), INITIAL_DEVIATION**2)
            covariance[image, image] += DRIFT_VARIANCE
        cross = {
            known: sum(covariance.get((known, f), 0.0) * c for f, c in cores.items())
            for known in mean
        }
        variance = NOISE_VARIANCE + sum(cross[f] * c for f, c in cores.items())
        error = pressure - sum(mean[f] * c for f, c in cores.items())
        for known in mean:
            gain = cross[known] / variance
            mean[known] = max(0.0, mean[known] + gain * error)
            for other in mean:
                previous = covariance.get((known, other), 0.0)
                covariance[known, other] = previous - gain * cross[other]
    return mean


def best_effort_run(
    number: int, image: str, pace: int = 100, movable: bool = False
) -> BestEffortRun:
    run = RunKey(TaskKey("job", 0, 0, number), 1)
    return BestEffortRun(run, image, 8_000, pace, movable)


def serving(tail_ms: int, own_pressure: float = 0.4) -> ServingTask:
    return ServingTask("web", TARGET_MS, tail_ms, own_pressure)


class LearningTest(unittest.TestCase):
    def test_effects_of_mixed_best_effort_images_are_separated(self) -> None:
        for seed in range(5):
            interference = trained_interference(seed)
            effects = {f: interference.effect("web", f) for f in TRUE_EFFECTS}
            self.assertLess(effects["calm"], 0.008, seed)
            self.assertGreater(effects["rough"], 0.015, seed)
            self.assertLess(effects["mild"], effects["rough"], seed)

    def test_means_equal_those_of_a_filter_that_keeps_pairs(self) -> None:
        rng = random.Random(5)
        images = [f"image{number}" for number in range(8)]
        updates = []
        for _ in range(300):
            used = rng.sample(images, rng.randint(1, 4))
            cores = {image: rng.choice((0.5, 2.0, 6.0)) for image in used}
            updates.append((rng.uniform(-0.2, 0.6), cores))
        estimate = Estimate()
        for pressure, cores in updates:
            estimate.update(pressure, cores)
        self.assertEqual(estimate.mean, kalman_means(updates))

    def test_changed_effect_is_learned(self) -> None:
        interference = trained_interference()
        for _ in range(60):
            interference.observe("web", 400, TARGET_MS, {"calm": 16_000})
        self.assertGreater(interference.effect("web", "calm"), 0.015)

    def test_mean_of_measurements_teaches_what_each_of_them_does(self) -> None:
        rng = random.Random(6)
        one_by_one, together = Estimate(), Estimate()
        for _ in range(200):
            cores = {image: rng.choice((0.5, 2.0)) for image in TRUE_EFFECTS}
            mean = 0.1 * sum(cores.values())
            pressures = [mean + rng.uniform(-0.1, 0.1) for _ in range(4)]
            for pressure in pressures:
                one_by_one.update(pressure, cores)
            together.update(sum(pressures) / 4, cores, count=4)
        for image in TRUE_EFFECTS:
            self.assertAlmostEqual(
                together.mean[image], one_by_one.mean[image], places=3
            )
            self.assertAlmostEqual(
                together.deviation(image), one_by_one.deviation(image), places=3
            )

    def test_equal_tasks_share_one_update(self) -> None:
        interference = Interference()
        pressures = interference.observe_tasks("web", (30, 0), 50, {"calm": 8_000})
        self.assertEqual(len(interference.estimates), 1)
        self.assertEqual(pressures[1], INITIAL_BASELINE)
        self.assertLess(pressures[0], interference.pressure("web", 30, 50))

    def test_zero_tail_changes_nothing(self) -> None:
        interference = Interference()
        interference.observe("web", 0, TARGET_MS, {"calm": 8_000})
        self.assertEqual(interference.estimates, {})


def never(_run: BestEffortRun) -> bool:
    return False


def always(_run: BestEffortRun) -> bool:
    return True


class MitigationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.interference = trained_interference()

    def mitigate(
        self,
        tail_ms: int,
        *best_effort_runs: BestEffortRun,
        own_pressure: float = 0.4,
        can_move: bool = False,
    ) -> list[Mitigation]:
        check = always if can_move else never
        return mitigate(
            [serving(tail_ms, own_pressure)],
            best_effort_runs,
            self.interference,
            check,
        )

    def test_best_effort_run_that_explains_the_tail_is_paced(self) -> None:
        calm, rough = best_effort_run(0, "calm"), best_effort_run(1, "rough")
        mitigations = self.mitigate(70, calm, rough)
        self.assertEqual([r.run for r in mitigations], [rough.run])
        self.assertIsInstance(mitigations[0], Pace)

    def test_movable_run_with_another_target_is_moved(self) -> None:
        rough = best_effort_run(0, "rough", movable=True)
        self.assertEqual(self.mitigate(300, rough, can_move=True), [Move(rough.run)])

    def test_all_best_effort_runs_are_removed_beside_a_task_over_its_target(
        self,
    ) -> None:
        row = ServingTask("web", TARGET_MS, 60, 0.4, over_target_ms=1_500)
        calm, other = (
            best_effort_run(0, "calm", movable=True),
            best_effort_run(1, "calm"),
        )
        mitigations = mitigate([row], [calm, other], self.interference, never)
        self.assertEqual(mitigations, [Move(calm.run), Pace(other.run, 0)])

    def test_low_tail_changes_nothing(self) -> None:
        self.assertEqual(self.mitigate(25, best_effort_run(0, "rough")), [])

    def test_pace_is_raised_while_own_pressure_is_low(self) -> None:
        mitigations = self.mitigate(
            20, best_effort_run(0, "mild", pace=0), own_pressure=0.2
        )
        raised = [r.percent for r in mitigations if isinstance(r, Pace)]
        self.assertEqual([percent > 0 for percent in raised], [True])

    def test_pace_stays_while_own_pressure_is_high(self) -> None:
        self.assertEqual(
            self.mitigate(40, best_effort_run(0, "rough", pace=0), own_pressure=0.7), []
        )


class ManyImagesTest(unittest.TestCase):
    """Callers bring thousands of best-effort images."""

    def observe(self, interference: Interference, images: range) -> None:
        """Learn from a serving task beside one core of each image."""
        cores = {f"image-{number}": 1_000 for number in images}
        interference.observe("web", 20, TARGET_MS, cores)

    # Guards against LOST: images that were never forgotten kept the leader's thread
    # busy until all leases had lapsed (review/12).
    def test_images_with_an_estimate_of_their_own_are_bounded(self) -> None:
        interference = Interference()
        for first in range(0, 20 * MAX_IMAGES, 40):
            self.observe(interference, range(first, first + 40))
        estimate = interference.estimates["web"]
        self.assertLessEqual(len(estimate.covariance), MAX_IMAGES + 1)
        self.assertLessEqual(len(interference.best_effort_images()), MAX_IMAGES + 1)
        self.assertEqual(set(estimate.mean), set(estimate.positions))

    def test_other_images_are_learned_as_one(self) -> None:
        interference = Interference()
        self.observe(interference, range(MAX_IMAGES))
        beyond = {f"other-{number}": 8_000 for number in range(2)}
        for number in range(400):
            interference.observe("web", 60 if number % 2 else 40, TARGET_MS, beyond)
        effects = {interference.effect("web", name) for name in (*beyond, "new")}
        self.assertEqual(len(effects), 1)
        self.assertGreater(effects.pop(), INITIAL_EFFECT)

    def test_image_that_is_not_used_any_more_makes_room(self) -> None:
        interference = Interference()
        self.observe(interference, range(MAX_IMAGES))
        for _ in range(UNUSED_AFTER_UPDATES):
            self.observe(interference, range(1, 3))
        self.observe(interference, range(MAX_IMAGES, MAX_IMAGES + 1))
        mean = interference.estimates["web"].mean
        self.assertIn(f"image-{MAX_IMAGES}", mean)
        self.assertNotIn("image-0", mean)
        self.assertNotIn(OTHER_IMAGES, mean)

    def test_forgotten_image_changes_no_estimate_of_another_one(self) -> None:
        rng = random.Random(12)
        estimate = Estimate()
        for _ in range(50):
            cores = {f"image-{rng.randrange(6)}": rng.uniform(0.1, 8) for _ in range(3)}
            estimate.update(rng.uniform(0, 0.3), cores)
        before = {name: estimate.deviation(name) for name in estimate.mean}
        means = dict(estimate.mean)
        oldest = min(estimate.updated, key=estimate.updated.__getitem__)
        estimate.updates += UNUSED_AFTER_UPDATES
        estimate._forget_unused()
        self.assertNotIn(oldest, estimate.mean)
        for name, mean in estimate.mean.items():
            self.assertEqual(mean, means[name])
            self.assertEqual(estimate.deviation(name), before[name])


if __name__ == "__main__":
    unittest.main()
