"""Benchmarks of the replicated log.

All members run in this process over real links with real syncs, so the results
of several members share one interpreter.
"""

import resource
import statistics
import sys
import threading
import time
from collections.abc import Callable

from foxspring_control._replication import ProposeOutcome
from foxspring_control.raft._bench_cluster import (
    DEFAULT_PING_MS,
    LinkCluster,
    LinkMember,
    wait_until,
)
from foxspring_control.raft._bench_storage import BenchRow, bench_storage

BODY = b"x" * 200
IN_FLIGHT = 64
THROUGHPUT_S = 3.0
LATENCY_SAMPLES = 300
IDLE_S = 5.0
TASK_STARTS_PER_S = 160
TASK_START_DURATION_S = 4.0
FAILOVERS = 8
CATCH_UP_CHANGES = 500
STABILIZE_S = 1.5
SLOW_PING_MS = 1_000

FAILOVER_BOUND = "<= 2 s"
IDLE_BYTES_BOUND = "<= 3 KB/s"
IDLE_CPU_BOUND = "<= 1.1 % of a core"


class _LoadGenerator:
    """Keeps proposals in flight and counts the applied ones."""

    def __init__(self, leader: LinkMember) -> None:
        self.leader = leader
        self.applied = 0
        self.running = True
        self.lock = threading.Lock()

    def propose(self) -> None:
        if self.leader.log is not None:
            self.leader.log.propose("Bench", BODY, self._on_done)

    def _on_done(self, outcome: ProposeOutcome) -> None:
        with self.lock:
            self.applied += outcome.status == "applied"
        if self.running:
            self.propose()


def _changes_per_second(leader: LinkMember) -> float:
    generator = _LoadGenerator(leader)
    start_s = time.perf_counter()
    for _ in range(IN_FLIGHT):
        generator.propose()
    time.sleep(THROUGHPUT_S)
    generator.running = False
    return generator.applied / (time.perf_counter() - start_s)


def _latencies_ms(leader: LinkMember) -> list[float]:
    samples = []
    for _ in range(LATENCY_SAMPLES):
        start_s = time.perf_counter()
        leader.propose(BODY)
        samples.append((time.perf_counter() - start_s) * 1_000)
    return sorted(samples)


