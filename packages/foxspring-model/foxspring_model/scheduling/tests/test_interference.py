"""Interference is learned from late samples and relieved in steps."""

import random
import unittest

from foxspring_model import (
    Priority,
    Resources,
    Service,
    Task,
    TaskState,
    UsageSample,
    Weights,
)
from foxspring_model.scheduling import Scheduler, SchedulerSettings
from foxspring_model.scheduling._interference import InterferenceModel
from foxspring_model.scheduling._pressure import (
    PressureState,
    Step,
    advance,
    eviction_budget_per_minute,
    limits_for,
)
from foxspring_model.scheduling.tests.builders import (
    a_configuration,
    a_replica,
    a_target,
    a_task,
)

SETTINGS = SchedulerSettings()
REPORT_MS = 2_000
HIGH_US, LOW_US = 200_000, 20_000


def running(task: Task, target_id: str = "t0") -> Task:
    return task._replace(state=TaskState.RUNNING, target_id=target_id, epoch=1)


class InterferenceModelTest(unittest.TestCase):
    def test_effects_of_mixed_classes_are_separated(self) -> None:
        rng = random.Random(1)
        model = InterferenceModel()
        truth = {"loud": 2.0, "quiet": 0.05}
        for _ in range(600):
            shares = {name: rng.random() / 2 for name in truth}
            added = sum(truth[name] * share for name, share in shares.items())
            noisy = (0.3 + added) * rng.lognormvariate(0, 0.2)
            model.learn("register", 1, shares, noisy)
        self.assertAlmostEqual(2.0, model.coefficient("register", "loud", 1), delta=0.4)
        self.assertLess(model.coefficient("register", "quiet", 1), 0.3)
        self.assertTrue(model.known("register", "loud"))
        self.assertFalse(model.known("register", "never seen"))

    def test_load_levels_are_learned_separately(self) -> None:
        model = InterferenceModel()
        for _ in range(300):
            for level, added in ((0, 0.2), (2, 2.0)):
                model.learn("register", level, {"loud": 0.5}, 0.3 + added / 2)
                model.learn("register", level, {}, 0.3)
        low = model.coefficient("register", "loud", 0)
        high = model.coefficient("register", "loud", 2)
        self.assertGreater(high, 3 * low)


class StepTest(unittest.TestCase):
    def test_steps_follow_each_other_with_hysteresis(self) -> None:
        limits = limits_for(SETTINGS, Weights())
        high, low = 2.0, 0.1
        between = (limits.low + limits.high) / 2
        act, relax = limits.to_act, limits.to_relax
        cases: tuple[tuple[str, list[float], list[Step]], ...] = (
            ("one spike does nothing", [high], []),
            ("separate spikes do nothing", [high, high, between] * 4, []),
            ("throttle first", [high] * act, [Step.THROTTLE]),
            (
                "then evict",
                [high] * act * 3,
                [Step.THROTTLE, Step.THROTTLE, Step.EVICT],
            ),
            ("relax late", [high] * act + [low] * relax, [Step.THROTTLE, Step.RELAX]),
            ("relax not earlier", [high] * act + [low] * (relax - 1), [Step.THROTTLE]),
        )
        for name, pressures, expected in cases:
            with self.subTest(name):
                state, seen = PressureState(), []
                for pressure in pressures:
                    state, step = advance(state, pressure, limits)
                    seen.append(step)
                self.assertEqual(expected, [s for s in seen if s is not Step.NONE])

    def test_weights_change_the_limits(self) -> None:
        tail, batch = Weights(60, 20, 20), Weights(25, 40, 35)
        self.assertLess(
            limits_for(SETTINGS, tail).high, limits_for(SETTINGS, batch).high
        )
        self.assertGreater(
            eviction_budget_per_minute(SETTINGS, tail, 100),
            eviction_budget_per_minute(SETTINGS, batch, 100),
        )


