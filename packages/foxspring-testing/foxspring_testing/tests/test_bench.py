import sys
import types
import unittest
from collections.abc import Callable
from typing import Any, NamedTuple

from foxspring_testing.bench import measure, table


class Row(NamedTuple):
    name: str
    bound: float | None
    value: float
    unit: str
    baseline: str


def install(name: str, run_bench: Callable[[], Any]) -> None:
    module = types.ModuleType(name)
    module.__dict__["run_bench"] = run_bench
    sys.modules[name] = module


class BenchTest(unittest.TestCase):
    def test_rows_are_collected_into_one_table(self) -> None:
        install("bench_good", lambda: [Row("p99", 5.0, 2.5, "ms", "7")])
        result = measure("bench_good")
        self.assertEqual("", result.error)
        cells = table([result]).splitlines()[1].split()
        self.assertEqual(["bench_good", "p99", "5", "2.5", "ms", "7"], cells)

    def test_failed_module_reports_its_error(self) -> None:
        def fail() -> None:
            raise RuntimeError("no sync")

        install("bench_failing", fail)
        install("bench_empty", list)
        cases = {
            "bench_failing": "no sync",
            "bench_empty": "no row",
            "bench_missing": "bench_missing",
        }
        for name, reason in cases.items():
            with self.subTest(name):
                self.assertIn(reason, measure(name).error)
