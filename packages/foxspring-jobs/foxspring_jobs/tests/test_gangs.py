"""Plans with wide gangs."""

import unittest
from typing import Any
from unittest import mock

from foxspring_model import Resources

from foxspring_jobs._candidates import Candidate
from foxspring_jobs._specs import MAX_TASKS_PER_OCCURRENCE
from foxspring_jobs._state import State
from foxspring_jobs.tests.builders import (
    JOB,
    registered,
    spec,
    state_with,
    step,
    submit,
)
from foxspring_jobs.tests.planning import plan

TARGETS = 24
CORES = 32_000
RACKS = 4
GANGS = 10
TINY = Resources(cores_milli=40, memory_mb=0)
# Looks at a target for each gang: for its rack, for all racks, and twice as many to
# tell whether it fits.
LOOKS = 4


def wide_site() -> State:
    """Return a site of 768 cores in four racks."""
    return state_with(
        *(
            registered(f"t{n:02}", cores=CORES)._replace(rack=f"r{n % RACKS}")
            for n in range(TARGETS)
        )
    )


class WideGangTest(unittest.TestCase):
    def looks(self, state: State) -> tuple[int, int]:
        """Return how often a plan looks at a target, and its starts."""
        accepts = Candidate.accepts
        count = 0

        def counted(candidate: Candidate, *args: Any) -> bool:
            nonlocal count
            count += 1
            return accepts(candidate, *args)

        with mock.patch.object(Candidate, "accepts", counted):
            starts = plan(state)
        return count, len(starts)

    # Guards against LOST: gangs of 20,000 tasks that fit nowhere held up the leader for
    # seconds in each plan, until all leases had lapsed (review/13).
    def test_gangs_that_fit_nowhere_cost_few_looks_at_each_target(self) -> None:
        state = wide_site()
        gang = step(MAX_TASKS_PER_OCCURRENCE, gang=True, one_rack=True, resources=TINY)
        for number in range(GANGS):
            submit(state, spec(gang), f"{number:016x}")
        looks, starts = self.looks(state)
        self.assertEqual(starts, 0)
        self.assertLessEqual(looks, LOOKS * GANGS * TARGETS)

    # Guards against the same by a gang that fits.
    def test_gang_that_fits_looks_at_each_target_once_and_once_for_each_task(
        self,
    ) -> None:
        state = wide_site()
        count = TARGETS * CORES // TINY.cores_milli
        submit(state, spec(step(count, gang=True, resources=TINY)))
        looks, starts = self.looks(state)
        self.assertEqual(starts, count)
        self.assertLessEqual(looks, LOOKS * TARGETS + count)

    def test_gang_without_needs_and_with_a_bound_for_each_target_is_placed(
        self,
    ) -> None:
        for bound, starts in ((1, 0), (2, 30), (0, 30)):
            with self.subTest(bound=bound):
                state = wide_site()
                nothing = Resources(cores_milli=0, memory_mb=0)
                kind = step(30, gang=True, resources=nothing, max_per_target=bound)
                submit(state, spec(kind))
                self.assertEqual(len(plan(state)), starts)

    def test_gang_does_not_use_more_than_one_probe_of_a_target(self) -> None:
        state = wide_site()
        submit(state, spec(step(2, gang=True)), JOB)
        probed = [Candidate(state.targets["t00"], True, max_starts=1)]
        self.assertEqual(plan(state, candidates=probed), [])
        probed.append(Candidate(state.targets["t01"], True, max_starts=1))
        self.assertEqual(len(plan(state, candidates=probed)), 2)


if __name__ == "__main__":
    unittest.main()
