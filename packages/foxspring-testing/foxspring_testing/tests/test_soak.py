"""The soak test's schedule, and a short soak test with a fixed seed."""

import tempfile
import unittest
from pathlib import Path

from foxspring_testing._schedule import FaultKind, make_schedule, parse_schedule
from foxspring_testing._soak import SHORT_SIZE, run_soak
from foxspring_testing.soak import process_names

SEED = 7
SECONDS = 12.0


class ScheduleTest(unittest.TestCase):
    def test_same_seed_gives_the_same_schedule(self) -> None:
        names = process_names(SHORT_SIZE)
        steps = make_schedule(SEED, 600, names)
        self.assertEqual(steps, make_schedule(SEED, 600, names))
        self.assertNotEqual(steps, make_schedule(SEED + 1, 600, names))
        self.assertEqual(set(FaultKind), {step.kind for step in steps})

    def test_written_schedule_is_read_back(self) -> None:
        steps = make_schedule(SEED, 60, process_names(SHORT_SIZE))
        text = "\n".join(step.line() for step in steps)
        self.assertEqual(steps, parse_schedule(text))
        with self.assertRaises(ValueError):
            parse_schedule("1.0 sleep entry-1 2.0")


class ShortSoakTest(unittest.TestCase):
    def test_short_soak_finds_no_violation(self) -> None:
        steps = make_schedule(SEED, SECONDS, process_names(SHORT_SIZE))
        with tempfile.TemporaryDirectory() as folder:
            result = run_soak(Path(folder), SHORT_SIZE, steps, SEED)
        lines = [check.line() for check in result.checks if check.violations]
        self.assertEqual([], [*lines, *result.faults])
        self.assertGreater(result.verdicts.get("ran", 0), 0)
        self.assertGreater(result.jobs.get("finished", 0), 0)
