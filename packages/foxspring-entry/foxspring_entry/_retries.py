"""Retry policy: which failed attempts are retried, and the retry budget."""

from foxspring_model import RefusalReason, RelayAnswer, Verdict

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
MIN_REMAINING_MS = 5
_BUDGET_CAP = 20.0
_FINAL_REASONS = frozenset(
    {
        RefusalReason.DEADLINE,
        RefusalReason.MALFORMED,
        RefusalReason.QUOTA,
        RefusalReason.UNKNOWN_SERVICE,
    }
)
_BUDGET_EXEMPT_REASONS = frozenset(
    {
        RefusalReason.DRAINING,
        RefusalReason.LEASE_EXPIRED,
        RefusalReason.LINK_DOWN,
        RefusalReason.NO_TARGET,
        RefusalReason.STALE_OWNER,
    }
)


class RetryBudget:
    """Token bucket that limits retries to a percentage of recent requests."""

    def __init__(self, percent: int) -> None:
        self.percent = percent
        self.tokens = _BUDGET_CAP

    def record_request(self) -> None:
        """Add ``percent`` of one retry to the budget for a first attempt."""
        self.tokens = min(_BUDGET_CAP, self.tokens + self.percent / 100)

    def try_spend(self) -> bool:
        """Spend one retry of the budget; return false if it is exhausted."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def is_idempotent(method: str, declared: bool) -> bool:
    """Return whether a request may run more than once without harm."""
    return declared or method in IDEMPOTENT_METHODS


def may_retry(
    answer: RelayAnswer, idempotent: bool, remaining_ms: int, attempts_left: int
) -> bool:
    """Return whether verdict, deadline and attempt limit allow a retry."""
    if attempts_left <= 0 or remaining_ms < MIN_REMAINING_MS:
        return False
    if answer.verdict == Verdict.RAN:
        return False
    if answer.verdict == Verdict.NOT_RUN:
        return answer.reason not in _FINAL_REASONS
    return idempotent


def consumes_budget(answer: RelayAnswer) -> bool:
    """Return whether a retry after this answer adds load to the targets.

    A request that was refused because ownership moved never reached a target.
    """
    return (
        answer.verdict != Verdict.NOT_RUN or answer.reason not in _BUDGET_EXEMPT_REASONS
    )
