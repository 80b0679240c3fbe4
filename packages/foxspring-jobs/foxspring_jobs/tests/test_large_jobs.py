"""The largest jobs are served about as often as others when a site is full."""

import random
import unittest
from typing import NamedTuple

from foxspring_jobs.tests.load_replay import (
    SHORT_QUEUE,
    JobMix,
    Replay,
    Spread,
    cores_of,
    largest,
    long_running_jobs,
    next_largest_fifth,
    share_served,
    site,
    steady,
)

SEEDS = (1, 2)
SETTLE_MS = 2_000
LOAD_MS = 20_000
JOBS_PER_S = 9
STEPS = Spread(1.6, 0.4, 4)
TASKS = Spread(9.5, 0.8, 57)
DURATION_MS = Spread(640, 0.5, 1_600)


class SiteLoad(NamedTuple):
    """A site whose long-running tasks ask for more than all of its cores."""

    targets: int
    target_cores: tuple[int, ...]
    long_running_cores: tuple[int, int]
    short_cores: Spread


SITES = (
    SiteLoad(175, (32, 32, 48), (5, 8), Spread(4.1, 0.45, 12)),
    SiteLoad(246, (64, 64, 96), (10, 16), Spread(11, 0.45, 34)),
)


def replayed(load: SiteLoad, seed: int) -> Replay:
    rng = random.Random(seed)
    targets = site(load.targets, load.target_cores)
    arrivals = long_running_jobs(
        rng, cores_of(targets) * 11 // 10, load.long_running_cores
    )
    mix = JobMix(STEPS, TASKS, load.short_cores, DURATION_MS)
    until_ms = SETTLE_MS + LOAD_MS
    arrivals += steady(rng, mix, JOBS_PER_S, SETTLE_MS, until_ms)
    replay = Replay(targets)
    replay.run(arrivals, until_ms + SETTLE_MS)
    return replay


class LargeShortJobsTest(unittest.TestCase):
    """Short jobs ask for 6% of a site that long-running tasks could fill.

    That is less than the reserve for short tasks, so few of any size may be too late.
    """

    def test_large_short_jobs_do_not_starve_beside_long_running_ones(self) -> None:
        for load in SITES:
            for seed in SEEDS:
                with self.subTest(targets=load.targets, seed=seed):
                    jobs = replayed(load, seed).jobs_of(SHORT_QUEUE)
                    self.assertGreaterEqual(share_served(jobs), 0.9)
                    self.assertGreaterEqual(share_served(largest(jobs, 0.1)), 0.9)
                    self.assertGreaterEqual(share_served(next_largest_fifth(jobs)), 0.9)


if __name__ == "__main__":
    unittest.main()
