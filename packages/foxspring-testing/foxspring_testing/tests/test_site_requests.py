"""Requests through a real site while owners, targets and links fail."""

from concurrent.futures import ThreadPoolExecutor

from foxspring_testing._audit_view import service_targets
from foxspring_testing._fault_network import ANYONE
from foxspring_testing._operator_traffic import SERVICE
from foxspring_testing.tests.site_case import SiteCase


class SiteRequestsTest(SiteCase):
    def test_owner_is_killed_with_requests_in_flight(self) -> None:
        traffic = self.traffic(work_ms=300, threads=12)
        self.wait_answered(traffic)
        self.site.kill("entry-1")
        self.wait_owned_by_others("entry-1")
        self.wait_answered(traffic)
        told = self.take(traffic)
        self.assertLessEqual(
            {record.verdict for record in told},
            {"ran", "not_run", "may_have_run", "lost"},
        )

    def test_owner_is_paused_past_its_lease_and_wakes(self) -> None:
        traffic = self.traffic(work_ms=50, threads=8)
        self.wait_answered(traffic)
        self.site.pause("entry-2")
        self.wait_owned_by_others("entry-2")
        self.wait_answered(traffic)
        self.site.resume("entry-2")
        self.wait_for(lambda: self.site.entry_ready("entry-2"), "entry-2 ready")
        self.wait_answered(traffic)
        self.take(traffic)

    def test_faulty_target_never_gives_a_wrong_answer(self) -> None:
        faults: dict[str, dict[str, int | bool]] = {
            "hangs": {"hang": True},
            "cuts answers": {"cut_answer_after": 40},
            "answers twice": {"answer_twice": True},
            "is slow": {"slow_ms": 400},
        }
        for name, behaviour in faults.items():
            with self.subTest(name):
                target = service_targets(self.operator, SERVICE)[0]
                traffic = self.traffic(threads=6, deadline_ms=1_500)
                self.site.behave(target, **behaviour)
                self.wait_answered(traffic, 60)
                self.site.behave(target)
                self.take(traffic)

    def test_target_is_killed_under_load(self) -> None:
        target = service_targets(self.operator, SERVICE)[0]
        traffic = self.traffic(threads=6)
        self.wait_answered(traffic)
        self.site.kill(target)
        self.wait_answered(traffic, 60)
        self.take(traffic)

    def test_open_connections_fall_silent(self) -> None:
        traffic = self.traffic(threads=6, deadline_ms=2_000)
        self.wait_answered(traffic)
        silenced = sum(
            self.network.silence(ANYONE, name) for name in self.site.processes
        )
        self.assertGreater(silenced, 0)
        self.wait_answered(traffic, 60)
        self.take(traffic)

    def test_resend_storm_runs_each_key_at_most_once(self) -> None:
        entries = self.site.names("entry")
        requests = [
            self.request(key=f"storm-{number}", work_ms=100) for number in range(10)
        ]
        calls = [
            (entry, request)
            for request in requests
            for entry in entries
            for _ in range(3)
        ]
        with ThreadPoolExecutor(32) as pool:
            list(pool.map(lambda call: self.call(*call), calls))
        events = self.site.events()
        for request in requests:
            runs = [
                event
                for event in events
                if event.kind == "request_started" and event.detail == request.nonce
            ]
            verdicts = {r.verdict for r in self.told if r.nonce == request.nonce}
            self.assertEqual(1, len(runs), verdicts)
            self.assertIn("ran", verdicts)

    def test_entry_without_control_refuses_truly_and_says_so(self) -> None:
        control = set(self.site.names("control"))
        self.network.partition({"entry-3"}, control)
        self.wait_for(lambda: not self.site.entry_ready("entry-3"), "not ready")
        verdicts = {
            self.call("entry-3", self.request(method=method)).verdict
            for method in ("GET", "POST")
        }
        self.assertEqual({"not_run"}, verdicts)
        self.wait_owned_by_others("entry-3")
        self.network.restore()
        self.wait_for(lambda: self.site.entry_ready("entry-3"), "ready again")
        self.assertEqual("ran", self.call("entry-3", self.request()).verdict)