def bench_commit(members: int) -> list[BenchRow]:
    """Measure throughput with 64 changes in flight and latency with one."""
    cluster = LinkCluster(members)
    try:
        leader = cluster.leader()
        latencies = _latencies_ms(leader)
        rate = _changes_per_second(leader)
    finally:
        cluster.stop()
    name = f"{members} members"
    p99 = latencies[len(latencies) * 99 // 100]
    return [
        BenchRow(f"committed changes, {name}", ">= 160 /s", rate, "/s", ""),
        BenchRow(f"commit p50, {name}", "-", statistics.median(latencies), "ms", ""),
        BenchRow(f"commit p99, {name}", "-", p99, "ms", ""),
    ]


def bench_task_starts() -> list[BenchRow]:
    """Measure the CPU share of 3 members at the peak rate of task starts."""
    cluster = LinkCluster(3)
    try:
        leader = cluster.leader()
        cpu = _cpu_s()
        start_s = time.perf_counter()
        generator = _LoadGenerator(leader)
        generator.running = False
        for started in range(int(TASK_STARTS_PER_S * TASK_START_DURATION_S)):
            time.sleep(
                max(0.0, start_s + started / TASK_STARTS_PER_S - time.perf_counter())
            )
            generator.propose()
        seconds = time.perf_counter() - start_s
        cpu = (_cpu_s() - cpu) / seconds * 100
    finally:
        cluster.stop()
    name = f"processor of 3 members together at {TASK_STARTS_PER_S} changes/s"
    return [BenchRow(name, "<= 50 % of a core", cpu, "%", "")]


def bench_failover() -> list[BenchRow]:
    """Measure the time from the loss of the leader to the next commit."""
    times = []
    for seed in range(FAILOVERS):
        cluster = LinkCluster(3, seed=seed)
        try:
            times.append(_failover_s(cluster))
        finally:
            cluster.stop()
    name = f"leader killed to next commit, {FAILOVERS} runs"
    return [
        BenchRow(f"{name}, median", FAILOVER_BOUND, statistics.median(times), "s", ""),
        BenchRow(f"{name}, worst", FAILOVER_BOUND, max(times), "s", ""),
    ]


def _failover_s(cluster: LinkCluster) -> float:
    leader = cluster.leader()
    leader.propose(BODY)
    time.sleep(STABILIZE_S)
    start_s = time.perf_counter()
    cluster.kill(leader)
    while cluster.leader().propose(BODY).status != "applied":
        pass
    return time.perf_counter() - start_s


def bench_catch_up() -> list[BenchRow]:
    """Measure how long a new member takes to apply 500 changes."""
    rows = []
    for method, snapshot_every in (("entries", 5_000), ("snapshot", 100)):
        cluster = LinkCluster(3, snapshot_every)
        try:
            seconds = _catch_up_s(cluster)
        finally:
            cluster.stop()
        name = f"catch-up after {CATCH_UP_CHANGES} changes by {method}"
        rows.append(BenchRow(name, "<= 4 s", seconds, "s", ""))
    return rows


def _catch_up_s(cluster: LinkCluster) -> float:
    leader = cluster.leader()
    for _ in range(CATCH_UP_CHANGES):
        leader.propose(BODY)
    new_member = cluster.add("m9")
    if leader.log is None:
        raise RuntimeError("the leader has no log; start the cluster first")
    start_s = time.perf_counter()
    leader.log.add_member(new_member.member, lambda outcome: None)
    wait_until(
        lambda: len(new_member.state_machine.bodies) == CATCH_UP_CHANGES,
        "the member catches up",
    )
    return time.perf_counter() - start_s


def bench_idle(members: int, ping_ms: int = DEFAULT_PING_MS) -> list[BenchRow]:
    """Measure traffic and CPU share of idle members."""
    cluster = LinkCluster(members, ping_ms=ping_ms)
    try:
        leader = cluster.leader()
        time.sleep(STABILIZE_S)
        follower = next(m for m in cluster.members if m is not leader)
        cpu = _cpu_s()
        before = _transferred_bytes(leader) + _transferred_bytes(follower)
        time.sleep(IDLE_S)
        after = _transferred_bytes(leader) + _transferred_bytes(follower)
        cpu = (_cpu_s() - cpu) / IDLE_S / members * 100
    finally:
        cluster.stop()
    rates = [(a - b) / IDLE_S / 1_000 for a, b in zip(after, before, strict=True)]
    name = f"{members} members, pings every {ping_ms} ms"
    labels = (
        f"idle sent, leader of {name}",
        f"idle received, leader of {name}",
        f"idle sent, follower of {name}",
        f"idle received, follower of {name}",
    )
    rows = [
        BenchRow(label, IDLE_BYTES_BOUND, rate, "KB/s", "")
        for label, rate in zip(labels, rates, strict=True)
    ]
    return [
        *rows,
        BenchRow(f"idle processor, mean of {name}", IDLE_CPU_BOUND, cpu, "%", ""),
    ]


def _transferred_bytes(member: LinkMember) -> list[int]:
    return [member.link.bytes_sent, member.link.bytes_received]


def _cpu_s() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def run_bench() -> list[BenchRow]:
    """Run all benchmarks of the replicated log; takes about a minute."""
    benchmarks: list[Callable[[], list[BenchRow]]] = [
        bench_storage,
        lambda: bench_commit(3),
        lambda: bench_commit(5),
        bench_task_starts,
        bench_failover,
        bench_catch_up,
        lambda: bench_idle(3),
        lambda: bench_idle(5),
        lambda: bench_idle(7),
        lambda: bench_idle(7, ping_ms=SLOW_PING_MS),
    ]
    return [row for benchmark in benchmarks for row in benchmark()]


if __name__ == "__main__":
    for row in run_bench():
        sys.stdout.write(
            f"{row.name:60} {row.value:10.2f} {row.unit:9} "
            f"bound {row.bound:20} {row.baseline}\n"
        )
