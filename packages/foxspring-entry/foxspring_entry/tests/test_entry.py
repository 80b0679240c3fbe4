"""Complete entries over HTTP and links, with a fake control and fake targets."""

import threading
import unittest
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import urllib3
from foxspring_link import SystemClock
from foxspring_model import (
    HEADER_DEADLINE_MS,
    HEADER_KEY,
    HEADER_REQUEST_ID,
    HEADER_VERDICT,
    Priority,
    Resources,
    RunTask,
    StopTask,
)

from foxspring_entry import Entry, HttpRequest, HttpResponse
from foxspring_entry.tests import builders
from foxspring_entry.tests.builders import FakeControl, call, wait_until
from foxspring_entry.tests.fake_target import FakeTarget

_PATH = "/services/register/pipes"
_Answer = urllib3.BaseHTTPResponse


class Cluster:
    """Entries with one fake control leader and their targets."""

    def __init__(self, case: unittest.TestCase, entries: int) -> None:
        self.case = case
        self.control = FakeControl()
        case.addCleanup(self.control.close)
        self.entries = [self.start_entry(f"e-{n + 1}") for n in range(entries)]

    def start_entry(self, entry_id: str, **changes: Any) -> Entry:
        """Start an entry that is stopped at the end of the test."""
        settings = builders.settings(entry_id, self.control.link.address, **changes)
        entry = Entry(
            settings, SystemClock(), builders.codec(), builders.configuration, seed=1
        )
        entry.start()
        self.case.addCleanup(entry.close)
        return entry

    def start_targets(self, **owners: str) -> list[FakeTarget]:
        """Start targets by name with their owners; wait until they are in use."""
        names = {name.replace("_", "-"): owner for name, owner in owners.items()}
        self.control.owner_of = lambda target_id: names[target_id]
        targets = [FakeTarget(name, self.entries) for name in names]
        for target in targets:
            self.case.addCleanup(target.close)
        for name, owner in names.items():
            self.wait_until_owned(name, owner)
        version = self.control.version
        wait_until(
            lambda: all(
                entry.status().ownership_version >= version for entry in self.entries
            ),
            "every entry has the table",
        )
        return targets

    def wait_until_owned(self, target_id: str, owner: str) -> None:
        """Wait until an entry owns the target and may send to it."""
        (entry,) = (e for e in self.entries if e.settings.entry_id == owner)
        wait_until(
            lambda: any(
                target.target_id == target_id and not target.unavailable_reason
                for target in entry.status().targets
            ),
            f"{owner} sends to {target_id}",
        )


class EntryCase(unittest.TestCase):
    def check(self, answer: _Answer, status: int, verdict: str) -> None:
        found = answer.status, answer.headers.get(HEADER_VERDICT)
        self.assertEqual(found, (status, verdict), answer.data)


def mismatched_response(_request: HttpRequest) -> HttpResponse:
    """Respond with another request's id; no caller may ever get this response."""
    return HttpResponse(200, b"wrong", ((HEADER_REQUEST_ID, "another"),))


class RequestTest(EntryCase):
    def test_request_is_relayed_to_the_owner_and_answered(self) -> None:
        cluster = Cluster(self, 2)
        (target,) = cluster.start_targets(t_1="e-2")
        answer = call(cluster.entries[0], "GET", f"{_PATH}?x=1")
        request_id = answer.headers[HEADER_REQUEST_ID]
        self.check(answer, 200, "ran")
        self.assertEqual(answer.data, f"answer to {request_id}".encode())
        self.assertEqual(target.started, [request_id])

    def test_uncertain_attempt_is_retried_only_if_idempotent(self) -> None:
        cluster = Cluster(self, 1)
        bad, good = cluster.start_targets(t_1="e-1", t_2="e-1")
        bad.echo = good.echo = False
        bad.work = mismatched_response
        good.work = lambda request: HttpResponse(200, b"right")
        for number in range(6):
            with self.subTest(number=number):
                answer = call(cluster.entries[0], "GET", _PATH)
                self.check(answer, 200, "ran")
                self.assertEqual(answer.data, b"right")
        self.assertGreater(len(bad.started), 0)
        good.work = mismatched_response
        before = len(bad.started) + len(good.started)
        for _ in range(3):
            self.check(call(cluster.entries[0], "POST", _PATH), 504, "may_have_run")
        self.assertEqual(len(bad.started) + len(good.started), before + 3)

    def test_hung_request_ends_at_its_deadline_and_keeps_its_slot(self) -> None:
        cluster = Cluster(self, 1)
        (target,) = cluster.start_targets(t_1="e-1")
        release = threading.Event()
        self.addCleanup(release.set)

        def hang(_request: HttpRequest) -> HttpResponse:
            release.wait(builders.DEADLINE_S)
            return HttpResponse(200)

        target.work = hang
        headers = {HEADER_DEADLINE_MS: "200"}
        answer = call(cluster.entries[0], "GET", _PATH, headers=headers)
        self.check(answer, 504, "may_have_run")
        self.assertEqual(cluster.entries[0].status().targets[0].abandoned, 1)
        release.set()
        wait_until(
            lambda: cluster.entries[0].status().targets[0].abandoned == 0, "slot freed"
        )

    def test_overload_is_refused_with_retry_after(self) -> None:
        cluster = Cluster(self, 1)
        (target,) = cluster.start_targets(t_1="e-1")
        gate = threading.Event()
        self.addCleanup(gate.set)

        def work(_request: HttpRequest) -> HttpResponse:
            gate.wait(0.1)
            return HttpResponse(200)

        target.work = work
        headers = {HEADER_DEADLINE_MS: "250"}
        with ThreadPoolExecutor(40) as pool:
            answers = list(
                pool.map(
                    lambda _: call(cluster.entries[0], "GET", _PATH, headers=headers),
                    range(120),
                )
            )
        refused = [answer for answer in answers if answer.status in (429, 503)]
        self.assertGreater(len(refused), 0)
        for answer in refused:
            self.assertEqual(answer.headers[HEADER_VERDICT], "not_run")
            self.assertGreaterEqual(int(answer.headers["Retry-After"]), 1)
        self.assertLessEqual(target.most_running, 8)

    def test_leaving_target_gets_nothing_new(self) -> None:
        cluster = Cluster(self, 2)
        leaving, staying = cluster.start_targets(t_1="e-1", t_2="e-2")
        leaving.leaving = True
        wait_until(
            lambda: all("t-1" not in e.serving("register") for e in cluster.entries),
            "t-1 is leaving",
        )
        before = len(leaving.started)
        for number in range(20):
            self.check(call(cluster.entries[number % 2], "GET", _PATH), 200, "ran")
        self.assertEqual((len(leaving.started), len(staying.started)), (before, 20))


