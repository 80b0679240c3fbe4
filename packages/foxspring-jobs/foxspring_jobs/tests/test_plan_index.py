"""Plans with what is kept from plan to plan start the same as plans without."""

import itertools
import random
import unittest

from foxspring_model import Resources

from foxspring_jobs._best_effort import Entry, GroupKey
from foxspring_jobs._candidates import CHANGED, Candidate
from foxspring_jobs._commands import RunStart, TaskKey
from foxspring_jobs._placement import Planner
from foxspring_jobs._plan_index import PlanIndex
from foxspring_jobs._restarts import RestartLimits
from foxspring_jobs._waiting import waiting_steps
from foxspring_jobs.tests.builders import step
from foxspring_jobs.tests.load_replay import (
    SHORT_MIX,
    Arrival,
    JobMix,
    Replay,
    Spread,
    as_best_effort,
    cores_of,
    long_running_jobs,
    site,
    steady,
)
from foxspring_jobs.tests.random_candidates import (
    IMAGES,
    SERVICES,
    SERVING,
    best_effort_step,
    learned,
    random_candidate,
)

SEEDS = range(4)
TARGETS = 60
LOAD_MS = 3_000
MEASURED_TARGETS = 4
LATENCY_TARGET_MS = 50
CANDIDATES = 30
ROUNDS = 300
SIZES = 10
SERVING_STEP = step(long_running=True, image="web", latency_target_ms=50)
WIDE = JobMix(
    Spread(2, 0.4, 5),
    Spread(12, 0.6, 60),
    Spread(7, 0.3, 14),
    Spread(1_000, 0.5, 4_300),
)


class ComparingReplay(Replay):
    """A replay that compares each plan with one that keeps nothing.

    In between, what is measured on some targets changes the effects of best-effort
    images, and targets come, drain and are lost.
    """

    def __init__(self, seed: int, learns: bool) -> None:
        self.rng = random.Random(seed)
        self.learns = learns
        self.differences = 0
        self.started = 0
        self.plans_without_start = 0
        super().__init__(site(TARGETS))

    def plan_starts(self) -> list[RunStart]:
        """Plan, and count it if a plan that keeps nothing differs."""
        if self.learns:
            self.measure()
        if self.rng.random() < 0.1:
            self.change_target()
        candidates = [Candidate(target) for target in self.state.targets.values()]
        self.restarts.update(self.state, self.now_ms)
        limits = RestartLimits(self.restarts.holding(self.now_ms))
        planner = Planner(
            self.state, candidates, self.interference, restart_limits=limits
        )
        overdue = self.restarts.overdue(self.now_ms)
        expected = planner.plan(waiting_steps(self.state, self.now_ms, overdue))
        starts = super().plan_starts()
        self.differences += starts != expected
        self.started += len(starts)
        self.plans_without_start += not starts
        return starts

    def measure(self) -> None:
        """Learn from some targets with serving tasks."""
        targets = self.rng.sample(list(self.state.targets.values()), MEASURED_TARGETS)
        for target in targets:
            for image, target_ms in target.serving:
                tail_ms = self.rng.randrange(10, LATENCY_TARGET_MS)
                self.interference.observe(
                    image, tail_ms, target_ms, target.best_effort_cores
                )

    def change_target(self) -> None:
        """Register a target anew: draining, larger or in another incarnation."""
        target = self.rng.choice(list(self.state.targets.values()))
        known = target.registered
        larger = known.capacity._replace(cores_milli=known.capacity.cores_milli + 8_000)
        restarted = known.incarnation._replace(
            incarnation_ms=known.incarnation.incarnation_ms + 1
        )
        changed = self.rng.choice(
            (
                known._replace(draining=True),
                known._replace(capacity=larger),
                known._replace(incarnation=restarted, draining=False),
            )
        )
        self.state.apply(changed, self.now_ms)

    def load(self) -> list[Arrival]:
        """Return more work than the site has room for."""
        until_ms = self.now_ms + LOAD_MS
        wide = steady(self.rng, WIDE, 12, self.now_ms, until_ms)
        short = steady(self.rng, SHORT_MIX, 6, self.now_ms, until_ms)
        return [*(as_best_effort(arrival, self.rng) for arrival in wide), *short]


