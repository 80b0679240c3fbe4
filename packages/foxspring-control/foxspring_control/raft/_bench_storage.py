"""Benchmarks of log storage under group commit: segment files and SQLite."""

import sqlite3
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from foxspring_control._replication import LogEntry
from foxspring_control.raft._frames import Frame
from foxspring_control.raft._segments import SegmentLog

BATCH_SIZES = (1, 8, 64)
BODY = b"x" * 200
RUN_S = 1.0

WriteBatch = Callable[[list[LogEntry]], None]


class BenchRow(NamedTuple):
    """One measured value and its required bound.

    ``baseline`` is the same value of the alternative implementation, or empty.
    """

    name: str
    bound: str
    value: float
    unit: str
    baseline: str


def _segment_writer(folder: Path) -> WriteBatch:
    log = SegmentLog(folder, 4 * 1024 * 1024)
    log.load(lambda frame: None)
    sequence = iter(range(1, 1 << 40))

    def write(entries: list[LogEntry]) -> None:
        log.write(Frame(next(sequence), 1, "m1", 0, 0, 0, tuple(entries)))
        log.sync()

    return write


def _sqlite_writer(folder: Path) -> WriteBatch:
    connection = sqlite3.connect(folder / "log.db", isolation_level=None)
    connection.execute("PRAGMA journal_mode=WAL")
    connection.execute("PRAGMA synchronous=FULL")
    connection.execute(
        "CREATE TABLE log (log_index INTEGER PRIMARY KEY, term INTEGER,"
        " kind TEXT, body BLOB, at_ms INTEGER)"
    )

    def write(entries: list[LogEntry]) -> None:
        connection.execute("BEGIN IMMEDIATE")
        statement = "INSERT OR REPLACE INTO log VALUES (?, ?, ?, ?, ?)"
        connection.executemany(statement, entries)
        connection.execute("COMMIT")

    return write


def _entries_per_second(write: WriteBatch, batch: int) -> float:
    start_s = time.perf_counter()
    written = 0
    while time.perf_counter() - start_s < RUN_S:
        numbers = range(written + 1, written + batch + 1)
        write([LogEntry(n, 1, "PlaceTasks", BODY, 0) for n in numbers])
        written += batch
    return written / (time.perf_counter() - start_s)


def _measure(make_writer: Callable[[Path], WriteBatch], batch: int) -> float:
    with tempfile.TemporaryDirectory() as folder:
        return _entries_per_second(make_writer(Path(folder)), batch)


def bench_storage() -> list[BenchRow]:
    """Measure synced 200-byte entries per second, by entries per sync."""
    rows = []
    for batch in BATCH_SIZES:
        sqlite = _measure(_sqlite_writer, batch)
        segment = _measure(_segment_writer, batch)
        name = f"log storage, {batch} entries a sync"
        rows.append(BenchRow(name, "-", segment, "entries/s", f"sqlite3 {sqlite:.0f}"))
    return rows
