import threading
import unittest
from collections.abc import Callable
from typing import Any

from foxspring_link import ManualClock

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
WAIT_S = 10.0
SETTINGS = CallerSettings(attempt_timeout_ms=20, retry_pause_ms=1)
Member = Callable[[Call], Reply | NotLeading | None]


def no_reply(_call: Call) -> None:
    return None


def replies_with(outcome: Outcome, leader: str = "b") -> Member:
    return lambda call: Reply(call.call_id, Answer(outcome), leader, ("a", "b"))


def redirects_to(leader: str) -> Member:
    return lambda call: NotLeading(call.call_id, leader, ("a", "b"))


class ControlCallerTest(unittest.TestCase):
    """Members reply as scripted; each sent call advances the clock by 100 ms."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.members: dict[str, list[Member]] = {}
        self.sent: list[str] = []

    def caller(self, **members: list[Member]) -> ControlCaller:
        self.members = members
        caller = ControlCaller(
            "e", ("a", "b"), self.send, self.clock, Metrics(), SETTINGS
        )
        self.current_caller = caller
        return caller

    def send(self, address: str, message: Any) -> None:
        self.sent.append(address)
        self.clock.advance(100)
        behaviours = self.members.get(address, [])
        behaviour = behaviours.pop(0) if len(behaviours) > 1 else behaviours[0]
        answer = behaviour(message)
        if answer is not None:
            threading.Thread(target=self.current_caller.receive, args=(answer,)).start()

    def test_hint_is_followed_to_the_leader(self) -> None:
        caller = self.caller(a=[redirects_to("b")], b=[replies_with(Outcome.OK)])
        self.assertEqual(caller.call(READ, 1_000).outcome, Outcome.OK)
        self.assertEqual(self.sent, ["a", "b"])
        caller.call(READ, 1_000)
        self.assertEqual(self.sent[-1], "b")

    def test_unresponsive_member_is_replaced_by_another(self) -> None:
        caller = self.caller(a=[no_reply], b=[replies_with(Outcome.OK)])
        self.assertEqual(caller.call(READ, 1_000).outcome, Outcome.OK)

    def test_unavailable_only_if_the_call_cannot_have_run(self) -> None:
        declines = redirects_to("")
        cases: tuple[tuple[list[Member], list[Member], Outcome], ...] = (
            ([declines], [declines], Outcome.UNAVAILABLE),
            ([no_reply], [declines], Outcome.UNKNOWN),
            ([no_reply, declines], [declines], Outcome.UNKNOWN),
            ([replies_with(Outcome.UNKNOWN), declines], [declines], Outcome.UNKNOWN),
            ([no_reply], [replies_with(Outcome.UNAVAILABLE)], Outcome.UNKNOWN),
            ([no_reply], [replies_with(Outcome.NO_QUEUE)], Outcome.UNKNOWN),
            ([declines], [replies_with(Outcome.UNAVAILABLE)], Outcome.UNAVAILABLE),
        )
        for first, second, expected in cases:
            with self.subTest(expected=expected, first=first):
                caller = self.caller(a=list(first), b=list(second))
                self.assertEqual(caller.call(SUBMIT, 1_000).outcome, expected)

    def test_before_the_first_answer_leader_loss_counts_from_the_start(self) -> None:
        self.clock.advance(100_000_000)
        caller = self.caller(a=[no_reply], b=[no_reply])
        self.assertFalse(caller.is_ready())
        self.clock.advance(SETTINGS.leader_lost_ms)
        with self.assertLogs("foxspring_jobs", "WARNING") as logs:
            caller.call(SUBMIT, 1_000)
        self.assertIn(f"silent_ms={SETTINGS.leader_lost_ms}", logs.output[0])
        self.assertEqual(self.sent, [])

    def test_calls_fail_fast_until_a_ping_finds_the_leader(self) -> None:
        caller = self.caller(
            a=[replies_with(Outcome.OK, "a")], b=[replies_with(Outcome.OK)]
        )
        self.clock.advance(SETTINGS.leader_lost_ms)
        self.assertEqual(caller.call(SUBMIT, 1_000).outcome, Outcome.UNAVAILABLE)
        self.assertEqual(self.sent, [])
        caller.call(PingLeader(), 500)
        self.assertEqual(caller.call(SUBMIT, 1_000).outcome, Outcome.OK)

    # Issue 52: nothing showed whether a daemon without a leader still looked for one.
    def test_search_for_a_leader_is_logged_at_intervals(self) -> None:
        caller = self.caller(a=[redirects_to("")], b=[no_reply])
        lines: list[str] = []
        with self.assertLogs("foxspring_jobs", "WARNING") as logs:
            for _ in range(40):
                caller.ping()
            lines = [line for line in logs.output if "event=leader_search" in line]
        self.assertIn("known=2 hint=-", lines[0])
        self.assertRegex(lines[0], r"declined=[1-9]\d* unanswered=[1-9]")
        elapsed_ms = self.clock.monotonic_ms() - caller.last_answer_ms
        interval_ms = SETTINGS.search_log_interval_ms
        self.assertLessEqual(len(lines), elapsed_ms // interval_ms)

    # Issue 52: a daemon started without seeds refused every call for good, also after
    # its settings named some.
    def test_daemon_without_seeds_finds_the_leader_once_it_gets_some(self) -> None:
        caller = self.caller(a=[redirects_to("b")], b=[replies_with(Outcome.OK)])
        caller.seeds = caller.members = ()
        caller.ping()
        self.assertEqual(caller.call(SUBMIT, 1_000).outcome, Outcome.UNAVAILABLE)
        self.assertEqual(self.sent, [])
        caller.seeds = ("a",)
        caller.ping()
        self.assertEqual(caller.call(SUBMIT, 1_000).outcome, Outcome.OK)

    # Found beside issue 55: each ping skipped a member after its deadline, with three
    # members always the same one.
    def test_each_member_is_asked_while_the_others_are_silent(self) -> None:
        for skipped in ("a", "b", "c"):
            with self.subTest(leader=skipped):
                members: dict[str, list[Member]] = {m: [no_reply] for m in "abc"}
                members[skipped] = [replies_with(Outcome.OK, skipped)]
                caller = self.caller(**members)
                caller.seeds = caller.members = ("a", "b", "c")
                for _ in range(6):
                    caller.call(PingLeader(), 200)
                self.assertEqual(caller.leader, skipped)

    # Issue 55: refused calls, hundreds a second, drove all else out of the record.
    def test_refused_calls_do_not_drive_out_other_lines(self) -> None:
        caller = self.caller(a=[replies_with(Outcome.OK)], b=[replies_with(Outcome.OK)])
        self.clock.advance(SETTINGS.leader_lost_ms)
        with self.assertLogs("foxspring_jobs", "INFO") as logs:
            for _ in range(600):
                caller.call(SUBMIT, 1_000)
                self.clock.advance(10)
                caller.call(READ, 1_000)
            caller.ping()
        refused = [line for line in logs.output if "event=call_refused" in line]
        self.assertEqual(len(refused), 2)
        self.assertIn("kind=SubmitCall path=/checks/1", refused[0])
        self.assertIn("calls=SubmitCall:1", refused[0])
        self.assertIn("calls=ReadCall:500,SubmitCall:499", refused[1])
        self.assertIn("refused=ReadCall:100,SubmitCall:100", logs.output[-1])
        text = caller.metrics.exposition().decode()
        total = 'job_calls_total{call="SubmitCall",outcome="unavailable"} 600'
        self.assertIn(total, text)

    # Issue 55: a daemon logged nothing of calls that a leader refused for good.
    def test_calls_that_the_leader_refuses_are_logged_with_its_reason(self) -> None:
        refusal = Answer(Outcome.UNAVAILABLE, "ValueError: 'odd' state")
        caller = self.caller(
            a=[lambda call: Reply(call.call_id, refusal, "a", ("a", "b"))], b=[no_reply]
        )
        with self.assertLogs("foxspring_jobs", "WARNING") as logs:
            for _ in range(60):
                caller.call(SUBMIT, 1_000)
        refused = [line for line in logs.output if "event=call_unserved" in line]
        self.assertEqual(len(refused), 2)
        self.assertIn("leader=a reason='ValueError: `odd` state'", refused[0])
        self.assertIn("calls=SubmitCall:50", refused[1])

    # Issue 55: so did calls that found no leader before their deadline.
    def test_calls_given_up_do_not_drive_out_other_lines(self) -> None:
        caller = self.caller(a=[redirects_to("")], b=[redirects_to("")])
        caller.settings = SETTINGS._replace(leader_lost_ms=1_000_000)
        with self.assertLogs("foxspring_jobs", "WARNING") as logs:
            for _ in range(60):
                caller.call(READ, 100)
        given_up = [line for line in logs.output if "event=call_given_up" in line]
        self.assertEqual(len(given_up), 2)
        self.assertIn("calls=ReadCall:1", given_up[0])
        self.assertIn("calls=ReadCall:50", given_up[1])

    # Issue 52: one exception of the search for a leader ended it for good.
    def test_search_goes_on_after_an_exception(self) -> None:
        failures = [RuntimeError("can't start new thread")]
        answered = threading.Event()

        def send(address: str, message: Any) -> None:
            if failures:
                raise failures.pop()
            self.send(address, message)
            answered.set()

        caller = self.caller(a=[replies_with(Outcome.OK)], b=[no_reply])
        caller.send = send
        caller.settings = SETTINGS._replace(ping_interval_ms=10)
        with self.assertLogs("foxspring_link", "ERROR"):
            caller.start()
            self.addCleanup(caller.close)
            self.assertTrue(answered.wait(WAIT_S))


if __name__ == "__main__":
    unittest.main()
