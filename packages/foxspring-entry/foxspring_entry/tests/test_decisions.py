"""Lease, ownership table, queue, limiter, health, retries, choice of owner."""

import random
import unittest
from collections import Counter

from foxspring_model import (
    EntryLeaseGrant,
    EntryLoad,
    OwnershipUpdate,
    RelayAnswer,
    Verdict,
)

from foxspring_entry._health import Health, after_failure, after_success, may_eject
from foxspring_entry._lease import EntryLease, renew
from foxspring_entry._limiter import ConcurrencyLimit, after_sample
from foxspring_entry._loads import Candidate, OwnerLoads, ServiceLoad, choose_owner
from foxspring_entry._ownership import OwnershipTable
from foxspring_entry._queue import FairQueue, QueuedRequest, expected_wait_ms
from foxspring_entry._retries import RetryBudget, consumes_budget, may_retry
from foxspring_entry.tests import builders


class LeaseTest(unittest.TestCase):
    def test_lease_starts_when_the_heartbeat_is_sent(self) -> None:
        grant = EntryLeaseGrant("c-1", 3, 10_000, 2_000, 1, 1)
        lease = renew(EntryLease(), grant, "c-1:1", 11_500)
        self.assertTrue(lease.is_valid(11_999))
        self.assertFalse(lease.is_valid(12_000))

    def test_ignored_grants(self) -> None:
        previous = EntryLease(12_000, "c-1", "c-1:1", 3)
        cases = {
            "older term": EntryLeaseGrant("c-0", 2, 11_000, 2_000, 1, 1),
            "heartbeat of another incarnation": EntryLeaseGrant(
                "c-1", 3, 99_000, 1, 1, 1
            ),
        }
        for name, grant in cases.items():
            with self.subTest(name):
                self.assertEqual(renew(previous, grant, "x:1", 11_500), previous)
        late = EntryLeaseGrant("c-1", 3, 9_000, 2_000, 1, 1)
        self.assertEqual(renew(previous, late, "c-1:1", 11_500).until_ms, 12_000)


class OwnershipTest(unittest.TestCase):
    def _update(self, version: int, from_version: int = -1) -> OwnershipUpdate:
        entries = (builders.entry_info("e-1"),)
        targets = (builders.owned(f"t-{version}"),)
        full = from_version < 0
        return OwnershipUpdate(full, from_version, version, entries, targets, ())

    def test_outdated_updates_and_gaps_are_ignored(self) -> None:
        table = OwnershipTable()
        table.apply(self._update(5))
        cases = {"older": self._update(4), "gap": self._update(9, from_version=7)}
        for name, update in cases.items():
            with self.subTest(name):
                self.assertEqual(table.apply(update).changed, ())
                self.assertEqual((table.version, list(table.targets)), (5, ["t-5"]))
        table.apply(self._update(6, from_version=5))
        self.assertEqual(sorted(table.targets), ["t-5", "t-6"])
        self.assertEqual(table.owners_of("register"), {"e-1": 2})

    def test_owner_removed_in_an_earlier_update_may_not_send(self) -> None:
        table = OwnershipTable()
        previous = (builders.owned(owner="e-1"),)
        entry = builders.entry_info("e-1")
        table.apply(OwnershipUpdate(True, 0, 1, (entry,), previous, ()))
        table.apply(OwnershipUpdate(False, 1, 2, (), (), ()))
        given = (builders.owned(owner="e-2", owner_epoch=2),)
        (change,) = table.apply(OwnershipUpdate(False, 2, 3, (), given, ())).changed
        self.assertFalse(change.previous_owner_may_send)

    def test_whether_an_owner_removed_before_the_next_one_may_send(self) -> None:
        first = builders.entry_info("e-1")
        # Columns: name, epoch without an owner, epoch of the next owner, may send.
        cases = (("ended", 1, 2, False), ("released", 2, 3, True))
        for name, without, after, may_send in cases:
            with self.subTest(name):
                table = OwnershipTable()
                steps = (("e-1", 1), ("", without), ("e-2", after))
                for version, (owner, epoch) in enumerate(steps, start=1):
                    given = (builders.owned(owner=owner, owner_epoch=epoch),)
                    update = OwnershipUpdate(True, 0, version, (first,), given, ())
                    (change,) = table.apply(update).changed
                self.assertIs(change.previous_owner_may_send, may_send)

    def test_whether_the_previous_owner_may_send(self) -> None:
        first = builders.entry_info("e-1")
        restarted = builders.entry_info("e-1", incarnation=2)
        # Columns: name, previous owner, epochs before and after, entries, may send.
        cases = (
            ("first owner", "e-1", 0, 1, (first,), False),
            ("live", "e-1", 1, 2, (first,), True),
            ("gone", "e-1", 1, 2, (), False),
            ("restarted", "e-1", 1, 2, (restarted,), False),
            ("no owner after an earlier one", "", 1, 2, (first,), True),
            ("missed an owner in between", "e-1", 1, 3, (), True),
        )
        for name, owner, before, after, entries, may_send in cases:
            with self.subTest(name):
                table = OwnershipTable()
                previous = (builders.owned(owner=owner, owner_epoch=before),)
                table.apply(OwnershipUpdate(True, 0, 1, (first,), previous, ()))
                given = (builders.owned(owner="e-2", owner_epoch=after),)
                update = OwnershipUpdate(True, 0, 2, entries, given, ())
                (change,) = table.apply(update).changed
                self.assertIs(change.previous_owner_may_send, may_send)