class ReliefTest(unittest.TestCase):
    def setUp(self) -> None:
        self.scheduler = Scheduler(SETTINGS)
        configuration = a_configuration()
        service = Service("register", "core", objective_ms=100)
        self.scheduler.set_configuration(configuration._replace(services=(service,)))
        self.scheduler.upsert_target(a_target(0), False)
        self.tasks = [
            running(a_replica(0)),
            running(a_task(1, "loud", work_class="loud")),
            running(a_task(2, "loud", work_class="loud")),
            running(a_task(3, "urgent", priority=Priority.URGENT, work_class="loud")),
        ]
        for task in self.tasks:
            self.scheduler.upsert_task(task, 0)
        self.taken_ms = 0

    def sample(self, p99_us: int, **changes: object) -> UsageSample:
        self.taken_ms += REPORT_MS
        running_then = tuple((task.task_id, task.epoch) for task in self.tasks)
        latencies = (("register", p99_us // 4, p99_us, 200),)
        sample = UsageSample("t0", 1, self.taken_ms, 0, 0, latencies, running_then)
        return sample._replace(**changes)  # type: ignore[arg-type]

    def feed(self, p99_us: int, count: int) -> list[tuple[str, int]]:
        sent = []
        for _ in range(count):
            self.scheduler.record_sample(self.sample(p99_us), self.taken_ms)
            decisions = self.scheduler.decide(self.taken_ms)
            sent += [(each.task_id, each.percent) for each in decisions.throttles]
            sent += [(each.task_id, 0) for each in decisions.evictions]
        return sent

    def test_throttles_then_evicts_one_batch_task_but_no_urgent_task(self) -> None:
        act = SETTINGS.samples_to_act
        self.assertEqual({("loud/1", 50), ("loud/2", 50)}, set(self.feed(HIGH_US, act)))
        self.assertIn(("loud/1", 25), self.feed(HIGH_US, act))
        evicted = [name for name, percent in self.feed(HIGH_US, act) if not percent]
        self.assertEqual(1, len(evicted))
        self.assertIn(evicted[0], ("loud/1", "loud/2"))

    def test_relaxes_when_pressure_is_gone(self) -> None:
        self.feed(HIGH_US, SETTINGS.samples_to_act)
        sent = self.feed(LOW_US, SETTINGS.samples_to_relax)
        self.assertIn(("loud/1", 100), sent)

    def test_evictions_stay_within_their_budget(self) -> None:
        sent = self.feed(HIGH_US, 12 * SETTINGS.samples_to_act)
        self.assertLessEqual(sum(1 for _, percent in sent if not percent), 2)

    def test_old_and_duplicate_samples_cause_no_step(self) -> None:
        first = self.sample(HIGH_US)
        newer = self.sample(LOW_US)
        self.scheduler.record_sample(newer, self.taken_ms)
        for _ in range(20):
            self.scheduler.record_sample(first, self.taken_ms)
            self.scheduler.record_sample(newer, self.taken_ms)
        self.assertEqual((), self.scheduler.decide(self.taken_ms).throttles)
        load = self.scheduler.site.load_of("t0")
        self.assertEqual(PressureState(), load.state)

    def test_late_sample_is_matched_with_the_tasks_that_ran_then(self) -> None:
        late = self.sample(HIGH_US)
        for task in self.tasks[1:3]:
            done = task._replace(state=TaskState.FINISHED)
            self.scheduler.upsert_task(done, self.taken_ms)
        model = self.scheduler.site.model
        before = model.coefficient("register", "loud", 2)
        self.scheduler.record_sample(self.sample(LOW_US), self.taken_ms)
        self.scheduler.record_sample(late, self.taken_ms + 3_600_000)
        self.assertGreater(model.coefficient("register", "loud", 2), before)

    def test_sample_of_an_earlier_incarnation_is_dropped(self) -> None:
        self.scheduler.record_sample(self.sample(LOW_US, incarnation=2), 0)
        before = self.scheduler.site.load_of("t0").history.newest_ms
        self.scheduler.record_sample(self.sample(HIGH_US, incarnation=1), 0)
        self.assertEqual(before, self.scheduler.site.load_of("t0").history.newest_ms)

    def test_sample_of_a_removed_target_is_ignored(self) -> None:
        self.scheduler.remove_target("t0")
        self.scheduler.record_sample(self.sample(HIGH_US), 0)
        self.assertEqual({}, self.scheduler.site.loads)

    def test_unknown_pair_is_tried_with_one_task_a_target(self) -> None:
        size = Resources(0, 0, 1_000, 1_000, 0)
        for number in range(4):
            task = a_task(number, "new", resources=size, work_class="new")
            self.scheduler.upsert_task(task, 0)
        placed = len(self.scheduler.decide(1).placements)
        placed += len(self.scheduler.decide(2).placements)
        self.assertEqual(1, placed)


class MemoryTest(unittest.TestCase):
    def test_task_over_its_declared_memory_is_evicted(self) -> None:
        scheduler = Scheduler(SETTINGS)
        scheduler.set_configuration(a_configuration())
        capacity = Resources(8, 64, 64_000, 100_000, 0)
        scheduler.upsert_target(a_target(0, capacity), False)
        size = Resources(1, 0, 8_000, 25_000, 0)
        tasks = [running(a_task(0, f"job{n}", resources=size)) for n in range(4)]
        for task in tasks:
            scheduler.upsert_task(task, 0)
        used = [(task.task_id, 8_000, 20_000) for task in tasks[:3]]
        used.append(("job3/0", 8_000, 40_000))
        ids = tuple((task.task_id, 1) for task in tasks)
        sample = UsageSample("t0", 1, 1, 0, 100_000, (), ids, tuple(used))
        scheduler.record_sample(sample, 1)
        evictions = scheduler.decide(2).evictions
        self.assertEqual(["job3/0"], [each.task_id for each in evictions])
        self.assertIn("40000 MB of 25000 declared", evictions[0].reason)

    def test_measured_size_is_bounded_both_ways(self) -> None:
        declared = Resources(1, 0, 8_000, 10_000, 0)
        low = SETTINGS.size_min_percent * 8_000 // 100
        cases = (
            ((1_000_000, 1_000_000), (32_000, 40_000)),
            ((1, 1), (low, 10_000)),
            ((16_000, 15_000), (16_000, 15_000)),
        )
        for (cores, memory), expected in cases:
            with self.subTest(cores=cores):
                scheduler = Scheduler(SETTINGS)
                scheduler.upsert_target(a_target(0), False)
                scheduler.upsert_task(running(a_task(0, resources=declared)), 0)
                usage = (("job/0", cores, memory),)
                sample = UsageSample("t0", 1, 1, 0, 0, (), (("job/0", 1),), usage)
                scheduler.record_sample(sample, 1)
                held = scheduler.site.target_table.get_or_create("t0").held
                self.assertEqual(expected, (held.cores_milli, held.memory_mb))
