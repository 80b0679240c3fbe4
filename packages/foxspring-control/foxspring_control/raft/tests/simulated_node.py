"""A simulated member with its disk, clock and state machine."""

import random
from collections.abc import Callable
from concurrent.futures import Future
from pathlib import Path
from typing import Any

from foxspring_control._replication import LogEntry
from foxspring_control.raft import Member
from foxspring_control.raft._events import Event
from foxspring_control.raft._runtime import Runtime
from foxspring_control.raft._storage import Storage
from foxspring_control.raft.tests.builders import CountingStateMachine

STATE_MACHINE_SYNC_EVERY = 7


class InjectedCrashError(Exception):
    """An injected crash of the process."""


class SimulatedClock:
    """The clock of one member, running at ``rate_percent`` of simulated time."""

    def __init__(self, now_ms: Callable[[], int], rate_percent: int) -> None:
        self.now_ms = now_ms
        self.rate_percent = rate_percent

    def monotonic_ms(self) -> int:
        return 1_000_000 + self.now_ms() * self.rate_percent // 100

    def lease_check_ms(self) -> int:
        return self.monotonic_ms()

    def wall_ms(self) -> int:
        return self.monotonic_ms()


class SimulatedDisk:
    """A member's data folder and the synced size of each file."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.synced: dict[str, int] = {}
        self.crash_at_sync = ""
        self.fail_syncs = False

    def sync(self, descriptor: int) -> None:
        path = Path(f"/proc/self/fd/{descriptor}").readlink()
        if self.fail_syncs:
            raise OSError(28, "No space left on device")
        if self.crash_at_sync == "before":
            raise InjectedCrashError
        self.synced[path.name] = path.stat().st_size
        if self.crash_at_sync == "after":
            raise InjectedCrashError

    def lose_unsynced(self, rng: random.Random) -> None:
        self.crash_at_sync = ""
        for path in self.folder.glob("*.seg"):
            synced = self.synced.get(path.name, 0)
            with path.open("r+b") as file:
                file.truncate(rng.randint(synced, path.stat().st_size))

    def record_sizes(self) -> None:
        """Record the files found at startup as synced."""
        for path in self.folder.glob("*.seg"):
            self.synced[path.name] = path.stat().st_size


class SimulatedStateMachine(CountingStateMachine):
    """Loses its newest entries in a crash, like a database without full syncs."""

    def __init__(self) -> None:
        super().__init__()
        self.durable: tuple[int, list[bytes]] = (0, [])

    def apply(self, entries: Any) -> list[bytes]:
        results = super().apply(entries)
        if self.index % STATE_MACHINE_SYNC_EVERY == 0:
            self.durable = (self.index, list(self.bodies))
        return results

    def crash(self) -> None:
        self.index, self.bodies = self.durable[0], list(self.durable[1])

    def install_snapshot(self, path: Path) -> None:
        super().install_snapshot(path)
        self.durable = (self.index, list(self.bodies))


class SimulatedFuture(Future[int]):
    """A future that completes at ``done_at_ms``, or when it is waited for."""

    def __init__(self, done_at_ms: int, value: int) -> None:
        super().__init__()
        self.done_at_ms = done_at_ms
        self.value = value

    def result(self, timeout: float | None = None) -> int:
        if not self.done():
            self.set_result(self.value)
        return super().result(timeout)


class SimulatedNode:
    """One member, including everything that survives a crash."""

    def __init__(
        self, member: Member, disk: SimulatedDisk, clock: SimulatedClock
    ) -> None:
        self.member = member
        self.disk = disk
        self.clock = clock
        self.state_machine = SimulatedStateMachine()
        self.storage: Storage | None = None
        self.runtime: Runtime | None = None
        self.initial_members: tuple[Member, ...] = ()
        self.paused_inbox: list[Event] | None = None
        self.next_tick_ms = 0
        self.writing: SimulatedFuture | None = None

    def run_in_background(
        self, work: Callable[[], int], done_at_ms: int
    ) -> "Future[int]":
        """Run ``work`` now but report its completion only at ``done_at_ms``."""
        self.writing = SimulatedFuture(done_at_ms, work())
        return self.writing

    def finish_writing_if_due(self, now_ms: int) -> None:
        """Report the completion of the background work if it is due."""
        if self.writing is not None and now_ms >= self.writing.done_at_ms:
            self.writing.result()
            self.writing = None


class CheckedStateMachine:
    """Passes entries to a member's state machine after checking them."""

    def __init__(
        self,
        check_applied: Callable[[LogEntry], None],
        state_machine: SimulatedStateMachine,
    ) -> None:
        self.check_applied = check_applied
        self.state_machine = state_machine
        self.applied_index = state_machine.applied_index
        self.write_snapshot = state_machine.write_snapshot
        self.install_snapshot = state_machine.install_snapshot
        self.digest = state_machine.digest

    def apply(self, entries: Any) -> list[bytes]:
        for entry in entries:
            self.check_applied(entry)
        return self.state_machine.apply(entries)