class KeptPlansTest(unittest.TestCase):
    def test_starts_are_those_of_plans_that_keep_nothing(self) -> None:
        for seed in SEEDS:
            for learns in (False, True):
                with self.subTest(seed=seed, learns=learns):
                    replay = ComparingReplay(seed, learns)
                    lasting = cores_of(site(TARGETS)) * 17 // 20
                    replay.run(long_running_jobs(replay.rng, lasting), 500)
                    replay.run(replay.load(), LOAD_MS)
                    replay.lose_failure_domain("fd-2")
                    replay.run(replay.load(), LOAD_MS)
                    self.assertEqual(replay.differences, 0)
                    self.assertGreater(replay.started, 500)
                    self.assertGreater(replay.plans_without_start, 5)


class KeptIndexTest(unittest.TestCase):
    """A kept index is as a new one after random changes."""

    def setUp(self) -> None:
        self.rng = random.Random(1)
        self.interference = learned(self.rng)
        self.candidates = [self.another(n) for n in range(CANDIDATES)]
        self.index = PlanIndex(self.interference)

    def another(self, number: int) -> Candidate:
        return random_candidate(self.rng, number, self.rng.choice((16_000, 24_000)))

    def plan(self) -> None:
        """Change candidates as a plan does, then replace them and some others."""
        for number in range(self.rng.randrange(4)):
            candidate = self.rng.choice(self.candidates)
            self.look_up()
            if self.rng.random() < 0.2:
                candidate.hold(Resources(cores_milli=1_000))
            else:
                wanted = self.rng.choice((best_effort_step(self.rng), SERVING_STEP))
                candidate.reserve(TaskKey("job", 0, 0, number), wanted)
            self.index.note_change(candidate)
        for position, candidate in enumerate(self.candidates):
            if candidate.version == CHANGED or self.rng.random() < 0.1:
                self.candidates[position] = self.another(position)

    def look_up(self) -> None:
        """Make the index compute what it computes when it is needed."""
        cores = self.rng.randrange(6_000)
        list(self.index.best_effort().groups_with_cores("pool", IMAGES[0], cores))

    def change_membership(self) -> None:
        """Add or remove a candidate, or let the last one take the first place."""
        change = self.rng.randrange(3)
        if change == 0:
            self.candidates.append(self.another(len(self.candidates)))
        elif change == 1:
            del self.candidates[self.rng.randrange(len(self.candidates))]
        else:
            self.candidates.insert(0, self.candidates.pop())

    def learn(self) -> None:
        """Learn from a few measurements of one pair of images."""
        serving, used = self.rng.choice(SERVING), {self.rng.choice(IMAGES): 4_000}
        tail_ms = self.rng.randrange(20, LATENCY_TARGET_MS)
        for _ in range(5):
            self.interference.observe(serving, tail_ms, LATENCY_TARGET_MS, used)

    def assert_equal_indexes(self, new: PlanIndex) -> None:
        kept_room, new_room = self.index.room, new.room
        self.assertEqual(kept_room.free_cores, new_room.free_cores)
        self.assertEqual(kept_room.capacity, new_room.capacity)
        for cores in range(0, 17_000, 500):
            kept = list(kept_room.with_cores(cores))
            self.assertEqual(kept, list(new_room.with_cores(cores)))
        self.assertEqual(entries_of(self.index), entries_of(new))
        sizes = [self.rng.randrange(12_000) for _ in range(SIZES)]
        for service in SERVICES:
            for image, cores in itertools.product(IMAGES, sizes):
                kept_groups = suitable(self.index, service, image, cores)
                new_groups = suitable(new, service, image, cores)
                self.assertEqual(kept_groups, new_groups)

    def test_kept_index_equals_a_new_one(self) -> None:
        for _ in range(ROUNDS):
            self.index.begin_plan(list(self.candidates))
            new = PlanIndex(self.interference)
            new.begin_plan(list(self.candidates))
            self.assert_equal_indexes(new)
            self.plan()
            if self.rng.random() < 0.1:
                self.change_membership()
            if self.rng.random() < 0.3:
                self.learn()


def entries_of(index: PlanIndex) -> dict[GroupKey, list[Entry]]:
    """Return the entries of each group."""
    groups = index.best_effort().groups
    return {key: group.entries for key, group in groups.items()}


def suitable(
    index: PlanIndex, service: str, image: str, cores: int
) -> dict[GroupKey, list[Entry]]:
    """Return the groups that may have targets, with their entries with room."""
    best_effort = index.best_effort()
    return {
        group.key: best_effort.entries_with_room(group, image, cores)
        for group in best_effort.groups_with_cores(service, image, cores)
    }


if __name__ == "__main__":
    unittest.main()
