"""Whether an attempt that failed is followed by another."""

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
    """Allows retries as a share of the requests of the recent past."""

    def __init__(self, percent: int) -> None:
        self.percent = percent
        self.tokens = _BUDGET_CAP

    def record_request(self) -> None:
        """Earn a share of one retry for a first attempt."""
        self.tokens = min(_BUDGET_CAP, self.tokens + self.percent / 100)

    def try_spend(self) -> bool:
        """Take one retry from the budget; false if it is used up."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def is_idempotent(method: str, declared: bool) -> bool:
    """Tell whether a request may run twice without harm."""
    return declared or method in IDEMPOTENT_METHODS


def may_retry(
    answer: RelayAnswer, idempotent: bool, remaining_ms: int, attempts_left: int
) -> bool:
    """Tell whether the verdict and the deadline allow another attempt."""
    if attempts_left <= 0 or remaining_ms < MIN_REMAINING_MS:
        return False
    if answer.verdict == Verdict.RAN:
        return False
    if answer.verdict == Verdict.NOT_RUN:
        return answer.reason not in _FINAL_REASONS
    return idempotent


def consumes_budget(answer: RelayAnswer) -> bool:
    """Tell whether the next attempt adds to the load of the targets.

    A refusal because ownership has moved never came near a target.
    """
    return (
        answer.verdict != Verdict.NOT_RUN or answer.reason not in _BUDGET_EXEMPT_REASONS
    )
