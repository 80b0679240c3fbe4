"""Benchmark of the leader's work on a state with many tasks."""

import gc
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import msgspec
from foxspring_link import ManualClock
from foxspring_model import EntryHeartbeat, EntryInfo

from foxspring_control._replication import (
    LogEntry,
    ProposeCallback,
    ProposeOutcome,
)
from foxspring_control.raft import LeadershipChange, Member, RaftStatus
from foxspring_control.service._core import ServiceCore
from foxspring_control.service._leader import Leader
from foxspring_control.service._ownership_updates import OwnershipUpdates
from foxspring_control.service._scheduling import make_scheduler
from foxspring_control.service._settings import ServiceSettings
from foxspring_control.state import ControlState
from foxspring_control.state._bench import (
    SIZES,
    TASKS_PER_TARGET,
    BenchRow,
    fill_state,
    parse_fixed,
)

TICK_MS = 50
TICKS = 400
HEARTBEATS = 200
ENTRY = EntryInfo("entry-1", 1, "127.0.0.1:1", "127.0.0.1:2", "attiki")


def run_bench() -> list[BenchRow]:
    """Measure each size in a separate process."""
    rows: list[BenchRow] = []
    for size in SIZES:
        command = [sys.executable, "-m", __name__, str(size)]
        done = subprocess.run(command, capture_output=True, check=True, timeout=300)
        last = done.stdout.splitlines()[-1]
        rows += msgspec.json.decode(last, type=list[BenchRow])
    return rows


class _InstantLog:
    """A log that commits each proposal immediately to one state."""

    member_id = "c"

    def __init__(self, state: ControlState, clock: ManualClock) -> None:
        self.state = state
        self.clock = clock
        self.index = state.applied_index()

    def propose(self, kind: str, body: bytes, on_done: ProposeCallback) -> None:
        """Apply the command and call back."""
        self.index += 1
        entry = LogEntry(self.index, 1, kind, body, self.clock.wall_ms())
        result = self.state.apply([entry])[0]
        on_done(ProposeOutcome("applied", "", result))

    def read_barrier(self, on_done: ProposeCallback) -> None:
        """Call back as a leader with a valid lease."""
        on_done(ProposeOutcome("applied"))

    def add_member(self, member: Member, on_done: ProposeCallback) -> None:
        """Reject the membership change."""
        on_done(ProposeOutcome("rejected"))

    def remove_member(self, member_id: str, on_done: ProposeCallback) -> None:
        """Reject the membership change."""
        on_done(ProposeOutcome("rejected"))

    def is_started(self) -> bool:
        """Return that the log is started."""
        return True

    def status(self) -> RaftStatus:
        """Return the status of a single-member group."""
        last = self.index
        me = self.member_id
        return RaftStatus(
            me, "leader", 1, me, "", last, last, last, 0, 1, (), True, 0, 0, 0, ""
        )


def _measure_size(size: int) -> list[BenchRow]:
    with tempfile.TemporaryDirectory() as folder:
        state = ControlState(Path(folder), parse_fixed)
        fill_state(state, size)
        clock = ManualClock()
        core = ServiceCore(
            ServiceSettings(),
            _InstantLog(state, clock),
            state,
            lambda address, message: None,
            clock,
            lambda function: function(),
            make_scheduler,
        )
        state.subscribe(core.state_changed)
        gc.collect()
        before_kb = _resident_kb()
        start = time.monotonic()
        core.on_leadership(LeadershipChange(True, 1, "c", ""))
        lease_ms = (time.monotonic() - start) * 1_000
        if core.leader is None:
            raise RuntimeError("the core does not lead; on_leadership failed")
        pages = 0
        while not core.leader.tasks.is_loaded():
            clock.advance(TICK_MS)
            core.tick()
            pages += 1
        load_ms = (time.monotonic() - start) * 1_000
        rows = [
            _row(size, "leases granted after election", lease_ms, "ms", "<= 2000"),
            _row(size, "tasks known after election", load_ms, "ms"),
            _row(size, "one page of tasks loaded, mean", load_ms / pages, "ms"),
        ]
        rows += _steady_rows(core, core.leader, clock, size)
        gc.collect()
        grown = (_resident_kb() - before_kb) / 1024
        rows.append(_row(size, "leader's memory grown", grown, "MiB", "<= 32 in all"))
        state.close()
    return rows


def _steady_rows(
    core: ServiceCore, leader: Leader, clock: ManualClock, size: int
) -> list[BenchRow]:
    start = time.monotonic()
    update = OwnershipUpdates(leader.state).build(0)
    build_ms = (time.monotonic() - start) * 1_000
    table_kb = len(msgspec.msgpack.encode(update)) / 1024
    start_s = time.process_time()
    for _ in range(HEARTBEATS):
        view = leader.view
        heartbeat = EntryHeartbeat(ENTRY, 0, view.revision, view.ownership_version)
        core.receive("127.0.0.1:1", heartbeat)
    heartbeat_us = (time.process_time() - start_s) * 1e6 / HEARTBEATS
    tick_share = _tick_share(core, leader, clock)
    return [
        _row(size, "whole ownership table built", build_ms, "ms"),
        _row(size, "whole ownership table", table_kb, "KiB"),
        _row(size, "heartbeat answered", heartbeat_us, "us"),
        _row(size, "idle leader's processor share", tick_share, "%", "<= 1.1"),
    ]


def _tick_share(core: ServiceCore, leader: Leader, clock: ManualClock) -> float:
    """Return the CPU share of ticks, heartbeats and usage reports in percent."""
    spent_s = 0.0
    for tick in range(TICKS):
        clock.advance(TICK_MS)
        if tick % 20 == 0:
            for target_id in leader.view.targets:
                leader.targets.record_usage(target_id, clock.now_ms)
        start_s = time.process_time()
        if tick % 10 == 0:
            view = leader.view
            beat: Any = EntryHeartbeat(ENTRY, 0, view.revision, view.ownership_version)
            core.receive("127.0.0.1:1", beat)
        core.tick()
        spent_s += time.process_time() - start_s
    return 100 * spent_s / (TICKS * TICK_MS / 1_000)


def _row(size: int, name: str, value: float, unit: str, bound: str = "") -> BenchRow:
    name = f"{name} at {size} tasks, {size // TASKS_PER_TARGET} targets"
    return BenchRow(name, bound, round(value, 2), unit, "")


def _resident_kb() -> int:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") // 1024


if __name__ == "__main__":
    print(msgspec.json.encode(_measure_size(int(sys.argv[1]))).decode())
