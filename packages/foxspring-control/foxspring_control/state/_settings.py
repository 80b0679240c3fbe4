"""Retention and size limits of the replicated state."""

from typing import NamedTuple

_HOUR_MS = 3_600_000
_DAY_MS = 24 * _HOUR_MS


class StateSettings(NamedTuple):
    """Retention and size limits; they must be the same on every control member.

    Times are milliseconds of the log's wall clock; ``*_limit`` are numbers of
    rows. A row is deleted when it is older than its retention or when it is not
    among the newest rows within its limit. Keys are an exception: a claim over
    ``key_limit`` is rejected, because the request of a key that is deleted early
    could run twice. ``page_cache_kb`` limits each of the two database
    connections; only it may differ between members.
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
