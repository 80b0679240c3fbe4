import pathlib
import unittest

from foxspring_jobs._metrics import (
    CALLS,
    COMMIT_SECONDS,
    LEADING,
    METRICS,
    Metrics,
    metrics_page,
)

PAGE = pathlib.Path(__file__).parents[4] / "docs" / "METRICS.md"


class MetricsTest(unittest.TestCase):
    def test_counts_durations_and_gauges_are_exposed(self) -> None:
        metrics = Metrics()
        metrics.count(CALLS, "SubmitCall", "ok")
        metrics.count(CALLS, "SubmitCall", "ok")
        metrics.observe_ms(COMMIT_SECONDS, 15)
        metrics.set(LEADING, 1)
        text = metrics.exposition().decode()
        expected = (
            'foxspring_job_calls_total{call="SubmitCall",outcome="ok"} 2',
            'foxspring_job_commit_seconds_bucket{le="0.02"} 1',
            'foxspring_job_commit_seconds_bucket{le="0.01"} 0',
            "foxspring_job_leading 1",
        )
        for line in expected:
            with self.subTest(line=line):
                self.assertIn(line, text)

    def test_labels_must_match(self) -> None:
        with self.assertRaises(ValueError):
            Metrics().count(CALLS, "SubmitCall")

    def test_page_lists_every_metric(self) -> None:
        self.assertEqual(PAGE.read_text(), metrics_page())
        names = [metric.name for metric in METRICS]
        self.assertEqual(len(names), len(set(names)))


if __name__ == "__main__":
    unittest.main()
