"""A simulated member: its disk, its clock and its state machine."""

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
from foxspring_control.raft.tests.builders import CountingMachine

MACHINE_SYNC_EVERY = 7


class CrashError(Exception):
    """The injected end of a process."""


class NodeClock:
    """A member's own clock: ``rate_percent`` of simulated time."""

    def __init__(self, now_ms: Callable[[], int], rate_percent: int) -> None:
        self.now_ms = now_ms
        self.rate_percent = rate_percent

    def monotonic_ms(self) -> int:
        return 1_000_000 + self.now_ms() * self.rate_percent // 100

    def wall_ms(self) -> int:
        return self.monotonic_ms()


class Disk:
    """A member's folder and what of each file is synced."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.synced: dict[str, int] = {}
        self.crash_at_sync = ""
        self.refuse = False

    def sync(self, descriptor: int) -> None:
        path = Path(f"/proc/self/fd/{descriptor}").readlink()
        if self.refuse:
            raise OSError(28, "No space left on device")
        if self.crash_at_sync == "before":
            raise CrashError
        self.synced[path.name] = path.stat().st_size
        if self.crash_at_sync == "after":
            raise CrashError

    def lose_unsynced(self, chance: random.Random) -> None:
        self.crash_at_sync = ""
        for path in self.folder.glob("*.seg"):
            synced = self.synced.get(path.name, 0)
            with path.open("r+b") as file:
                file.truncate(chance.randint(synced, path.stat().st_size))

    def note_sizes(self) -> None:
        """Take what a starting member found as synced."""
        for path in self.folder.glob("*.seg"):
            self.synced[path.name] = path.stat().st_size


class SimMachine(CountingMachine):
    """Loses the newest entries in a crash, as a database without full syncs."""

    def __init__(self) -> None:
        super().__init__()
        self.durable: tuple[int, list[bytes]] = (0, [])

    def apply(self, entries: Any) -> list[bytes]:
        results = super().apply(entries)
        if self.index % MACHINE_SYNC_EVERY == 0:
            self.durable = (self.index, list(self.bodies))
        return results

    def crash(self) -> None:
        self.index, self.bodies = self.durable[0], list(self.durable[1])

    def install_snapshot(self, path: Path) -> None:
        super().install_snapshot(path)
        self.durable = (self.index, list(self.bodies))


class SimulatedWork(Future[int]):
    """Work aside whose end is known at ``until_ms``, or when waited for."""

    def __init__(self, until_ms: int, value: int) -> None:
        super().__init__()
        self.until_ms = until_ms
        self.value = value

    def result(self, timeout: float | None = None) -> int:
        if not self.done():
            self.set_result(self.value)
        return super().result(timeout)


class Node:
    """One member and everything of it that outlives a crash."""

    def __init__(self, member: Member, disk: Disk, clock: NodeClock) -> None:
        self.member = member
        self.disk = disk
        self.clock = clock
        self.machine = SimMachine()
        self.storage: Storage | None = None
        self.runtime: Runtime | None = None
        self.group: tuple[Member, ...] = ()
        self.paused_inbox: list[Event] | None = None
        self.next_tick_ms = 0
        self.writing: SimulatedWork | None = None

    def run_aside(self, work: Callable[[], int], until_ms: int) -> "Future[int]":
        """Run ``work`` but let its end be known only at ``until_ms``."""
        self.writing = SimulatedWork(until_ms, work())
        return self.writing

    def end_writing(self, now_ms: int) -> None:
        """Make the end of the work known if it is time."""
        if self.writing is not None and now_ms >= self.writing.until_ms:
            self.writing.result()
            self.writing = None


class Recorder:
    """Passes entries to a member's machine and shows them to the checks."""

    def __init__(
        self, note_applied: Callable[[LogEntry], None], machine: SimMachine
    ) -> None:
        self.note_applied = note_applied
        self.machine = machine
        self.applied_index = machine.applied_index
        self.write_snapshot = machine.write_snapshot
        self.install_snapshot = machine.install_snapshot
        self.digest = machine.digest

    def apply(self, entries: Any) -> list[bytes]:
        for entry in entries:
            self.note_applied(entry)
        return self.machine.apply(entries)
