"""Outlier ejection: when a failing target is ejected and probed again."""

from typing import NamedTuple

FAILURES_TO_EJECT = 3
FIRST_EJECTION_MS = 1_000
LONGEST_EJECTION_MS = 30_000
MAX_EJECTED_PERCENT = 34


class Health(NamedTuple):
    """Consecutive failures and ejections of a target."""

    failures: int = 0
    ejections: int = 0
    ejected_until_ms: int = 0

    def is_ejected(self, now_ms: int) -> bool:
        """Return whether the target should get no requests at ``now_ms``."""
        return now_ms < self.ejected_until_ms

    def is_on_probation(self, now_ms: int) -> bool:
        """Return whether the target should get only one request at a time."""
        return self.ejections > 0 and not self.is_ejected(now_ms)


def after_success(health: Health) -> Health:
    """Return the health after a complete response."""
    if health.failures == 0 and health.ejections == 0:
        return health
    return Health()


def after_failure(health: Health, now_ms: int, may_eject: bool) -> Health:
    """Return the health after a request without a complete response.

    A target is ejected after ``FAILURES_TO_EJECT`` consecutive failures, or
    after one while on probation; each ejection lasts twice as long as the one
    before, up to ``LONGEST_EJECTION_MS``. ``may_eject`` is false if too many
    targets are ejected already.
    """
    failures = health.failures + 1
    due = failures >= FAILURES_TO_EJECT or health.is_on_probation(now_ms)
    if not due or not may_eject or health.is_ejected(now_ms):
        return health._replace(failures=failures)
    duration_ms = min(
        LONGEST_EJECTION_MS, FIRST_EJECTION_MS << min(health.ejections, 10)
    )
    return Health(failures, health.ejections + 1, now_ms + duration_ms)


def may_eject(ejected: int, total: int) -> bool:
    """Return whether one more of ``total`` targets may be ejected."""
    return (ejected + 1) * 100 <= total * MAX_EJECTED_PERCENT
