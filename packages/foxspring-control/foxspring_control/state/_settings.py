"""Bounds of the replicated state."""

from typing import NamedTuple

_HOUR_MS = 3_600_000
_DAY_MS = 24 * _HOUR_MS


class StateSettings(NamedTuple):
    """Retention and memory bounds; the same on every control member.

    Times are milliseconds of the log's wall clock. ``*_limit`` count rows.
    A row is dropped when it is older than its retention or when more than its
    limit of newer rows exist, but for keys: a claim over the limit is rejected,
    since a key that is forgotten early could run twice. ``page_cache_kb``
    bounds each of the two database connections and may differ between members.
    """

    answer_retention_ms: int = 7 * _DAY_MS
    answer_limit: int = 200_000
    audit_retention_ms: int = 90 * _DAY_MS
    audit_limit: int = 200_000
    job_retention_ms: int = 7 * _DAY_MS
    job_limit: int = 150_000
    key_retention_ms: int = _DAY_MS
    key_limit: int = 100_000
    key_body_limit_bytes: int = 256 * 1024
    configuration_limit: int = 200
    removed_target_limit: int = 5_000
    tasks_per_job_limit: int = 10_000
    prune_interval_entries: int = 64
    prune_batch: int = 2_000
    page_cache_kb: int = 1_024


DEFAULT_STATE_SETTINGS = StateSettings()
