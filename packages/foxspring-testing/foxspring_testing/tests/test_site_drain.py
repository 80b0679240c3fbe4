"""Planned stops of entries and leaving targets under load on a real site."""

import time

from foxspring_testing._operator_traffic import SERVICE
from foxspring_testing._operator_views import service_targets
from foxspring_testing._schedule import FaultKind, Step
from foxspring_testing._schedule_runner import ScheduleRunner
from foxspring_testing._target_checks import LEAVING_GRACE_MS
from foxspring_testing.tests.site_case import SiteCase, job_spec


class SiteDrainTest(SiteCase):
    def test_rolling_restart_of_every_entry_cuts_off_no_request(self) -> None:
        steps = [
            Step(0.0, FaultKind.PLANNED_RESTART, name, 0.0)
            for name in self.site.names("entry")
        ]
        runner = ScheduleRunner(self.site, [])
        traffic = self.traffic(threads=8, work_ms=100)
        self.wait_answered(traffic)
        for step in steps:
            runner.steps = (step,)
            runner.run()
            self.wait_entry_ready(step.name)
            self.wait_answered(traffic)
        caller_records = self.stop_traffic(traffic)
        self.stops.extend(runner.stops)
        self.assertEqual([], runner.failed_stops)
        self.assertEqual(len(steps), len(runner.stops))
        cut = [r for r in caller_records if r.verdict in ("lost", "may_have_run")]
        self.assertEqual(
            [], cut, [r for r in caller_records if r.nonce in {c.nonce for c in cut}]
        )

    def test_leaving_target_gets_nothing_after_the_grace_period(self) -> None:
        target = service_targets(self.operator, SERVICE)[0]
        traffic = self.traffic()
        self.wait_answered(traffic)
        self.site.set_behaviour(target, leaving=True)
        job_id = self.operator.submit(job_spec("leaving", tasks=8)).body["job_id"]
        time.sleep(LEAVING_GRACE_MS / 1_000)
        self.wait_answered(traffic, 60)
        self.stop_traffic(traffic)
        late = self.operator.submit(job_spec("after-leaving", tasks=8)).body["job_id"]
        for name in (job_id, late):
            self.wait_job_finished(name)
