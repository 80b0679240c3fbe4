"""Requests through a real site during failures of owners, targets and links."""

from concurrent.futures import ThreadPoolExecutor

from foxspring_testing._fault_network import ANY_PROCESS
from foxspring_testing._operator_traffic import SERVICE
from foxspring_testing._operator_views import service_targets
from foxspring_testing.tests.site_case import SiteCase


class SiteRequestsTest(SiteCase):
    def test_owner_is_killed_with_requests_in_flight(self) -> None:
        traffic = self.traffic(work_ms=300, threads=12)
        self.wait_answered(traffic)
        self.site.kill("entry-1")
        self.wait_owned_by_others("entry-1")
        self.wait_answered(traffic)
        caller_records = self.stop_traffic(traffic)
        self.assertLessEqual(
            {record.verdict for record in caller_records},
            {"ran", "not_run", "may_have_run", "lost"},
        )

    def test_owner_is_paused_past_its_lease_and_resumed(self) -> None:
        traffic = self.traffic(work_ms=50, threads=8)
        self.wait_answered(traffic)
        self.site.pause("entry-2")
        self.wait_owned_by_others("entry-2")
        self.wait_answered(traffic)
        self.site.resume("entry-2")
        self.wait_for(lambda: self.site.entry_ready("entry-2"), "entry-2 ready")
        self.wait_answered(traffic)
        self.stop_traffic(traffic)

    def test_faulty_target_never_causes_a_wrong_answer(self) -> None:
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
                self.site.set_behaviour(target, **behaviour)
                self.wait_answered(traffic, 60)
                self.site.set_behaviour(target)
                self.stop_traffic(traffic)

    def test_target_is_killed_under_load(self) -> None:
        target = service_targets(self.operator, SERVICE)[0]
        traffic = self.traffic(threads=6)
        self.wait_answered(traffic)
        self.site.kill(target)
        self.wait_answered(traffic, 60)
        self.stop_traffic(traffic)

    def test_open_connections_drop_all_bytes(self) -> None:
        traffic = self.traffic(threads=6, deadline_ms=2_000)
        self.wait_answered(traffic)
        affected = sum(
            self.network.drop_open_connections(ANY_PROCESS, name)
            for name in self.site.processes
        )
        self.assertGreater(affected, 0)
        self.wait_answered(traffic, 60)
        self.stop_traffic(traffic)

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
            verdicts = {
                r.verdict for r in self.caller_records if r.nonce == request.nonce
            }
            self.assertEqual(1, len(runs), verdicts)
            self.assertIn("ran", verdicts)

    def test_entry_without_control_is_not_ready_and_runs_nothing(self) -> None:
        control = set(self.site.names("control"))
        self.network.partition({"entry-3"}, control)
        self.wait_for(lambda: not self.site.entry_ready("entry-3"), "not ready")
        verdicts = {
            self.call("entry-3", self.request(method=method)).verdict
            for method in ("GET", "POST")
        }
        self.assertEqual({"not_run"}, verdicts)
        self.wait_owned_by_others("entry-3")
        self.network.clear_faults()
        self.wait_for(lambda: self.site.entry_ready("entry-3"), "ready again")
        self.assertEqual("ran", self.call("entry-3", self.request()).verdict)
