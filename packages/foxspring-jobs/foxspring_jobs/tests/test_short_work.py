"""Capacity is kept for short tasks only while they are expected."""

import unittest

from foxspring_jobs._short_work import MEMORY_MS, ShortWork
from foxspring_jobs.tests.builders import spec, step


class ShortWorkTest(unittest.TestCase):
    def test_short_work_is_expected_for_a_while_after_the_latest_arrival(self) -> None:
        work = ShortWork(1_000)
        work.note_arrival(spec(step()), 5_000)
        self.assertTrue(work.is_expected(5_000 + MEMORY_MS - 1))
        self.assertFalse(work.is_expected(5_000 + MEMORY_MS))

    def test_new_leader_expects_short_work(self) -> None:
        self.assertTrue(ShortWork(1_000).is_expected(1_000))

    def test_other_work_does_not_count(self) -> None:
        work = ShortWork(0)
        for other in (step(long_running=True), step(best_effort=True)):
            work.note_arrival(spec(other), 5_000)
        self.assertFalse(work.is_expected(MEMORY_MS))


if __name__ == "__main__":
    unittest.main()
