import unittest

from foxspring_jobs._advice import (
    MOST_TARGETS_A_CALL,
    RETRY_MS,
    AdviceBook,
    AdviceCall,
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


class AdviceBookTest(unittest.TestCase):
    def test_one_question_at_a_time_and_not_about_too_many(self) -> None:
        book = AdviceBook()
        call = book.next_call([(PLACE, LIVES), (OTHER, LIVES)], 0)
        self.assertIsNotNone(call)
        if call is not None:
            self.assertEqual(len(call.targets), MOST_TARGETS_A_CALL)
        self.assertIsNone(book.next_call([(OTHER, LIVES)], 0))

    def test_tickets_end_and_are_for_one_life(self) -> None:
        book = AdviceBook()
        call = AdviceCall(*PLACE, tuple(LIVES[:2]))
        book.take(call, ADVISED, [("t0", "a"), ("t9", "b")], 0)
        self.assertEqual(list(book.valid(PLACE, 799)), ["t0"])
        self.assertEqual(book.valid(PLACE, 800), {})
        self.assertEqual(book.ticket(PLACE, LIVES[0]), "a")
        self.assertEqual(book.ticket(PLACE, TargetLife("t0", 2)), "")

    def test_unanswered_question_is_asked_again_later(self) -> None:
        book = AdviceBook()
        call = book.next_call([(PLACE, LIVES)], 0)
        if call is not None:
            book.take(call, ADVISED, None, 0)
        self.assertIsNone(book.next_call([(PLACE, LIVES)], RETRY_MS - 1))
        self.assertIsNotNone(book.next_call([(PLACE, LIVES)], RETRY_MS))


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
        self.assertEqual(len(site.asked), 2)

    def test_nothing_starts_while_nothing_is_allowed(self) -> None:
        site = FakeSite(registered("t1"))
        site.run(1_500)
        site.submit(spec(), queue=ADVISED)
        site.run(1_000)
        self.assertEqual(site.targets["t1.example:80"].started, [])
        self.assertGreater(len(site.asked), 1)


if __name__ == "__main__":
    unittest.main()