class FailureTest(EntryCase):
    def test_lost_lease_refuses_requests_and_makes_the_entry_unready(self) -> None:
        cluster = Cluster(self, 1)
        (target,) = cluster.start_targets(t_1="e-1")
        entry = cluster.entries[0]
        self.assertEqual(call(entry, "GET", "/readyz").status, 200)
        cluster.control.grant_leases = False
        wait_until(lambda: call(entry, "GET", "/readyz").status == 503, "unready")
        self.check(call(entry, "GET", _PATH), 503, "not_run")
        self.assertEqual(target.started, [])
        self.assertEqual(call(entry, "GET", "/healthz").status, 200)
        cluster.control.grant_leases = True
        wait_until(lambda: call(entry, "GET", _PATH).status == 200, "served again")

    def test_failed_owner_ends_its_requests_immediately(self) -> None:
        cluster = Cluster(self, 2)
        (target,) = cluster.start_targets(t_1="e-2")
        started = threading.Event()
        release = threading.Event()
        self.addCleanup(release.set)

        def hang(request: HttpRequest) -> HttpResponse:
            started.set()
            release.wait(builders.DEADLINE_S)
            return HttpResponse(200, b"done")

        target.work = hang
        headers = {HEADER_DEADLINE_MS: "15000"}
        with ThreadPoolExecutor(2) as pool:
            posted = pool.submit(
                call, cluster.entries[0], "POST", _PATH, headers=headers
            )
            self.assertTrue(started.wait(builders.DEADLINE_S))
            got = pool.submit(call, cluster.entries[0], "GET", _PATH, headers=headers)
            wait_until(lambda: len(target.started) == 2, "both run")
            cluster.entries[1].close()
            cluster.control.remove_entry("e-2", new_owner="e-1")
            self.check(posted.result(builders.DEADLINE_S), 504, "may_have_run")
            wait_until(lambda: len(target.started) == 3, "GET runs again")
            reserved = cluster.entries[0].status().targets[0].reserved.slots
            self.assertGreaterEqual(reserved, 3)
            release.set()
            self.check(got.result(builders.DEADLINE_S), 200, "ran")
        self.assertEqual(len(target.started), 3)

    def test_drain_under_load_interrupts_no_request(self) -> None:
        cluster = Cluster(self, 2)
        first, second = cluster.start_targets(t_1="e-1", t_2="e-2")
        for target in (first, second):
            target.work = lambda request: HttpResponse(200, b"x" * 1_000)
        drained = threading.Event()
        answers: list[_Answer] = []

        def send_until(stop: Callable[[], bool], entry: Entry) -> None:
            while not stop():
                answers.append(call(entry, "POST", _PATH, body=b"y" * 500))

        with ThreadPoolExecutor(8) as pool:
            leaving, staying = cluster.entries
            unready = threading.Event()
            for _ in range(3):
                pool.submit(send_until, unready.is_set, leaving)
                pool.submit(send_until, drained.is_set, staying)
            wait_until(lambda: len(answers) > 50, "load")
            drain = pool.submit(leaving.drain)
            wait_until(lambda: leaving.status().draining, "draining")
            unready.set()
            drain.result(builders.DEADLINE_S)
            leaving.drain()
            cluster.wait_until_owned("t-1", "e-2")
            count = len(answers)
            wait_until(lambda: len(answers) > count + 20, "served by the other")
            drained.set()
        verdicts = {answer.headers.get(HEADER_VERDICT) for answer in answers}
        self.assertEqual(verdicts, {"ran"})
        self.assertEqual(len(first.started) + len(second.started), len(answers))

    def test_drain_ends_without_control(self) -> None:
        cluster = Cluster(self, 1)
        cluster.start_targets(t_1="e-1")
        entry = cluster.entries[0]
        cluster.control.grant_leases = False
        wait_until(lambda: not entry.status().lease_valid, "the lease has expired")
        with ThreadPoolExecutor(1) as pool:
            pool.submit(entry.drain).result(builders.DEADLINE_S)
        self.assertFalse(entry.is_live())

    def test_new_incarnation_of_a_target_is_served(self) -> None:
        cluster = Cluster(self, 1)
        (target,) = cluster.start_targets(t_1="e-1")
        target.incarnation = 2
        wait_until(
            lambda: any(
                t.incarnation == 2 and not t.unavailable_reason
                for t in cluster.entries[0].status().targets
            ),
            "the new process is owned",
        )
        self.check(call(cluster.entries[0], "GET", _PATH), 200, "ran")


