import unittest
from typing import Any

from foxspring_jobs._stalls import (
    MAX_STALL_DOUBLINGS,
    STALL_MS,
    RunProgress,
    is_stalled,
    needs_speculative_run,
)
from foxspring_jobs.tests.builders import run_key, step


def progress(still_ms: int, job_id: str = "j", **more: Any) -> RunProgress:
    """Return a run polled at ``still_ms`` that last made progress at 0."""
    kind = step(
        best_effort=more.pop("best_effort", False),
        speculative=more.pop("speculative", False),
        estimated_ms=400,
    )
    fields = {
        "percent": 40,
        "pace": 100,
        "cores_used": 0,
        "target_unresponsive": False,
    } | more
    return RunProgress(run_key(job_id=job_id), kind, 0, 0, still_ms, **fields)


class StallTest(unittest.TestCase):
    def test_which_runs_are_stalled(self) -> None:
        cases: tuple[tuple[RunProgress, bool], ...] = (
            (progress(STALL_MS), True),
            (progress(STALL_MS - 1), False),
            (progress(STALL_MS, percent=100), False),
            (progress(STALL_MS, percent=-1), False),
            (progress(STALL_MS, best_effort=True), True),
            (progress(STALL_MS, best_effort=True, pace=20), False),
            (progress(STALL_MS, best_effort=True, cores_used=50), False),
        )
        for row, stalled in cases:
            with self.subTest(row=row):
                self.assertEqual(is_stalled(row), stalled)

    def test_run_with_a_long_estimate_may_stand_still_for_longer(self) -> None:
        kind = step(estimated_ms=600_000)
        for still_ms, stalled in ((17_999, False), (18_000, True)):
            with self.subTest(still_ms=still_ms):
                row = progress(still_ms)._replace(step=kind)
                self.assertIs(is_stalled(row), stalled)

    def test_run_may_stand_still_for_as_long_as_some_percent_have_taken(self) -> None:
        slow = progress(0)._replace(started_ms=-40_000)
        for still_ms, stalled in ((2_999, False), (3_000, True)):
            with self.subTest(still_ms=still_ms):
                self.assertIs(is_stalled(slow._replace(polled_ms=still_ms)), stalled)

    def test_run_that_stands_still_from_its_start_on_has_shown_no_pace(self) -> None:
        seen_late = progress(STALL_MS, percent=1)._replace(started_ms=-2_000)
        self.assertTrue(is_stalled(seen_late))

    def test_run_may_stand_still_for_longer_after_each_stall_up_to_a_limit(
        self,
    ) -> None:
        self.assertTrue(is_stalled(progress(2 * STALL_MS), 1))
        self.assertFalse(is_stalled(progress(2 * STALL_MS - 1), 1))
        longest_ms = STALL_MS << MAX_STALL_DOUBLINGS
        self.assertTrue(is_stalled(progress(longest_ms), 1_000))

    def test_speculative_run_only_where_allowed_and_overdue(self) -> None:
        allowed = progress(0, speculative=True)
        self.assertFalse(needs_speculative_run(allowed, 1_000))
        self.assertTrue(needs_speculative_run(allowed, 1_100))
        self.assertTrue(
            needs_speculative_run(allowed._replace(target_unresponsive=True), 0)
        )
        self.assertFalse(needs_speculative_run(progress(0), 9_000))


if __name__ == "__main__":
    unittest.main()
