"""Deletion of rows past their retention or row limit.

It depends only on the log's indexes and clock: every replica deletes the same
rows at the same log entry, so their digests stay equal.
"""

from foxspring_control.state._records import Moment
from foxspring_control.state._transaction import Transaction

_ANSWERS_BY_AGE = """
DELETE FROM answer WHERE (kind, who, change_id) IN (
    SELECT kind, who, change_id FROM answer
    WHERE log_index < :newest AND (at_ms < :oldest OR log_index <= :beyond)
    ORDER BY log_index LIMIT :batch)
"""
_AUDIT_BY_AGE = """
DELETE FROM audit WHERE log_index IN (
    SELECT log_index FROM audit WHERE at_ms < :oldest OR log_index <= :beyond
    ORDER BY log_index LIMIT :batch)
"""
_NEWEST_OVER_LIMIT = "SELECT log_index FROM {} ORDER BY log_index DESC LIMIT 1 OFFSET ?"
_ENDED_JOBS = """
SELECT number, job_id FROM job WHERE ended_ms > 0
    AND (ended_ms < ? OR number <= ?) ORDER BY ended_ms, number LIMIT ?
"""


def prune(transaction: Transaction, moment: Moment) -> None:
    """Delete at most one batch of old rows from each bounded table."""
    settings = transaction.settings
    connection = transaction.tables.connection
    _delete_answers(transaction, moment)
    connection.execute(
        _AUDIT_BY_AGE,
        {
            "oldest": moment.at_ms - settings.audit_retention_ms,
            "beyond": _newest_index_over_limit(
                transaction, "audit", settings.audit_limit
            ),
            "batch": settings.prune_batch,
        },
    )
    _delete_jobs(transaction, moment)
    oldest_key = moment.at_ms - settings.key_retention_ms
    transaction.tables.keys.delete_older(oldest_key, settings.prune_batch)


def _delete_answers(transaction: Transaction, moment: Moment) -> None:
    settings = transaction.settings
    transaction.tables.connection.execute(
        _ANSWERS_BY_AGE,
        {
            "newest": moment.log_index,
            "oldest": moment.at_ms - settings.answer_retention_ms,
            "beyond": _newest_index_over_limit(
                transaction, "answer", settings.answer_limit
            ),
            "batch": settings.prune_batch,
        },
    )


def _delete_jobs(transaction: Transaction, moment: Moment) -> None:
    settings = transaction.settings
    connection = transaction.tables.connection
    newest_over_limit = (
        transaction.tables.counters.get("job_number") - settings.job_limit
    )
    oldest = moment.at_ms - settings.job_retention_ms
    rows = connection.execute(
        _ENDED_JOBS, (oldest, newest_over_limit, settings.prune_batch)
    )
    for number, job_id in rows.fetchall():
        connection.execute("DELETE FROM task WHERE job_id = ?", (job_id,))
        connection.execute("DELETE FROM job WHERE number = ?", (number,))


def _newest_index_over_limit(transaction: Transaction, table: str, limit: int) -> int:
    query = _NEWEST_OVER_LIMIT.format(table)
    row = transaction.tables.connection.execute(query, (limit,)).fetchone()
    return int(row[0]) if row else 0
