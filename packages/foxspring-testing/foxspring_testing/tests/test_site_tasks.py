"""Batch tasks on a real site during failures of targets and owners."""

from typing import Any

from foxspring_testing._operator_views import get_job, owned_targets
from foxspring_testing._runs import Run, task_runs
from foxspring_testing._site_settings import SiteSize
from foxspring_testing.tests.site_case import SiteCase, job_spec


class SiteTasksTest(SiteCase):
    size = SiteSize(controls=3, entries=2, targets=4, proxied=True)
    replicas = 2

    def submit(self, name: str, **fields: Any) -> str:
        return str(self.operator.submit(job_spec(name, **fields)).body["job_id"])

    def runs(self, job_id: str) -> list[Run]:
        return [
            run
            for run in task_runs(self.site.events())
            if run.start.task_id.startswith(f"{job_id}/")
        ]

    def running_task(self, job_id: str) -> Any:
        def saved() -> bool:
            return bool(get_job(self.operator, job_id)["tasks"][0]["checkpoint"])

        self.wait_for(saved, f"a checkpoint of {job_id}")
        return get_job(self.operator, job_id)["tasks"][0]

    def test_task_of_a_killed_target_resumes_from_its_checkpoint(self) -> None:
        job_id = self.submit("killed", work_ms=4_000)
        task = self.running_task(job_id)
        self.site.kill(task["target_id"])
        ended = self.wait_job_finished(job_id)
        runs = self.runs(job_id)
        self.assertEqual(2, len(runs))
        self.assertGreaterEqual(runs[1].start_work_ms, int(task["checkpoint"]))
        self.assertEqual(("killed", 1), self.result(ended))

    def test_task_of_a_target_paused_past_its_lease_runs_once_at_a_time(self) -> None:
        job_id = self.submit("paused", work_ms=4_000)
        target = self.running_task(job_id)["target_id"]
        self.site.pause(target)
        self.wait_job_finished(job_id)
        self.site.resume(target)
        self.assertEqual(2, len(self.runs(job_id)))

    def test_task_continues_when_its_owner_is_killed(self) -> None:
        job_id = self.submit("owner", work_ms=6_000)
        target = self.running_task(job_id)["target_id"]
        owner = owned_targets(self.operator)[target]
        self.site.kill(owner)
        ended = self.wait_job_finished(job_id)
        self.assertEqual("owner", ended["tasks"][0]["result"])
        runs = self.runs(job_id)
        repeated = sum(r.end_work_ms - r.start_work_ms for r in runs) - 6_000
        self.assertLess(repeated, 1_000, runs)

    def test_target_that_fails_every_task_does_not_fail_the_jobs(self) -> None:
        self.site.set_behaviour("target-1", fail_tasks=True)
        names = [self.submit(f"failing-{n}", tasks=4, work_ms=300) for n in range(4)]
        for job_id in names:
            self.wait_job_finished(job_id)

    def test_cancelled_job_stops_and_a_repeated_cancel_succeeds(self) -> None:
        job_id = self.submit("cancelled", work_ms=60_000)
        self.running_task(job_id)
        first = self.operator.cancel([job_id]).body
        self.assertEqual([job_id], first["cancelled"])
        self.wait_for(
            lambda: all(run.end_state for run in self.runs(job_id)),
            "the end of its run",
        )
        self.wait_for(
            lambda: get_job(self.operator, job_id)["state"] == "cancelled",
            f"{job_id} cancelled",
        )
        again = self.operator.cancel([job_id]).body
        self.assertEqual([job_id], again["already_ended"])

    def test_job_that_can_never_run_reports_the_reason(self) -> None:
        answer = self.operator.submit(job_spec("huge", memory_mb=900_000))
        if answer.body.get("status") == "rejected":
            self.assertIn("memory_mb", answer.body["reason"])
            return
        job_id = answer.body["job_id"]

        def reasons() -> str:
            view = get_job(self.operator, job_id)
            return " ".join([*view["waits_for"], view["tasks"][0]["reason"]])

        self.wait_for(lambda: "memory_mb" in reasons(), "the reason of the huge job")

    @staticmethod
    def result(ended: Any) -> tuple[str, int]:
        task = ended["tasks"][0]
        return task["result"], task["resumed"]
