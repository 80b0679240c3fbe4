"""Benchmark of an entry on this machine."""

import itertools
import os
import random
import socket
import sys
from collections.abc import Callable
from typing import NamedTuple

from foxspring_entry import _bench_choice as choice
from foxspring_entry._bench_load import Load, Sample
from foxspring_entry._bench_processes import ChildProcess, entry_main, targets_main
from foxspring_entry.tests import builders
from foxspring_entry.tests.builders import FakeControl, wait_until

TARGETS = 4
WORK_MS = 100
CAPACITY = TARGETS * choice.SLOTS * 1_000 / WORK_MS
RUN_S = 4.0
IDLE_CONNECTIONS = 1_000
_SEED = 1


class BenchRow(NamedTuple):
    """A measured value with its bound and the baseline it is compared with."""

    name: str
    bound: str
    value: float
    unit: str
    baseline: str


class _BenchCluster:
    """A control leader in this process; entries and targets in child processes."""

    def __init__(self) -> None:
        self.control = FakeControl()
        address = self.control.link.address
        self.entries = [ChildProcess(entry_main, f"e-{n}", address) for n in (1, 2)]
        names = tuple(f"t-{n}" for n in range(TARGETS))
        first = self.entries[0].address
        self.targets = ChildProcess(targets_main, names, first, WORK_MS)
        wait_until(
            lambda: self._available_targets() == TARGETS, "every target is available"
        )

    def close(self) -> None:
        for child in (*self.entries, self.targets):
            child.stop()
        self.control.close()

    def _available_targets(self) -> int:
        targets = self.entries[0].query("status").targets
        return sum(not target.unavailable_reason for target in targets)


def run_bench() -> list[BenchRow]:
    """Run the benchmark and return all rows; takes about half a minute."""
    return [*_choice_rows(), *_ownership_rows(), *_live_rows()]


def _choice_rows() -> list[BenchRow]:
    entry_p99 = choice.p99_with_slow_targets(
        choice.entry_choice(random.Random(2)), _SEED
    )
    random_p99 = choice.p99_with_slow_targets(
        choice.random_choice(random.Random(2)), _SEED
    )
    round_robin_p99 = choice.p99_with_slow_targets(choice.round_robin_choice(), _SEED)
    baseline = f"random {random_p99:.1f}, round robin {round_robin_p99:.1f}"
    name = "p99 of the choice, 34 targets, 2 slow (virtual time)"
    return [BenchRow(name, "below both", entry_p99, "ms", baseline)]


def _ownership_rows() -> list[BenchRow]:
    rows = []
    for load, first in ((0.7, 1 / 8), (0.9, 1 / 8), (0.7, 0.25), (0.9, 0.25)):
        owned = choice.p99_by_shares(choice.OWNERS, True, load, first, _SEED)
        static = choice.p99_by_shares(choice.OWNERS, False, load, first, _SEED)
        single = choice.p99_by_shares(1, False, load, 1.0, _SEED)
        baseline = f"static shares {static:.1f}, one queue {single:.1f}"
        name = f"p99 with owners at {load:.0%} load, one entry gets {first:.0%}"
        rows.append(BenchRow(name, "below static shares", owned, "ms", baseline))
    return rows


def _live_rows() -> list[BenchRow]:
    cluster = _BenchCluster()
    load = Load({"Authorization": f"Bearer {builders.CALLER}"})
    try:
        rows = _latency_rows(cluster, load)
        rows += _overload_rows(cluster, load)
        rows += _memory_rows(cluster)
        return rows
    finally:
        load.close()
        cluster.close()


def _latency_rows(cluster: _BenchCluster, load: Load) -> list[BenchRow]:
    addresses = itertools.cycle(cluster.targets.address.split(","))
    headers = Load({"Foxspring-Request-Id": "bench"})
    direct = headers.run(
        lambda: f"http://{next(addresses)}/services/register/x", CAPACITY / 2, RUN_S
    )
    headers.close()
    rows = []
    for name, number in (("at the owner", 0), ("relayed", 1)):
        runs = [load.run(_url(cluster, number), CAPACITY / 2, RUN_S) for _ in range(3)]
        for share, bound in ((0.5, 3), (0.99, 10)):
            base = choice.percentile(_latencies_ms(direct), share)
            added = sorted(
                choice.percentile(_latencies_ms(r), share) - base for r in runs
            )
            label = f"added latency p{share * 100:.0f} at half load, {name}"
            spread = f"{added[0]:.1f} to {added[-1]:.1f} in 3 runs"
            baseline = f"direct {base:.1f}; {spread}; load {os.getloadavg()[0]:.0f}"
            rows.append(BenchRow(label, f"<= {bound}", added[1], "ms", baseline))
    return rows


def _overload_rows(cluster: _BenchCluster, load: Load) -> list[BenchRow]:
    full = load.run(_url(cluster, 0), CAPACITY, RUN_S)
    double = load.run(_url(cluster, 0), 2 * CAPACITY, RUN_S)
    goodput = _steady_rate_per_s(double) / max(1.0, _steady_rate_per_s(full))
    refused = [s.duration_ms for s in double if s.status in (429, 503)]
    lost = sum(s.status not in (200, 429, 503) for s in double)
    p99 = choice.percentile(refused, 0.99) if refused else 0.0
    most = cluster.targets.query("most")
    return [
        BenchRow(
            "goodput at 2x capacity over 1x",
            ">= 0.9",
            goodput,
            "",
            f"{_steady_rate_per_s(full):.0f}/s at 1x, {CAPACITY:.0f}/s declared",
        ),
        BenchRow(
            "p99 of refusals at 2x capacity",
            "<= 50",
            p99,
            "ms",
            f"{len(refused)} refused, {lost} other of {len(double)}",
        ),
        BenchRow("most requests at once on a target", "<= 8", most, "", "8 slots"),
        BenchRow(
            "whole answers a second through one entry process",
            "",
            _steady_rate_per_s(double),
            "/s",
            f"{2 * CAPACITY:.0f}/s offered",
        ),
    ]


def _memory_rows(cluster: _BenchCluster) -> list[BenchRow]:
    entry = cluster.entries[0]
    before = entry.query("memory")
    host, _, port = entry.address.rpartition(":")
    idle = []
    try:
        for _ in range(IDLE_CONNECTIONS):
            sock = socket.create_connection((host, int(port)))
            sock.sendall(b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
            sock.recv(4_096)
            idle.append(sock)
        after = entry.query("memory")
    finally:
        for sock in idle:
            sock.close()
    name = f"memory of an entry with {IDLE_CONNECTIONS} idle connections"
    return [BenchRow(name, "", after, "MB", f"{before:.1f} before them")]


def _url(cluster: _BenchCluster, number: int) -> Callable[[], str]:
    url = f"http://{cluster.entries[number].address}/services/register/x"
    return lambda: url


def _latencies_ms(samples: list[Sample]) -> list[float]:
    return [sample.duration_ms for sample in samples if sample.status == 200]


def _steady_rate_per_s(samples: list[Sample]) -> float:
    """Return complete answers per second in the second half of the run."""
    ended = [s for s in samples if s.status == 200 and RUN_S / 2 <= s.ended_s <= RUN_S]
    return len(ended) / (RUN_S / 2)


def _ok(samples: list[Sample]) -> int:
    return sum(sample.status == 200 for sample in samples)


if __name__ == "__main__":
    for row in run_bench():
        sys.stdout.write(f"{row}\n")
