import unittest

from foxspring_jobs._advice import (
    MAX_TARGETS_PER_CALL,
    RETRY_MS,
    AdviceCall,
    AdviceTickets,
)
from foxspring_jobs._commands import TargetLife
from foxspring_jobs._state import JobPhase
from foxspring_jobs.tests.builders import JOB, QUEUE, registered, spec, step
from foxspring_jobs.tests.fake_site import FakeSite

ADVISED = QUEUE._replace(
    advice_delay_ms=30, advice_per_target_ms=1, advice_validity_ms=1_000
)
PLACE = (JOB, 0, 0)
OTHER = (JOB, 0, 1)
LIVES = [TargetLife(f"t{n}", 1) for n in range(40)]


class AdviceTicketsTest(unittest.TestCase):
    def test_one_question_at_a_time_and_not_about_too_many(self) -> None:
        advice = AdviceTickets()
        call = advice.next_call([(PLACE, LIVES), (OTHER, LIVES)], 0)
        self.assertIsNotNone(call)
        if call is not None:
            self.assertEqual(len(call.targets), MAX_TARGETS_PER_CALL)
        self.assertIsNone(advice.next_call([(OTHER, LIVES)], 0))

    def test_tickets_end_and_are_for_one_life(self) -> None:
        advice = AdviceTickets()
        call = AdviceCall(*PLACE, tuple(LIVES[:2]))
        advice.record_answer(call, ADVISED, [("t0", "a"), ("t9", "b")], 0)
        self.assertEqual(list(advice.valid_tickets(PLACE, 799)), ["t0"])
        self.assertEqual(advice.valid_tickets(PLACE, 800), {})
        self.assertEqual(advice.ticket(PLACE, LIVES[0]), "a")
        self.assertEqual(advice.ticket(PLACE, TargetLife("t0", 2)), "")

    def test_unanswered_question_is_asked_again_later(self) -> None:
        advice = AdviceTickets()
        call = advice.next_call([(PLACE, LIVES)], 0)
        if call is not None:
            advice.record_answer(call, ADVISED, None, 0)
        self.assertIsNone(advice.next_call([(PLACE, LIVES)], RETRY_MS - 1))
        self.assertIsNotNone(advice.next_call([(PLACE, LIVES)], RETRY_MS))


class AdvisedQueueTest(unittest.TestCase):
    def test_step_starts_only_where_it_is_allowed(self) -> None:
        site = FakeSite(registered("t1"), registered("t2"))
        site.allowed = {"t2"}
        site.run(1_500)
        site.submit(spec(step(3), step(1, after=(0,))), queue=ADVISED)
        site.run(2_500)
        self.assertIs(site.phase(), JobPhase.COMPLETED)
        self.assertEqual(site.targets["t1.example:80"].started, [])
        tickets = site.targets["t2.example:80"].tickets
        self.assertEqual(tickets, {"ticket-t2"})
        self.assertEqual(len(site.advice_calls), 2)

    def test_nothing_starts_while_nothing_is_allowed(self) -> None:
        site = FakeSite(registered("t1"))
        site.run(1_500)
        site.submit(spec(), queue=ADVISED)
        site.run(1_000)
        self.assertEqual(site.targets["t1.example:80"].started, [])
        self.assertGreater(len(site.advice_calls), 1)


if __name__ == "__main__":
    unittest.main()
