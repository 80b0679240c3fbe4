"""Tables of idempotency keys, first answers and the audit trail."""

import sqlite3
from typing import Any

import msgspec
from foxspring_model import AuditRecord

from foxspring_control.state._records import AnswerRecord, KeyRecord
from foxspring_control.state._tables import Counters

_ENCODER = msgspec.msgpack.Encoder()
_KEY = msgspec.msgpack.Decoder(KeyRecord)
_ANSWER = msgspec.msgpack.Decoder(AnswerRecord)
_AUDIT = msgspec.msgpack.Decoder(AuditRecord)

_KEYS_HELD = "keys_held"


class KeyTable:
    """Idempotency keys."""

    def __init__(self, connection: sqlite3.Connection) -> None:
        self._connection = connection
        self._counters = Counters(connection)

    def get(self, key: str) -> KeyRecord | None:
        """Return the key's record, or None."""
        query = "SELECT body FROM key WHERE key = ?"
        row = self._connection.execute(query, (key,)).fetchone()
        return _KEY.decode(row[0]) if row else None

    def put(self, record: KeyRecord, log_index: int) -> None:
        """Add or replace the key."""
        if self.get(record.key) is None:
            self._counters.increment(_KEYS_HELD)
        self._connection.execute(
            "REPLACE INTO key VALUES (?, ?, ?, ?, ?, ?)",
            (
                record.key,
                record.entry_id,
                int(record.done),
                record.claimed_ms,
                log_index,
                _ENCODER.encode(record),
            ),
        )

    def delete(self, key: str) -> None:
        """Delete the key."""
        self._delete("key = ?", (key,))

    def delete_older(self, claimed_ms: int, limit: int) -> None:
        """Delete up to ``limit`` keys that were claimed before ``claimed_ms``."""
        where = (
            "key IN (SELECT key FROM key WHERE claimed_ms < ? ORDER BY log_index"
            " LIMIT ?)"
        )
        self._delete(where, (claimed_ms, limit))

    def count(self) -> int:
        """Return the number of stored keys."""
        return self._counters.get(_KEYS_HELD)

    def open_of_entry(self, entry_id: str) -> list[KeyRecord]:
        """Return the entry's claims that have no outcome yet."""
        query = "SELECT body FROM key WHERE entry_id = ? AND done = 0 ORDER BY key"
        rows = self._connection.execute(query, (entry_id,))
        return [_KEY.decode(row[0]) for row in rows]

    def _delete(self, where: str, values: tuple[Any, ...]) -> None:
        cursor = self._connection.execute(f"DELETE FROM key WHERE {where}", values)
        left = self._counters.get(_KEYS_HELD) - cursor.rowcount
        self._counters.set(_KEYS_HELD, left)


class AnswerTable:
    """First answers by command kind, operator and change id."""

    def __init__(self, connection: sqlite3.Connection) -> None:
        self._connection = connection

    def get(self, kind: str, who: str, change_id: str) -> AnswerRecord | None:
        """Return the first answer, or None."""
        query = "SELECT body FROM answer WHERE kind = ? AND who = ? AND change_id = ?"
        row = self._connection.execute(query, (kind, who, change_id)).fetchone()
        return _ANSWER.decode(row[0]) if row else None

    def add(self, record: AnswerRecord, log_index: int) -> None:
        """Store an answer."""
        self._connection.execute(
            "INSERT INTO answer VALUES (?, ?, ?, ?, ?, ?)",
            (
                record.kind,
                record.who,
                record.change_id,
                log_index,
                record.at_ms,
                _ENCODER.encode(record),
            ),
        )


class AuditTable:
    """The audit trail."""

    def __init__(self, connection: sqlite3.Connection) -> None:
        self._connection = connection

    def add(self, record: AuditRecord) -> None:
        """Append one record."""
        self._connection.execute(
            "INSERT INTO audit VALUES (?, ?, ?, ?, ?, ?)",
            (
                record["index"],
                record["at_ms"],
                record["who"],
                record["change_id"],
                record["action"],
                _ENCODER.encode(record),
            ),
        )

    def select(
        self, who: str, change_id: str, action: str, since_ms: int, limit: int
    ) -> list[AuditRecord]:
        """Return up to ``limit`` records, newest first; an empty filter matches all."""
        query = (
            "SELECT body FROM audit WHERE (? = '' OR who = ?)"
            " AND (? = '' OR change_id = ?) AND (? = '' OR action = ?)"
            " AND at_ms >= ? ORDER BY log_index DESC LIMIT ?"
        )
        values = (who, who, change_id, change_id, action, action, since_ms, limit)
        rows = self._connection.execute(query, values)
        return [_AUDIT.decode(row[0]) for row in rows]