class KeyTest(EntryCase):
    def test_requests_with_the_same_key_run_once(self) -> None:
        cluster = Cluster(self, 2)
        (target,) = cluster.start_targets(t_1="e-2")
        with ThreadPoolExecutor(12) as pool:
            answers = list(
                pool.map(
                    lambda number: call(
                        cluster.entries[number % 2],
                        "POST",
                        _PATH,
                        headers={HEADER_KEY: "loan-7"},
                        body=b"reserve",
                    ),
                    range(24),
                )
            )
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertEqual(len({answer.data for answer in answers}), 1)
        self.assertEqual(len(target.started), 1)

    def test_key_with_another_request_is_refused(self) -> None:
        cluster = Cluster(self, 1)
        (target,) = cluster.start_targets(t_1="e-1")
        headers = {HEADER_KEY: "loan-8"}
        entry = cluster.entries[0]
        self.check(call(entry, "POST", _PATH, headers=headers, body=b"a"), 200, "ran")
        other = call(entry, "POST", _PATH, headers=headers, body=b"b")
        self.check(other, 400, "not_run")
        self.assertEqual(len(target.started), 1)

    def test_uncertain_outcome_of_a_key_is_kept(self) -> None:
        cluster = Cluster(self, 1)
        (target,) = cluster.start_targets(t_1="e-1")
        target.echo, target.work = False, mismatched_response
        headers = {HEADER_KEY: "loan-9"}
        for _ in range(3):
            answer = call(cluster.entries[0], "POST", _PATH, headers=headers)
            self.check(answer, 504, "may_have_run")
        self.assertEqual(len(target.started), 1)

    def test_no_control_means_not_run(self) -> None:
        cluster = Cluster(self, 1)
        (target,) = cluster.start_targets(t_1="e-1")
        cluster.control.answer_proposals = False
        headers = {HEADER_KEY: "loan-10", HEADER_DEADLINE_MS: "400"}
        answer = call(cluster.entries[0], "POST", _PATH, headers=headers)
        self.check(answer, 503, "not_run")
        self.assertEqual(target.started, [])


class TaskTest(EntryCase):
    def test_task_starts_under_a_lease_and_stops(self) -> None:
        cluster = Cluster(self, 2)
        (target,) = cluster.start_targets(t_1="e-1")
        size = Resources(cores_milli=1_000, memory_mb=1_000)
        run = RunTask(
            "j/0", "j", 1, "t-1", 1, "", size, Priority.NORMAL, "default", "", ""
        )
        cluster.control.send("e-1", run)
        events = cluster.control.events
        wait_until(lambda: [e.kind for e in events] == ["started"], "task started")
        wait_until(lambda: ["j/0", 1] in target.renewed[-1]["tasks"], "lease renewed")
        cluster.control.send("e-1", StopTask("j/0", 1, "t-1", True))
        wait_until(lambda: len(events) == 2, "task stopped")
        self.assertEqual((events[1].kind, events[1].checkpoint), ("stopped", "cp-9"))
        wait_until(lambda: not target.tasks, "the ending is acked through any entry")

    def test_next_owner_continues_the_task(self) -> None:
        cluster = Cluster(self, 2)
        (target,) = cluster.start_targets(t_1="e-1")
        run = RunTask(
            "j/0", "j", 1, "t-1", 1, "", Resources(), Priority.NORMAL, "c", "", ""
        )
        cluster.control.send("e-1", run)
        wait_until(lambda: bool(target.tasks), "task started")
        cluster.control.assign_owner("t-1", "e-2")
        cluster.wait_until_owned("t-1", "e-2")
        renewed = len(target.renewed)
        wait_until(
            lambda: any(["j/0", 1] in r["tasks"] for r in target.renewed[renewed:]),
            "the next owner renews the lease",
        )
        kinds = {event.kind for event in cluster.control.events}
        self.assertEqual(kinds, {"started"})


if __name__ == "__main__":
    unittest.main()
