import unittest

from foxspring_model import (
    ApplyConfiguration,
    CancelJobs,
    RecordTaskEvents,
    SubmitJob,
    TaskState,
)

from foxspring_control.state.tests.builders import (
    CONFIGURATION,
    SERVICE,
    StateDriver,
    event,
    job_spec,
)


class StateTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.driver = StateDriver()
        self.addCleanup(self.driver.close)


class ConfigurationTest(StateTestCase):
    def test_the_second_change_on_one_base_gets_a_conflict_with_the_winner(
        self,
    ) -> None:
        first = ApplyConfiguration("17", "eleni", 0, CONFIGURATION)
        second = ApplyConfiguration("17", "radu", 0, CONFIGURATION + "# radu\n")
        self.assertEqual(self.driver.apply(first)["revision"], 1)
        answer = self.driver.apply(second)
        self.assertEqual(answer["status"], "conflict")
        self.assertEqual((answer["revision"], answer["won_by"]), (1, "eleni"))

    def test_a_resent_change_gets_its_first_answer_after_restart(self) -> None:
        change = ApplyConfiguration("c1", "eleni", 0, CONFIGURATION)
        first = self.driver.apply(change)
        self.driver.configure(CONFIGURATION + "# later\n")
        self.driver.reopen()
        self.assertEqual(self.driver.apply(change), first)
        self.assertEqual(self.driver.revision(), 2)

    def test_replicas_follow_the_configuration(self) -> None:
        self.driver.fleet()
        self.driver.configure(CONFIGURATION + SERVICE.format(replicas=2))
        task = self.driver.place("service/register/1")
        self.driver.report(task, "started")
        self.driver.configure(CONFIGURATION + SERVICE.format(replicas=1))
        stopping = self.driver.task("service/register/1")
        self.assertIs(stopping.state, TaskState.STOPPING)
        self.driver.apply(RecordTaskEvents((event(stopping, "stopped"),), "entry-2"))
        with self.driver.state.reading() as tables:
            left = [record.task.task_id for record in tables.tasks.replicas()]
        self.assertEqual(left, ["service/register/0"])


class JobTest(StateTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.driver.configure()
        self.driver.fleet()

    def test_a_task_runs_to_its_result(self) -> None:
        job_id = self.driver.submit()
        task = self.driver.place(f"{job_id}/0")
        self.assertIs(task.state, TaskState.STARTING)
        self.assertIs(self.driver.report(task, "started").state, TaskState.RUNNING)
        ended = self.driver.report(task, "finished", result="42")
        self.assertEqual((ended.state, ended.result), (TaskState.FINISHED, "42"))
        answer = self.driver.apply(CancelJobs("x", "eleni", (job_id,)))
        self.assertEqual(answer["already_ended"], [job_id])

    def test_a_job_that_can_never_run_is_rejected_with_the_reason(self) -> None:
        huge = job_spec()
        huge = huge._replace(resources=huge.resources._replace(accelerators=9))
        for spec, words in (
            (job_spec(team="nobody"), "known teams: moulds, pipes"),
            (huge, "accelerators=9"),
            (job_spec(tasks=0), "1..10000"),
        ):
            with self.subTest(words):
                answer = self.driver.apply(SubmitJob(words, "eleni", spec))
                self.assertEqual(answer["status"], "rejected")
                self.assertIn(words, answer["reason"])
