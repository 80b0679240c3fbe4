import unittest

from foxspring_model import RunTask, TaskEvent, TaskState

from foxspring_control.service.tests.builders import Site


class SiteTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.site = Site()
        self.addCleanup(self.site.close)


class LifeTest(SiteTestCase):
    def test_a_job_runs_from_submission_to_its_result(self) -> None:
        site = self.site
        site.start()
        site.driver.configure()
        job_id = site.driver.submit()
        site.run(500)
        task = site.driver.task(f"{job_id}/0")
        self.assertIs(task.state, TaskState.STARTING)
        owner = site.driver.owner(task.target_id)
        run = site.take(owner, RunTask)[0]
        self.assertEqual((run.task_id, run.payload), (task.task_id, "reconcile"))
        for kind in ("started", "finished"):
            site.report(owner, TaskEvent(run.task_id, run.epoch, run.target_id, kind))
        self.assertIs(site.driver.task(run.task_id).state, TaskState.FINISHED)
        self.assertEqual(site.query("job", job_id=job_id)["state"], "finished")

    def test_targets_are_spread_evenly_over_entries(self) -> None:
        self.site.start(entries=4, targets=16)
        owners = list(self.site.leader.view.owners().values())
        counts = [owners.count(f"entry-{n}") for n in range(1, 5)]
        self.assertEqual(sum(counts), 16)
        self.assertLessEqual(max(counts) - min(counts), 2, counts)
