"""Outcomes of a request, with what is known about whether it has run."""

from dataclasses import dataclass
from enum import StrEnum


class Verdict(StrEnum):
    """Whether a request may have run on a target."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class RefusalReason(StrEnum):
    """Why nothing of a request was sent to a target."""

    DEADLINE = "deadline"
    DRAINING = "draining"
    LEASE_EXPIRED = "lease_expired"
    LINK_DOWN = "link_down"
    MALFORMED = "malformed"
    NO_CONTROL = "no_control"
    NO_CAPACITY = "no_room"
    NO_TARGET = "no_target"
    OVERLOADED = "overloaded"
    QUOTA = "quota"
    STALE_OWNER = "stale_owner"
    TARGET_UNREACHABLE = "target_unreachable"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_SERVICE = "unknown_service"


@dataclass(frozen=True)
class Answered:
    """The target ran the request and this is its complete answer.

    ``status`` is an HTTP status; ``headers`` are name and value pairs.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    verdict: Verdict = Verdict.RAN


@dataclass(frozen=True)
class Refused:
    """No byte of the request was sent to a target; it may safely be retried.

    ``retry_after_ms`` is the delay in milliseconds before a retry is useful; zero
    means that it may be retried immediately.
    """

    reason: RefusalReason
    detail: str = ""
    retry_after_ms: int = 0
    verdict: Verdict = Verdict.NOT_RUN


@dataclass(frozen=True)
class Uncertain:
    """Bytes of the request were sent but no complete answer was received."""

    detail: str
    verdict: Verdict = Verdict.MAY_HAVE_RUN


Outcome = Answered | Refused | Uncertain
