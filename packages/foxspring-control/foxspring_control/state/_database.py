"""Database file of the state: connections, transactions, snapshots, digest."""

import hashlib
import logging
import os
import sqlite3
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from foxspring_control.state._schema import (
    APPLICATION_ID,
    PRIMARY_KEYS,
    SCHEMA,
    SCHEMA_VERSION,
    TABLES,
)

_LOG = logging.getLogger(__name__)

_COPY_CHUNK_BYTES = 256 * 1024


class Database:
    """One SQLite file with one connection for writes and one for reads.

    Only the log's thread writes. Readers on other threads share the second
    connection and see the last committed transaction. Commits are not synced
    individually, because the log can apply its entries again; ``sync`` makes all
    committed transactions durable.

    A damaged file is renamed on opening and replaced by an empty database; the
    log then installs its snapshot and applies its entries again.
    """

    def __init__(self, path: Path, page_cache_kb: int) -> None:
        self.path = path
        self._page_cache_kb = page_cache_kb
        self._write_lock = threading.RLock()
        self._read_lock = threading.RLock()
        if not _is_intact(path):
            _move_damaged_file(path)
        self._open()

    def _open(self) -> None:
        self.writer = self._connect()
        if self.writer.execute("PRAGMA user_version").fetchone()[0] == 0:
            self._create()
        self._reader = self._connect()
        self._reader.execute("PRAGMA query_only=1")

    def _connect(self) -> sqlite3.Connection:
        connection = sqlite3.connect(
            self.path, isolation_level=None, check_same_thread=False
        )
        connection.execute("PRAGMA journal_mode=WAL")
        connection.execute("PRAGMA synchronous=NORMAL")
        connection.execute(f"PRAGMA cache_size=-{self._page_cache_kb}")
        connection.execute("PRAGMA temp_store=FILE")
        connection.execute("PRAGMA journal_size_limit=4194304")
        return connection

    def _create(self) -> None:
        self.writer.executescript(
            f"BEGIN; {SCHEMA} PRAGMA application_id={APPLICATION_ID};"
            f" PRAGMA user_version={SCHEMA_VERSION}; COMMIT;"
        )

    @contextmanager
    def writing(self) -> Iterator[sqlite3.Connection]:
        """Run the block in a transaction; roll it back if the block raises."""
        with self._write_lock:
            self.writer.execute("BEGIN IMMEDIATE")
            try:
                yield self.writer
            except BaseException:
                self.writer.execute("ROLLBACK")
                raise
            self.writer.execute("COMMIT")

    @contextmanager
    def reading(self) -> Iterator[sqlite3.Connection]:
        """Run the block with a consistent view of the committed state."""
        with self._read_lock:
            self._reader.execute("BEGIN")
            try:
                yield self._reader
            finally:
                self._reader.execute("COMMIT")

    def sync(self) -> None:
        """Make all commits durable and truncate the write-ahead log.

        Raises:
            OSError: the checkpoint was blocked.
        """
        with self._write_lock, self._read_lock:
            row = self.writer.execute("PRAGMA wal_checkpoint(TRUNCATE)").fetchone()
        if row[0] != 0:
            raise OSError(f"checkpoint of {self.path} was blocked; retry it")

    def write_snapshot(self, path: Path) -> None:
        """Write a compact copy of the committed state to ``path`` and sync it."""
        path.unlink(missing_ok=True)
        self.sync()
        with self._write_lock:
            self.writer.execute("VACUUM INTO ?", (str(path),))
        _sync_file(path)
        _sync_folder(path.parent)

    def install_snapshot(self, path: Path) -> None:
        """Replace the database file with a copy of the snapshot at ``path``."""
        staged = self.path.with_suffix(".installing")
        _copy_synced(path, staged)
        with self._write_lock, self._read_lock:
            self.close()
            os.replace(staged, self.path)
            _sync_folder(self.path.parent)
            self._open()

    def digest(self) -> str:
        """Return a digest of every row, read in primary key order."""
        digest = hashlib.blake2b(digest_size=16)
        with self.reading() as connection:
            for table in TABLES:
                digest.update(table.encode())
                order = PRIMARY_KEYS[table]
                for row in connection.execute(
                    f"SELECT * FROM {table} ORDER BY {order}"
                ):
                    digest.update(repr(row).encode())
        return digest.hexdigest()

    def close(self) -> None:
        """Close both connections; the last close checkpoints the write-ahead log."""
        with self._write_lock, self._read_lock:
            self._reader.close()
            self.writer.close()


def _is_intact(path: Path) -> bool:
    if not path.exists():
        return True
    connection = sqlite3.connect(path)
    try:
        return bool(_pragma(connection, "quick_check") == "ok")
    except sqlite3.OperationalError:
        raise
    except sqlite3.DatabaseError:
        return False
    finally:
        connection.close()


def _move_damaged_file(path: Path) -> None:
    damaged_path = path.with_suffix(".damaged")
    _LOG.error("event=state_damaged file=%s kept_as=%s", path, damaged_path)
    os.replace(path, damaged_path)
    for suffix in ("-wal", "-shm"):
        Path(f"{path}{suffix}").unlink(missing_ok=True)
    _sync_folder(path.parent)


def snapshot_applied_index(path: Path) -> int:
    """Return the applied index of the snapshot at ``path``.

    Raises:
        ValueError: the file is not a complete snapshot with this schema version.
    """
    try:
        connection = sqlite3.connect(f"file:{path}?mode=ro&immutable=1", uri=True)
    except sqlite3.Error as error:
        raise ValueError(f"snapshot {path} can't be opened: {error}") from error
    try:
        return _checked_index(connection, path)
    except sqlite3.DatabaseError as error:
        raise ValueError(f"snapshot {path} is damaged: {error}") from error
    finally:
        connection.close()


def _checked_index(connection: sqlite3.Connection, path: Path) -> int:
    if _pragma(connection, "application_id") != APPLICATION_ID:
        raise ValueError(f"{path} is not a snapshot of a foxspring state")
    version = _pragma(connection, "user_version")
    if version != SCHEMA_VERSION:
        raise ValueError(
            f"snapshot {path} has schema {version}, this program has"
            f" {SCHEMA_VERSION}; run the same version on every control member"
        )
    if _pragma(connection, "quick_check") != "ok":
        raise ValueError(f"snapshot {path} is damaged; fetch it again")
    query = "SELECT value FROM counter WHERE name = 'applied_index'"
    row = connection.execute(query).fetchone()
    return int(row[0]) if row else 0


def _pragma(connection: sqlite3.Connection, name: str) -> Any:
    return connection.execute(f"PRAGMA {name}").fetchone()[0]


def _copy_synced(source: Path, destination: Path) -> None:
    with source.open("rb") as reader, destination.open("wb") as writer:
        while chunk := reader.read(_COPY_CHUNK_BYTES):
            writer.write(chunk)
        writer.flush()
        os.fsync(writer.fileno())


def _sync_file(path: Path) -> None:
    with path.open("rb+") as file:
        os.fsync(file.fileno())


def _sync_folder(path: Path) -> None:
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
