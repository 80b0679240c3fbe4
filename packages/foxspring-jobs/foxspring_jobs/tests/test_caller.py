import threading
import unittest
from collections.abc import Callable
from typing import Any

from foxspring_link import PausedClock

from foxspring_jobs._caller import CallerSettings, ControlCaller
from foxspring_jobs._metrics import Metrics
from foxspring_jobs._operations import (
    Answer,
    Call,
    NotLeading,
    Outcome,
    PingLeader,
    ReadCall,
    Reply,
    SubmitCall,
)
from foxspring_jobs.tests.builders import spec

SUBMIT = SubmitCall("jobs.example", "/checks/1", spec())
READ = ReadCall("jobs.example", "/checks/1")
SETTINGS = CallerSettings(attempt_timeout_ms=20, retry_pause_ms=1)
Member = Callable[[Call], Reply | NotLeading | None]


def silent(_call: Call) -> None:
    return None


def says(outcome: Outcome, leader: str = "b") -> Member:
    return lambda call: Reply(call.call_id, Answer(outcome), leader, ("a", "b"))


def points_to(leader: str) -> Member:
    return lambda call: NotLeading(call.call_id, leader, ("a", "b"))


class ControlCallerTest(unittest.TestCase):
    """Members answer as told; the clock moves by the attempts' own length."""

    def setUp(self) -> None:
        self.clock = PausedClock()
        self.members: dict[str, list[Member]] = {}
        self.sent: list[str] = []

    def caller(self, **members: list[Member]) -> ControlCaller:
        self.members = members
        caller = ControlCaller(
            "e", ("a", "b"), self.send, self.clock, Metrics(), SETTINGS
        )
        self.asked = caller
        return caller

    def send(self, address: str, message: Any) -> None:
        self.sent.append(address)
        self.clock.advance(100)
        behaviours = self.members.get(address, [])
        behaviour = behaviours.pop(0) if len(behaviours) > 1 else behaviours[0]
        answer = behaviour(message)
        if answer is not None:
            threading.Thread(target=self.asked.receive, args=(answer,)).start()

    def test_hint_leads_to_the_leader(self) -> None:
        caller = self.caller(a=[points_to("b")], b=[says(Outcome.OK)])
        self.assertEqual(caller.call(READ, 1_000).outcome, Outcome.OK)
        self.assertEqual(self.sent, ["a", "b"])
        caller.call(READ, 1_000)
        self.assertEqual(self.sent[-1], "b")

    def test_silent_leader_is_left_for_another_member(self) -> None:
        caller = self.caller(a=[silent], b=[says(Outcome.OK)])
        self.assertEqual(caller.call(READ, 1_000).outcome, Outcome.OK)

    def test_only_what_was_surely_not_done_is_called_unavailable(self) -> None:
        declines = points_to("")
        cases: tuple[tuple[list[Member], list[Member], Outcome], ...] = (
            ([declines], [declines], Outcome.UNAVAILABLE),
            ([silent], [declines], Outcome.UNKNOWN),
            ([silent, declines], [declines], Outcome.UNKNOWN),
            ([says(Outcome.UNKNOWN), declines], [declines], Outcome.UNKNOWN),
            ([silent], [says(Outcome.UNAVAILABLE)], Outcome.UNKNOWN),
            ([silent], [says(Outcome.NO_QUEUE)], Outcome.UNKNOWN),
            ([declines], [says(Outcome.UNAVAILABLE)], Outcome.UNAVAILABLE),
        )
        for first, second, expected in cases:
            with self.subTest(expected=expected, first=first):
                caller = self.caller(a=list(first), b=list(second))
                self.assertEqual(caller.call(SUBMIT, 1_000).outcome, expected)

    def test_before_the_first_answer_silence_counts_from_the_start(self) -> None:
        self.clock.advance(100_000_000)
        caller = self.caller(a=[silent], b=[silent])
        self.assertFalse(caller.is_ready())
        self.clock.advance(SETTINGS.leader_lost_ms)
        with self.assertLogs("foxspring_jobs", "WARNING") as logs:
            caller.call(SUBMIT, 1_000)
        self.assertIn(f"silent_ms={SETTINGS.leader_lost_ms}", logs.output[0])
        self.assertEqual(self.sent, [])

    def test_lost_control_is_told_at_once_and_found_again_by_pings(self) -> None:
        caller = self.caller(a=[says(Outcome.OK, "a")], b=[says(Outcome.OK)])
        self.clock.advance(SETTINGS.leader_lost_ms)
        self.assertEqual(caller.call(SUBMIT, 1_000).outcome, Outcome.UNAVAILABLE)
        self.assertEqual(self.sent, [])
        caller.call(PingLeader(), 500)
        self.assertEqual(caller.call(SUBMIT, 1_000).outcome, Outcome.OK)


if __name__ == "__main__":
    unittest.main()
