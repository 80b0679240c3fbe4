"""Each invariant check passes valid records and detects violations."""

import unittest
from collections.abc import Callable

from foxspring_model import Resources

from foxspring_testing._caller_checks import (
    Outage,
    PlannedStop,
    check_at_most_once,
    check_not_run,
    check_planned_stops,
    check_requests_answered,
    check_whole_answers,
)
from foxspring_testing._change_checks import (
    AuditedChange,
    ObservedRevision,
    SubmittedChange,
    check_revisions,
)
from foxspring_testing._check_result import CheckResult
from foxspring_testing._events import RunEvent
from foxspring_testing._job_checks import check_jobs, describe_unfinished
from foxspring_testing._operator_traffic import SubmittedJob
from foxspring_testing._target_checks import (
    check_capacity,
    check_leaving,
    check_one_place,
    check_resume_once,
)
from foxspring_testing.tests.builders import (
    caller_record,
    job_view,
    request_event,
    task_event,
)

CAPACITIES = {"t1": Resources(2, 2, 1_000, 250), "t2": Resources(2, 2, 1_000, 250)}
STARTED = request_event("request_started", 110)
ENDED = request_event("request_ended", 150)


def evicted_and_resumed(
    resumed_ms: int = 300, resumed_from_ms: int = 80, epoch: int = 2
) -> list[RunEvent]:
    return [
        task_event("task_started", 100),
        task_event("task_ended", 200, work_ms=100, checkpoint_ms=80, detail="stopped"),
        task_event(
            "task_started", resumed_ms, "t2", epoch=epoch, work_ms=resumed_from_ms
        ),
        task_event("task_ended", 400, "t2", epoch=epoch, detail="finished"),
    ]


def three_concurrent_requests() -> list[RunEvent]:
    return [request_event("request_started", 100, f"n{n}", n) for n in (1, 2, 3)]


class TargetChecksTest(unittest.TestCase):
    def assert_catches(
        self,
        check: Callable[[list[RunEvent]], CheckResult],
        good: list[RunEvent],
        broken: dict[str, list[RunEvent]],
    ) -> None:
        result = check(good)
        self.assertEqual((), result.violations)
        self.assertGreater(result.checked, 0)
        for name, events in broken.items():
            with self.subTest(name):
                self.assertEqual(1, len(check(events).violations))

    def test_capacity(self) -> None:
        large = task_event("task_started", 120, run=2, memory_mb=200)
        many = request_event("request_started", 100, open_connections=3)
        self.assert_catches(
            lambda events: check_capacity(events, CAPACITIES),
            [STARTED, ENDED, *evicted_and_resumed()],
            {
                "slots": three_concurrent_requests(),
                "memory": [task_event("task_started", 100), large],
                "connections": [many],
            },
        )

    def test_one_place(self) -> None:
        still_running = [evicted_and_resumed()[0], *evicted_and_resumed()[2:]]
        self.assert_catches(
            check_one_place,
            evicted_and_resumed(),
            {
                "before the first run ended": evicted_and_resumed(resumed_ms=150),
                "first run never ended": still_running,
            },
        )

    def test_resume_once(self) -> None:
        self.assert_catches(
            check_resume_once,
            evicted_and_resumed(),
            {
                "lost work": evicted_and_resumed(resumed_from_ms=0),
                "same epoch twice": evicted_and_resumed(epoch=1),
            },
        )

    def test_leaving(self) -> None:
        leaving = RunEvent(100, "leaving", "t1", 1)
        self.assert_catches(
            check_leaving,
            [leaving, request_event("request_started", 5_000)],
            {
                "request": [leaving, request_event("request_started", 5_200)],
                "task": [leaving, task_event("task_started", 5_200)],
            },
        )


