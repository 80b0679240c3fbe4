import unittest

from foxspring_jobs._advice import (
    MAX_TARGETS_PER_CALL,
    RETRY_MS,
    AdviceCall,
    AdviceTickets,
)
from foxspring_jobs._commands import TargetIncarnation
from foxspring_jobs._state import JobPhase
from foxspring_jobs.tests.builders import JOB, QUEUE, registered, spec, step
from foxspring_jobs.tests.fake_cluster import FakeCluster

ADVISED = QUEUE._replace(
    advice_delay_ms=30, advice_per_target_ms=1, advice_validity_ms=1_000
)
STEP_KEY = (JOB, 0, 0)
OTHER_STEP_KEY = (JOB, 0, 1)
TARGETS = [TargetIncarnation(f"t{n}", 1) for n in range(40)]


class AdviceTicketsTest(unittest.TestCase):
    def test_one_call_at_a_time_with_a_bounded_number_of_targets(self) -> None:
        advice = AdviceTickets()
        call = advice.next_call([(STEP_KEY, TARGETS), (OTHER_STEP_KEY, TARGETS)], 0)
        self.assertIsNotNone(call)
        if call is not None:
            self.assertEqual(len(call.targets), MAX_TARGETS_PER_CALL)
        self.assertIsNone(advice.next_call([(OTHER_STEP_KEY, TARGETS)], 0))

    def test_tickets_expire_and_are_for_one_incarnation(self) -> None:
        advice = AdviceTickets()
        call = AdviceCall(*STEP_KEY, tuple(TARGETS[:2]))
        advice.record_answer(call, ADVISED, [("t0", "a"), ("t9", "b")], 0)
        self.assertEqual(list(advice.valid_tickets(STEP_KEY, 799)), ["t0"])
        self.assertEqual(advice.valid_tickets(STEP_KEY, 800), {})
        self.assertEqual(advice.ticket(STEP_KEY, TARGETS[0]), "a")
        self.assertEqual(advice.ticket(STEP_KEY, TargetIncarnation("t0", 2)), "")

    def test_unanswered_call_is_retried_later(self) -> None:
        advice = AdviceTickets()
        call = advice.next_call([(STEP_KEY, TARGETS)], 0)
        if call is not None:
            advice.record_answer(call, ADVISED, None, 0)
        self.assertIsNone(advice.next_call([(STEP_KEY, TARGETS)], RETRY_MS - 1))
        self.assertIsNotNone(advice.next_call([(STEP_KEY, TARGETS)], RETRY_MS))


class AdvisedQueueTest(unittest.TestCase):
    def test_step_starts_only_where_it_is_allowed(self) -> None:
        cluster = FakeCluster(registered("t1"), registered("t2"))
        cluster.allowed = {"t2"}
        cluster.run(1_500)
        cluster.submit(spec(step(3), step(1, after=(0,))), queue=ADVISED)
        cluster.run(2_500)
        self.assertIs(cluster.phase(), JobPhase.COMPLETED)
        self.assertEqual(cluster.targets["t1.example:80"].started, [])
        tickets = cluster.targets["t2.example:80"].tickets
        self.assertEqual(tickets, {"ticket-t2"})
        self.assertEqual(len(cluster.advice_calls), 2)

    def test_nothing_starts_while_nothing_is_allowed(self) -> None:
        cluster = FakeCluster(registered("t1"))
        cluster.run(1_500)
        cluster.submit(spec(), queue=ADVISED)
        cluster.run(1_000)
        self.assertEqual(cluster.targets["t1.example:80"].started, [])
        self.assertGreater(len(cluster.advice_calls), 1)

    def test_step_that_no_target_of_the_first_call_may_run_asks_about_others(
        self,
    ) -> None:
        names = [f"t{number:02}" for number in range(MAX_TARGETS_PER_CALL + 1)]
        cluster = FakeCluster(*(registered(name) for name in names))
        cluster.allowed = {names[-1]}
        cluster.run(1_500)
        cluster.submit(spec(), queue=ADVISED)
        cluster.run(20_000)
        asked = {t.target_id for call in cluster.advice_calls for t in call.targets}
        self.assertEqual(asked, set(names))
        self.assertIs(cluster.phase(), JobPhase.COMPLETED)


if __name__ == "__main__":
    unittest.main()
