"""A plan costs little processor time when hundreds of steps wait for many targets.

The bounds are those stated for 450 targets and 400 waiting steps.
"""

import random
import time
import unittest
from unittest import mock

from foxspring_jobs._candidates import Candidate
from foxspring_jobs._waiting import waiting_steps
from foxspring_jobs.tests.builders import spec, state_with, step, submit
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

TARGETS = 450
WAITING_STEPS = 400
IDLE_PLAN_S = 0.005
PLANS = 5
LOAD_MS = 4_000
SERVICE_CORES = 14_000
WAITING_SERVICES = 30
# About as many as fit in the largest body that clients may send.
MOST_STEPS = 12_000
# Looked at again whenever the job has a start or an end; a commit takes longer.
MANY_STEPS_S = 0.5
WIDE = JobMix(
    Spread(2, 0.4, 5),
    Spread(39, 0.6, 160),
    Spread(7, 0.3, 14),
    Spread(1_700, 0.5, 4_300),
)


def full_site() -> Replay:
    """Return a site on which ``WAITING_STEPS`` steps wait and none can start."""
    rng = random.Random(1)
    targets = site(TARGETS)
    replay = Replay(targets)
    replay.run(long_running_jobs(rng, cores_of(targets) * 17 // 20), 1_000)
    replay.run(_load(rng, replay.now_ms), LOAD_MS)
    waiting = waiting_steps(replay.state, replay.now_ms)
    for _ in range(WAITING_STEPS - len(waiting)):
        replay.submit(next(iter(_load(rng, replay.now_ms))))
    while replay.plan():
        pass
    return replay


def with_waiting_services(replay: Replay) -> Replay:
    """Submit long-running jobs that find no room on a full site."""
    rng = random.Random(5)
    for arrival in long_running_jobs(rng, SERVICE_CORES):
        replay.submit(arrival._replace(at_ms=replay.now_ms))
    while replay.plan():
        pass
    return replay


def _load(rng: random.Random, from_ms: int) -> list[Arrival]:
    until_ms = from_ms + LOAD_MS
    wide = steady(rng, WIDE, 18, from_ms, until_ms)
    short = steady(rng, SHORT_MIX, 12, from_ms, until_ms)
    return [*(as_best_effort(arrival, rng) for arrival in wide), *short]


class ManyStepsTest(unittest.TestCase):
    def test_steps_of_one_job_do_not_cost_the_square_of_their_number(self) -> None:
        """Guards: a job of 12,000 steps held up the leader for half a minute."""
        state = state_with()
        submit(state, spec(*[step() for _ in range(MOST_STEPS)]))
        began_s = time.thread_time()
        self.assertEqual(len(waiting_steps(state, 0)), MOST_STEPS)
        self.assertLessEqual(time.thread_time() - began_s, MANY_STEPS_S)


class PlanCostTest(unittest.TestCase):
    def test_plan_does_not_score_all_targets_for_each_waiting_image(self) -> None:
        replay = full_site()
        with mock.patch.object(
            Candidate, "risk", autospec=True, side_effect=Candidate.risk
        ) as risk:
            self.assertEqual(replay.plan(), 0)
        self.assertLessEqual(risk.call_count, TARGETS)

    def test_plan_that_can_start_nothing_takes_little_processor_time(self) -> None:
        replay = full_site()
        waiting = waiting_steps(replay.state, replay.now_ms)
        self.assertGreaterEqual(len(waiting), WAITING_STEPS * 9 // 10)
        self.assert_idle_plans_are_short(replay)

    def test_plan_without_room_for_services_takes_little_processor_time(self) -> None:
        replay = with_waiting_services(full_site())
        waiting = waiting_steps(replay.state, replay.now_ms)
        jobs = [replay.state.active[step.job_id] for step in waiting]
        services = sum(job.spec.is_long_running() for job in jobs)
        self.assertGreaterEqual(services, WAITING_SERVICES)
        self.assert_idle_plans_are_short(replay)

    def assert_idle_plans_are_short(self, replay: Replay) -> None:
        took_s = []
        for _ in range(PLANS):
            began_s = time.thread_time()
            self.assertEqual(replay.plan(), 0)
            took_s.append(time.thread_time() - began_s)
        self.assertLessEqual(min(took_s), IDLE_PLAN_S)


if __name__ == "__main__":
    unittest.main()