class CallerChecksTest(unittest.TestCase):
    def test_whole_answers(self) -> None:
        good = check_whole_answers([caller_record()], [STARTED])
        self.assertEqual((1, ()), (good.checked, good.violations))
        broken = {
            "another's answer": caller_record(answer_nonce="n2"),
            "half an answer": caller_record(requested_bytes=100, answer_bytes=50),
            "never ran": caller_record(target_id="t2"),
        }
        for name, record in broken.items():
            with self.subTest(name):
                found = check_whole_answers([record], [STARTED]).violations
                self.assertEqual(1, len(found))

    def test_not_run(self) -> None:
        refused = [caller_record(verdict="not_run")]
        self.assertEqual((), check_not_run(refused, []).violations)
        self.assertEqual(1, len(check_not_run(refused, [STARTED]).violations))
        resent = [*refused, caller_record(verdict="ran")]
        self.assertEqual((), check_not_run(resent, [STARTED]).violations)

    def test_at_most_once(self) -> None:
        twice = [STARTED, request_event("request_started", 300, run=2)]
        submitted = [caller_record(verdict="may_have_run")]
        self.assertEqual((), check_at_most_once(submitted, [STARTED]).violations)
        self.assertEqual(1, len(check_at_most_once(submitted, twice).violations))
        idempotent = [caller_record(idempotent=True)]
        self.assertEqual((), check_at_most_once(idempotent, twice).violations)

    def test_requests_answered(self) -> None:
        lost = [caller_record(verdict="lost", detail="ProtocolError: x")]
        down = [Outage("e1", 150, 300)]
        self.assertEqual((), check_requests_answered([caller_record()], []).violations)
        self.assertEqual((), check_requests_answered(lost, down).violations)
        for name, outages in {
            "no outage": [],
            "of another entry": [Outage("e2", 150, 300)],
            "before": [Outage("e1", 10, 50)],
        }.items():
            with self.subTest(name):
                self.assertEqual(
                    1, len(check_requests_answered(lost, outages).violations)
                )

    def test_planned_stops(self) -> None:
        stops = [PlannedStop("e1", 150, 300)]
        cases = [
            ("answered", caller_record(), 0),
            ("lost", caller_record(verdict="lost", detail="ProtocolError: x"), 1),
            ("uncertain", caller_record(verdict="may_have_run"), 1),
            (
                "not accepted",
                caller_record(verdict="lost", detail="NewConnectionError: x"),
                0,
            ),
            ("before", caller_record(verdict="lost", completed_ms=140), 0),
        ]
        for name, record, violations in cases:
            with self.subTest(name):
                found = check_planned_stops([record], stops).violations
                self.assertEqual(violations, len(found))

    def test_planned_stops_during_other_outages(self) -> None:
        stops = [PlannedStop("e1", 150, 300)]
        uncertain = caller_record(verdict="may_have_run")
        lost = caller_record(verdict="lost", detail="ProtocolError: x")
        cases = [
            ("another entry was down", uncertain, Outage("e2", 150, 300), 0),
            ("a target was at fault", uncertain, Outage("target-1", 150, 300), 0),
            ("its own fault", uncertain, Outage("e1", 150, 300), 1),
            ("long before", uncertain, Outage("e2", -9_000, -8_000), 1),
            ("a lost answer", lost, Outage("e2", 150, 300), 1),
        ]
        for name, record, outage, violations in cases:
            with self.subTest(name):
                found = check_planned_stops([record], stops, [outage]).violations
                self.assertEqual(violations, len(found))


class JobChecksTest(unittest.TestCase):
    def test_jobs(self) -> None:
        runs = evicted_and_resumed()
        again = [
            task_event("task_started", 500, run=2, epoch=3),
            task_event("task_ended", 600, run=2, epoch=3, detail="finished"),
        ]
        submitted = [SubmittedJob("c1", "job", "r", False)]
        good = check_jobs(submitted, [job_view()], runs)
        self.assertEqual((1, ()), (good.checked, good.violations))
        broken = {
            "lost": (submitted, [], runs),
            "twice": (submitted, [job_view(), job_view()], runs),
            "one for two": (
                [*submitted, SubmittedJob("c2", "job", "r", False)],
                None,
                runs,
            ),
            "never ran": (submitted, None, []),
            "ran after its end": (submitted, None, [*runs, *again]),
            "resumed too often": (submitted, [job_view(resumed=2)], runs),
        }
        for name, (jobs, views, events) in broken.items():
            with self.subTest(name):
                shown = [job_view()] if views is None else views
                self.assertTrue(check_jobs(jobs, shown, events).violations)


class UnfinishedJobTest(unittest.TestCase):
    def test_unfinished_job_is_described_with_what_it_waits_for(self) -> None:
        view = {
            "job_id": "job-39",
            "state": "queued",
            "tasks": [
                {"task_id": "job-39/0", "state": "failed", "attempts": 8},
                {"task_id": "job-39/1", "state": "queued", "attempts": 7},
            ],
            "waits_for": ["waits 9816 ms more after 7 failed runs"],
        }
        self.assertEqual(
            "job-39 queued (job-39/1 queued after 7 failed runs;"
            " waits 9816 ms more after 7 failed runs)",
            describe_unfinished(view),
        )


class ChangeChecksTest(unittest.TestCase):
    def test_revisions(self) -> None:
        submitted = [
            SubmittedChange("a", 0, "ok", 1),
            SubmittedChange("b", 0, "conflict", 1),
        ]
        observed = [ObservedRevision("e1", 10, 0), ObservedRevision("e1", 20, 1)]
        audited = [AuditedChange("a", "ok", 5), AuditedChange("b", "conflict", 6)]
        self.assertEqual(
            (), check_revisions(submitted, observed, audited, 1).violations
        )
        broken = {
            "fell": (submitted, [*observed, ObservedRevision("e1", 30, 0)], audited, 1),
            "reverted": (submitted, observed, audited, 0),
            "not audited": (submitted, observed, audited[1:], 1),
            "applied twice": (submitted, observed, [*audited, audited[0]], 1),
            "loser applied": (
                submitted,
                observed,
                [audited[0], AuditedChange("b", "ok", 6)],
                1,
            ),
            "one revision for two": (
                [submitted[0], SubmittedChange("c", 0, "ok", 1)],
                observed,
                [*audited, AuditedChange("c", "ok", 7)],
                1,
            ),
        }
        for name, records in broken.items():
            with self.subTest(name):
                self.assertGreaterEqual(len(check_revisions(*records).violations), 1)
