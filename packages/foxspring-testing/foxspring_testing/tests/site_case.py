"""A test case with a site of real processes into which tests inject faults."""

import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any

from foxspring_model import JobSpec, Resources

from foxspring_testing._balancer import Balancer
from foxspring_testing._caller_checks import PlannedStop
from foxspring_testing._clients import CallerRecord, CallerRequest
from foxspring_testing._fault_network import FaultNetwork
from foxspring_testing._operator_traffic import SERVICE, TEAMS, soak_configuration
from foxspring_testing._operator_views import (
    owned_targets,
    service_targets,
    wait_job_ended,
)
from foxspring_testing._site import Site
from foxspring_testing._site_checks import (
    SiteRecords,
    check_site,
    logged_violations,
)
from foxspring_testing._site_settings import SiteSize
from foxspring_testing._traffic import Traffic, TrafficSettings
from foxspring_testing._wait import wait_until

RECOVERY_S = 20.0


def job_spec(name: str, work_ms: int = 500, tasks: int = 1, **sizes: int) -> JobSpec:
    size = Resources(slots=1, cores_milli=1_000, memory_mb=1_000)._replace(**sizes)
    payload = (
        f'{{"work_ms": {work_ms}, "checkpoint_every_ms": 100, "result": "{name}"}}'
    )
    return JobSpec(name, TEAMS[0], tasks, size, work_class="study", payload=payload)


class SiteCase(unittest.TestCase):
    """Shares one site among its tests and checks every invariant after each test."""

    size = SiteSize(controls=3, entries=3, targets=4, proxied=True)
    replicas = 4
    site: Site
    balancer: Balancer
    caller_records: list[CallerRecord]
    stops: list[PlannedStop]
    sent: int

    @classmethod
    def setUpClass(cls) -> None:
        folder = cls.enterClassContext(tempfile.TemporaryDirectory())
        cls.site = cls.enterClassContext(Site(Path(folder), cls.size))
        cls.balancer = Balancer(cls.site)
        cls.balancer.start()
        cls.addClassCleanup(cls.balancer.stop)
        cls.caller_records = []
        cls.stops = []
        cls.sent = 0
        cls.site.wait_targets_owned()
        operator = cls.site.operator()
        operator.apply(soak_configuration(replicas=cls.replicas), base=0)
        wait_until(
            lambda: len(service_targets(operator, SERVICE)) >= min(3, cls.replicas),
            "replicas on targets",
        )

    def setUp(self) -> None:
        self.operator = self.site.operator()
        self.caller = self.site.caller()

    def tearDown(self) -> None:
        if self.site.network is not None:
            self.site.network.clear_faults()
        for name, process in self.site.processes.items():
            if process.paused:
                self.site.resume(name)
            self.site.start(name)
        self.site.wait_ready()
        for name in self.site.targets:
            self.site.set_behaviour(name)
        results = check_site(self.site, SiteRecords(self.caller_records, self.stops))
        results += logged_violations(self.site)
        found = [result.line() for result in results if result.violations]
        self.assertEqual([], found)

    @property
    def network(self) -> FaultNetwork:
        network = self.site.network
        assert network is not None
        return network

    def request(self, **fields: Any) -> CallerRequest:
        type(self).sent += 1
        return CallerRequest(SERVICE, f"{type(self).__name__}-{self.sent}", **fields)

    def call(self, entry: str, request: CallerRequest) -> CallerRecord:
        record = self.caller.call(self.site.daemons[entry].http, request)
        self.caller_records.append(record)
        return record

    def traffic(self, **fields: Any) -> Traffic:
        """Start callers behind the load balancer and stop them after the test."""
        settings = TrafficSettings(SERVICE, seed=len(self.caller_records))._replace(
            **fields
        )
        traffic = Traffic(settings, self.caller, self.balancer.ready_entries)
        traffic.start()
        self.addCleanup(traffic.stop)
        return traffic

    def stop_traffic(self, traffic: Traffic) -> list[CallerRecord]:
        """Stop the callers and keep their records for the checks."""
        caller_records = traffic.stop()
        self.caller_records.extend(caller_records)
        return caller_records

    def wait_answered(self, traffic: Traffic, count: int = 20) -> None:
        """Wait until ``count`` further requests are answered."""
        before = len(traffic.records())

        def answered() -> bool:
            new = traffic.records()[before:]
            return sum(record.verdict == "ran" for record in new) >= count

        wait_until(answered, f"{count} answered requests", RECOVERY_S)

    def wait_owned_by_others(self, entry: str) -> None:
        def moved() -> bool:
            owners = owned_targets(self.operator)
            return len(owners) == self.size.targets and entry not in owners.values()

        wait_until(
            moved, f"every target owned by an entry other than {entry}", RECOVERY_S
        )

    def wait_entry_ready(self, entry: str) -> None:
        wait_until(lambda: self.site.entry_ready(entry), f"{entry} ready", RECOVERY_S)

    def wait_job_finished(self, job_id: str) -> Any:
        ended = wait_job_ended(self.operator, job_id, RECOVERY_S)
        self.assertEqual("finished", ended["state"], ended)
        return ended

    def wait_for(self, condition: Callable[[], bool], description: str) -> None:
        wait_until(condition, description, RECOVERY_S)
