"""Reservations of one target, including a randomized test against a model."""

import random
import unittest

from foxspring_model import INVARIANT_CHECKS, Invariant, Resources

from foxspring_entry._ledger import ReservationKind, TargetLedger

_ONE = Resources(slots=1, connections=1)
_SETTLE_TIME_MS = 300


class LedgerTest(unittest.TestCase):
    def test_admits_only_what_fits(self) -> None:
        cases = {
            "fits": (Resources(2, 2, 100, 100, 1), True),
            "one slot too many": (Resources(slots=3), False),
            "one connection too many": (Resources(connections=3), False),
            "too many cores": (Resources(cores_milli=101), False),
            "too much memory": (Resources(memory_mb=101), False),
            "no second accelerator": (Resources(accelerators=2), False),
        }
        for name, (need, admitted) in cases.items():
            with self.subTest(name):
                ledger = TargetLedger("t-1", Resources(2, 2, 100, 100, 1))
                self.assertIs(ledger.reserve("a", ReservationKind.TASK, need), admitted)

    def test_an_id_is_reserved_only_once(self) -> None:
        ledger = TargetLedger("t-1", Resources(slots=8, connections=8))
        self.assertTrue(ledger.reserve("a", ReservationKind.REQUEST, _ONE))
        self.assertFalse(ledger.reserve("a", ReservationKind.REQUEST, _ONE))
        ledger.release("a")
        ledger.release("a")
        self.assertEqual(ledger.free, ledger.capacity)

    def test_abandoned_work_is_released_only_by_a_later_report(self) -> None:
        # Columns: name, reading requested at, reading, report time, listed, released.
        cases = (
            ("no reading yet", None, 0, 900, False, False),
            ("reading too soon after", 1_200, 500, 900, False, False),
            ("report before the reading", 1_300, 500, 499, False, False),
            ("report still lists it", 1_300, 500, 500, True, False),
            ("later report without it", 1_300, 500, 500, False, True),
        )
        for name, requested_ms, reading_ms, report_time_ms, listed, released in cases:
            with self.subTest(name):
                ledger = TargetLedger("t-1", _ONE)
                ledger.reserve("a", ReservationKind.REQUEST, _ONE)
                ledger.abandon("a", 1_000)
                if requested_ms is not None:
                    ledger.record_reading(requested_ms, reading_ms, _SETTLE_TIME_MS)
                running = frozenset({"a"} if listed else ())
                ledger.release_absent(report_time_ms, running)
                self.assertIs("a" not in ledger.reservations, released)

    def test_report_does_not_release_work_that_was_not_abandoned(self) -> None:
        ledger = TargetLedger("t-1", _ONE)
        ledger.reserve("a", ReservationKind.REQUEST, _ONE)
        ledger.record_reading(5_000, 500, _SETTLE_TIME_MS)
        ledger.release_absent(10_000, frozenset())
        self.assertIn("a", ledger.reservations)

    def test_random_operations_match_the_model(self) -> None:
        rng = random.Random(7)
        before = INVARIANT_CHECKS.violated[Invariant.CAPACITY]
        for _ in range(200):
            ledger = TargetLedger("t-1", Resources(8, 16, 1_000, 1_000, 2))
            model: dict[str, Resources] = {}
            for step in range(60):
                self._step(ledger, model, rng, step)
                total = Resources(*(sum(a) for a in zip(*model.values(), strict=True)))
                self.assertEqual(ledger.reserved, total if model else Resources())
                self.assertFalse(ledger.free.is_negative())
        self.assertEqual(INVARIANT_CHECKS.violated[Invariant.CAPACITY], before)

    def _step(
        self,
        ledger: TargetLedger,
        model: dict[str, Resources],
        rng: random.Random,
        step: int,
    ) -> None:
        reservation_id = f"h-{rng.randrange(12)}"
        if rng.random() < 0.6:
            need = Resources(
                rng.randrange(4), rng.randrange(4), rng.randrange(400), 0, 0
            )
            if ledger.reserve(reservation_id, ReservationKind.REQUEST, need):
                self.assertNotIn(reservation_id, model)
                model[reservation_id] = need
        elif rng.random() < 0.5:
            ledger.release(reservation_id)
            model.pop(reservation_id, None)
        else:
            ledger.abandon(reservation_id, step)
            ledger.record_reading(step + _SETTLE_TIME_MS, step, _SETTLE_TIME_MS)
            for released in ledger.release_absent(step, frozenset()):
                model.pop(released)


if __name__ == "__main__":
    unittest.main()