class QueueTest(unittest.TestCase):
    def _item(
        self, caller: str, number: int, deadline_ms: int = 10_000
    ) -> QueuedRequest:
        relay = builders.relay(f"{caller}-{number}", caller=caller)
        return QueuedRequest(relay, "e-1:link", 0, deadline_ms)

    def _callers(self, queue: FairQueue) -> list[str]:
        popped = []
        while (item := queue.pop()) is not None:
            popped.append(item.relay.caller)
        return popped

    def test_callers_are_served_round_robin(self) -> None:
        queue = FairQueue()
        for number in range(4):
            queue.push(self._item("loud", number), 10)
        queue.push(self._item("quiet", 0), 10)
        self.assertEqual(
            self._callers(queue), ["loud", "quiet", "loud", "loud", "loud"]
        )

    def test_full_queue_refuses_the_caller_with_most_requests(self) -> None:
        queue = FairQueue()
        for number in range(4):
            queue.push(self._item("loud", number), 4)
        displaced = queue.push(self._item("quiet", 0), 4)
        assert displaced is not None
        self.assertEqual(displaced.relay.request_id, "loud-3")
        own = self._item("loud", 9)
        self.assertIs(queue.push(own, 4), own)
        self.assertEqual((queue.size, self._callers(queue).count("quiet")), (4, 1))

    def test_expired_requests_are_removed(self) -> None:
        queue = FairQueue()
        queue.push(self._item("a", 0, deadline_ms=50), 9)
        queue.push(self._item("a", 1, deadline_ms=500), 9)
        expired = queue.expire(50)
        self.assertEqual([item.relay.request_id for item in expired], ["a-0"])
        self.assertEqual(queue.size, 1)

    def test_expected_wait(self) -> None:
        # Columns: queued, in flight, concurrency, latency in us, expected wait in ms.
        cases = ((0, 0, 8, 10_000, 0), (0, 8, 8, 10_000, 1), (15, 8, 8, 10_000, 20))
        for waiting, in_flight, concurrency, latency_us, wait_ms in cases:
            with self.subTest(waiting=waiting, in_flight=in_flight):
                found = expected_wait_ms(waiting, in_flight, concurrency, latency_us)
                self.assertEqual(found, wait_ms)


class LimiterTest(unittest.TestCase):
    def test_limit_falls_when_latency_rises_and_recovers(self) -> None:
        limit = ConcurrencyLimit()
        for _ in range(20):
            limit = after_sample(limit, 10_000, 8, 8)
        self.assertEqual(limit.slots, 8)
        for _ in range(60):
            limit = after_sample(limit, 200_000, limit.slots, 8)
        self.assertLess(limit.slots, 4)
        for _ in range(400):
            limit = after_sample(limit, 10_000, limit.slots, 8)
        self.assertEqual(limit.slots, 8)

    def test_limit_stays_between_one_and_the_slots(self) -> None:
        rng = random.Random(3)
        limit = ConcurrencyLimit()
        for _ in range(5_000):
            sample = rng.choice((1_000, 10_000, 1_000_000))
            limit = after_sample(limit, sample, rng.randrange(1, 9), 8)
            self.assertTrue(1 <= limit.slots <= 8)


