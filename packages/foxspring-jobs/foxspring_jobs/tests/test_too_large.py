"""Sizes of short tasks that a plan need not consider."""

import unittest

from foxspring_model import Resources

from foxspring_jobs._too_large import TooLargeSizes
from foxspring_jobs.tests.builders import QUEUE, step


class TooLargeSizesTest(unittest.TestCase):
    def size(self, cores: int, memory: int = 100) -> Resources:
        return Resources(cores_milli=cores, memory_mb=memory)

    def test_size_that_exceeds_a_rejected_one_is_too_large(self) -> None:
        sizes = TooLargeSizes()
        sizes.add(QUEUE, step(1, resources=self.size(2_000)))
        for cores, memory, expected in (
            (1_999, 100, False),
            (2_000, 99, False),
            (2_000, 100, True),
            (3_000, 200, True),
        ):
            larger = step(1, resources=self.size(cores, memory))
            self.assertEqual(sizes.includes(QUEUE, larger), expected)

    def test_only_short_tasks_of_the_same_service_are_compared(self) -> None:
        sizes = TooLargeSizes()
        sizes.add(QUEUE, step(1, long_running=True))
        sizes.add(QUEUE, step(1, best_effort=True))
        sizes.add(QUEUE, step(1, required_label="gpu"))
        sizes.add(QUEUE._replace(advice_delay_ms=10), step(1))
        self.assertFalse(sizes.includes(QUEUE, step(1)))
        sizes.add(QUEUE, step(1))
        self.assertTrue(sizes.includes(QUEUE, step(1, required_label="gpu")))
        self.assertFalse(sizes.includes(QUEUE._replace(service="other"), step(1)))
        self.assertFalse(sizes.includes(QUEUE, step(1, long_running=True)))


if __name__ == "__main__":
    unittest.main()
