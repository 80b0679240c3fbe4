"""Collections of garbage take little of the time of a loaded member."""

import gc
import random
import unittest
from collections import Counter
from collections.abc import Callable

from foxspring_jobs._garbage import limit_garbage_collection
from foxspring_jobs.tests.load_replay import (
    Arrival,
    JobMix,
    Replay,
    Spread,
    site,
    steady,
)

TARGETS = 60
JOBS_PER_S = 40
LOAD_MS = 6_000
OLDEST_GENERATION = 2
MIX = JobMix(
    Spread(2, 0.4, 5),
    Spread(39, 0.6, 160),
    Spread(2, 0.3, 4),
    Spread(1_700, 0.5, 4_300),
)


def load() -> list[Arrival]:
    """Return wide jobs, which the state keeps for some time after their end."""
    return steady(random.Random(2), MIX, JOBS_PER_S, 0, LOAD_MS)


def collections_of(run: Callable[[], None]) -> Counter[int]:
    """Return how many collections of each generation begin during ``run``."""
    begun: Counter[int] = Counter()

    def note(phase: str, info: dict[str, int]) -> None:
        if phase == "start":
            begun[info["generation"]] += 1

    gc.callbacks.append(note)
    try:
        run()
    finally:
        gc.callbacks.remove(note)
    return begun


class GarbageTest(unittest.TestCase):
    def setUp(self) -> None:
        self.addCleanup(gc.set_threshold, *gc.get_threshold())

    def test_collections_do_not_walk_the_state_again_and_again(self) -> None:
        limit_garbage_collection()
        replay = Replay(site(TARGETS))
        begun = collections_of(lambda: replay.run(load(), LOAD_MS))
        self.assertEqual(begun[OLDEST_GENERATION], 0)
        self.assertGreater(begun[0], 0)


if __name__ == "__main__":
    unittest.main()
