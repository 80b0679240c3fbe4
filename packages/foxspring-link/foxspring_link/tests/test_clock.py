"""The clock by which leases are measured."""

import time
import unittest
from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock

from foxspring_link import SystemClock

SUSPENDED_NS = 5_000_000_000
SUSPENSION_CHECK_S = 0.011
PAUSE_NS = 600_000_000


@contextmanager
def vm_suspended(duration_ns: int) -> Iterator[None]:
    """Run the block as after a suspension, which only the boot-time clock counts."""
    read = time.clock_gettime_ns

    def after_suspension(clock_id: int) -> int:
        suspended = clock_id == time.CLOCK_BOOTTIME
        return read(clock_id) + (duration_ns if suspended else 0)

    with mock.patch("time.clock_gettime_ns", after_suspension):
        yield


class PausingClocks:
    """The two clocks of the system, with a pause of the thread after each reading."""

    def __init__(self) -> None:
        self.now_ns = SUSPENDED_NS

    def read(self, _clock_id: int = time.CLOCK_MONOTONIC) -> int:
        """Return the time, then let ``PAUSE_NS`` pass."""
        now_ns = self.now_ns
        self.now_ns += PAUSE_NS
        return now_ns


class SystemClockTest(unittest.TestCase):
    def test_time_in_which_the_vm_was_suspended_counts(self) -> None:
        clock = SystemClock()
        before_ms = clock.monotonic_ms()
        with vm_suspended(SUSPENDED_NS):
            time.sleep(SUSPENSION_CHECK_S)
            passed_ms = clock.monotonic_ms() - before_ms
        self.assertGreaterEqual(passed_ms, SUSPENDED_NS // 1_000_000)
        self.assertGreaterEqual(clock.monotonic_ms() - before_ms, passed_ms)

    def test_lease_check_counts_a_suspension_that_has_just_ended(self) -> None:
        clock = SystemClock()
        before_ms = clock.lease_check_ms()
        clock.checked_ns = time.monotonic_ns() + SUSPENDED_NS
        with vm_suspended(SUSPENDED_NS):
            passed_ms = clock.lease_check_ms() - before_ms
            self.assertGreaterEqual(passed_ms, SUSPENDED_NS // 1_000_000)
            self.assertGreaterEqual(clock.monotonic_ms() - before_ms, passed_ms)

    # Issue 55: the clock jumped ahead for good, past the leases and election timers.
    def test_a_pause_between_two_readings_is_no_suspension(self) -> None:
        clock = SystemClock()
        clocks = PausingClocks()
        with (
            mock.patch("time.clock_gettime_ns", clocks.read),
            mock.patch("time.monotonic_ns", clocks.read),
        ):
            for read_ms in (clock.lease_check_ms, clock.monotonic_ms) * 2:
                self.assertLess(read_ms(), clocks.now_ns // 1_000_000)
        self.assertEqual(0, clock.suspended_ns)

    def test_readings_never_go_back(self) -> None:
        clock = SystemClock()
        readings = [clock.monotonic_ms() for _ in range(100_000)]
        self.assertEqual(readings, sorted(readings))


if __name__ == "__main__":
    unittest.main()
