"""Metrics in the text format that a scraper reads."""

import unittest

from aioprometheus.renderer import render
from foxspring_entry import EntryStatus
from foxspring_link import LinkCounters

from foxspring_daemon._metrics_routes import entry_registry, member_registry

_STATUS = EntryStatus(
    entry_id="entry-1",
    incarnation=1,
    ready=True,
    draining=False,
    lease_valid=True,
    leader_id="control-1",
    revision=7,
    ownership_version=3,
    targets=(),
    in_flight=2,
    queued=1,
    pending=3,
    events_pending=0,
    retries=4,
    late_answers=0,
    outcomes=(("ran", "", 6), ("not_run", "overloaded", 2)),
    latency_buckets=((10, 5), (100, 2), (0, 1)),
    latency_sum_ms=2_500,
)


class MetricsTest(unittest.TestCase):
    def test_entry_metrics(self) -> None:
        registry = entry_registry(_STATUS, LinkCounters(100, 200, 0, 1))
        lines = render(registry, [])[0].decode().splitlines()
        for expected in (
            "foxspring_configuration_revision 7.0",
            "foxspring_link_bytes_sent_total 100.0",
            'foxspring_requests_total{reason="overloaded",verdict="not_run"} 2',
            'foxspring_request_seconds_bucket{le="0.01"} 5',
            'foxspring_request_seconds_bucket{le="0.1"} 7',
            'foxspring_request_seconds_bucket{le="+Inf"} 8',
            "foxspring_request_seconds_count 8",
            "foxspring_request_seconds_sum 2.5",
            "# TYPE foxspring_link_bytes_sent_total counter",
        ):
            with self.subTest(expected):
                found = [line for line in lines if line.startswith(expected)]
                self.assertTrue(found, lines)

    def test_member_metrics(self) -> None:
        text = render(member_registry({"term": 3, "syncs_total": 9}), [])[0].decode()
        self.assertIn("foxspring_control_term 3.0", text)
        self.assertIn("# TYPE foxspring_control_syncs_total counter", text)
