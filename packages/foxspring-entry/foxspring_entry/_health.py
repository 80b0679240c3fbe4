"""When a sick target is left out, and when it is tried again."""

from typing import NamedTuple

FAILURES_TO_EJECT = 3
FIRST_EJECTION_MS = 1_000
LONGEST_EJECTION_MS = 30_000
MAX_EJECTED_PERCENT = 34


class Health(NamedTuple):
    """Consecutive failures of a target and how long it is ejected."""

    failures: int = 0
    ejections: int = 0
    ejected_until_ms: int = 0

    def is_ejected(self, now_ms: int) -> bool:
        """Tell whether requests should go elsewhere at ``now_ms``."""
        return now_ms < self.ejected_until_ms

    def is_on_probation(self, now_ms: int) -> bool:
        """Tell whether one request at a time should probe the target."""
        return self.ejections > 0 and not self.is_ejected(now_ms)


def after_success(health: Health) -> Health:
    """Return the health of a target that answered."""
    if health.failures == 0 and health.ejections == 0:
        return health
    return Health()


def after_failure(health: Health, now_ms: int, may_eject: bool) -> Health:
    """Return the health after a request without a whole answer.

    A target is ejected after consecutive failures, or after one while it is on
    probation, for twice as long each time. ``may_eject`` is false when too many
    are ejected already.
    """
    failures = health.failures + 1
    due = failures >= FAILURES_TO_EJECT or health.is_on_probation(now_ms)
    if not due or not may_eject or health.is_ejected(now_ms):
        return health._replace(failures=failures)
    for_ms = min(LONGEST_EJECTION_MS, FIRST_EJECTION_MS << min(health.ejections, 10))
    return Health(failures, health.ejections + 1, now_ms + for_ms)


def may_eject(ejected: int, total: int) -> bool:
    """Tell whether one more of ``total`` targets may be ejected."""
    return (ejected + 1) * 100 <= total * MAX_EJECTED_PERCENT