class HealthTest(unittest.TestCase):
    def test_ejection_doubles_and_one_success_restores(self) -> None:
        health = Health()
        for _ in range(3):
            health = after_failure(health, 0, True)
        self.assertEqual(health.ejected_until_ms, 1_000)
        health = after_failure(health, 1_000, True)
        self.assertEqual(health.ejected_until_ms, 3_000)
        self.assertTrue(health.is_on_probation(3_000))
        self.assertEqual(after_success(health), Health())

    def test_no_more_than_the_cap_are_ejected(self) -> None:
        cases = (
            (0, 3, True),
            (1, 3, False),
            (10, 34, True),
            (11, 34, False),
            (0, 1, 0),
        )
        for ejected, total, allowed in cases:
            with self.subTest(ejected=ejected, total=total):
                self.assertEqual(may_eject(ejected, total), bool(allowed))
        unhealthy = Health(failures=9)
        self.assertFalse(after_failure(unhealthy, 0, False).is_ejected(0))


class RetryTest(unittest.TestCase):
    def test_retry_depends_on_the_verdict(self) -> None:
        # Columns: verdict, reason, idempotent, remaining ms, attempts left, retry.
        cases = (
            (Verdict.NOT_RUN, "no_room", False, 500, 2, True),
            (Verdict.NOT_RUN, "unknown_service", True, 500, 2, False),
            (Verdict.NOT_RUN, "no_room", True, 500, 0, False),
            (Verdict.NOT_RUN, "no_room", True, 1, 2, False),
            (Verdict.MAY_HAVE_RUN, "", True, 500, 2, True),
            (Verdict.MAY_HAVE_RUN, "", False, 500, 2, False),
            (Verdict.RAN, "", True, 500, 2, False),
        )
        for verdict, reason, idempotent, remaining, left, retry in cases:
            with self.subTest(verdict=verdict, reason=reason, idempotent=idempotent):
                answer = RelayAnswer("r-1", 1, verdict, reason)
                found = may_retry(answer, idempotent, remaining, left)
                self.assertIs(found, retry)

    def test_retries_are_limited_to_a_share_of_requests(self) -> None:
        budget = RetryBudget(20)
        while budget.try_spend():
            pass
        spent = 0
        for _ in range(1_000):
            budget.record_request()
            spent += budget.try_spend()
        self.assertTrue(195 <= spent <= 200, spent)

    def test_retry_after_moved_ownership_consumes_no_budget(self) -> None:
        moved = RelayAnswer("r-1", 1, Verdict.NOT_RUN, "no_target")
        overloaded = RelayAnswer("r-1", 1, Verdict.NOT_RUN, "overloaded")
        self.assertFalse(consumes_budget(moved))
        self.assertTrue(consumes_budget(overloaded))


class ChoiceTest(unittest.TestCase):
    def _candidates(self, loads: OwnerLoads, now_ms: int) -> list[Candidate]:
        return [
            Candidate(
                f"e-{n}", 4, loads.service_load(f"e-{n}", "register", now_ms), False
            )
            for n in range(8)
        ]

    def test_no_herding_after_a_load_report(self) -> None:
        loads = OwnerLoads(1_500)
        for number in range(8):
            free = 32 if number == 0 else 20
            load = EntryLoad(f"e-{number}", 1, 1, (("register", free, 0, 1_000),))
            loads.store(load, 0)
        rng = random.Random(5)
        sent: Counter[str] = Counter()
        for _ in range(96):
            chosen = choose_owner(self._candidates(loads, 10), rng).entry_id
            loads.record_send(chosen, "register")
            sent[chosen] += 1
        self.assertGreater(sent["e-0"], sent["e-1"])
        self.assertLess(sent["e-0"], 32)
        self.assertTrue(all(sent[f"e-{n}"] >= 4 for n in range(8)), sent)

    def test_outdated_and_out_of_order_load_reports(self) -> None:
        loads = OwnerLoads(1_500)
        newer = EntryLoad("e-1", 2, 5, (("register", 7, 0, 1),))
        self.assertTrue(loads.store(newer, 100))
        for older in ((1, 9), (2, 5), (2, 4)):
            load = EntryLoad("e-1", *older, (("register", 1, 0, 1),))
            self.assertFalse(loads.store(load, 200))
        self.assertEqual(
            loads.service_load("e-1", "register", 1_600), ServiceLoad(7, 0, 1, 100)
        )
        self.assertIsNone(loads.service_load("e-1", "register", 1_601))


if __name__ == "__main__":
    unittest.main()
