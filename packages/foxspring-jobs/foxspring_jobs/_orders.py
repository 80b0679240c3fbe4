"""Calls from the leader to targets, and their results."""

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple, Protocol

from foxspring_jobs._advice import AdviceCall
from foxspring_jobs._commands import RunKey, TargetIncarnation


class TargetEndpoint(NamedTuple):
    """An incarnation of a target and the address that it listens on."""

    incarnation: TargetIncarnation
    address: str


class PollRequest(NamedTuple):
    """A poll that also renews the lease up to a reading of the target's clock.

    The target may discard ends up to ``cursor``. It answers at once if it has newer
    ends, otherwise after ``wait_ms``.
    """

    token: int
    cursor: int
    lease_until: int | None
    wait_ms: int


class ReportedRun(NamedTuple):
    """A run that a target reports as running.

    ``measurement`` covers the last half second: the tail latency in milliseconds of a
    task with a latency target, otherwise the millicores that the run used.
    """

    run: RunKey
    checkpoint: str
    percent: int
    measurement: int = 0


class ReportedEnd(NamedTuple):
    """The end of a run; the target reports it until it is acknowledged."""

    number: int
    run: RunKey
    kind: str
    checkpoint: str


class TargetView(NamedTuple):
    """The runs on a target and the ends that are not yet acknowledged."""

    clock_ms: int
    running: tuple[ReportedRun, ...]
    finished: tuple[ReportedEnd, ...]
    complete: bool = True


class StartOrder(NamedTuple):
    """Start a run; the checkpoint and the ticket may be empty."""

    run: RunKey
    payload: str
    checkpoint: str = ""
    ticket: str = ""


class StopOrder(NamedTuple):
    """Stop a run; the target then lists its end."""

    run: RunKey


class PaceOrder(NamedTuple):
    """Limit a run to a share of its CPU time."""

    run: RunKey
    percent: int


Order = StartOrder | StopOrder | PaceOrder


class ResultKind(StrEnum):
    """How a call to a target ended.

    After ``NO_ANSWER`` the call may have been carried out, or may still be. ``REFUSED``
    means that the connection was refused, which does not show that the target has
    ended: something between may refuse it. With ``OTHER_TARGET`` another target
    answered, with ``RESTARTED`` the same target after a restart. All other kinds are
    reported by the target.
    """

    OK = "ok"
    FENCED = "fenced"
    OLD = "old"
    LATE = "late"
    NO_CAPACITY = "no_room"
    NO_TICKET = "no_ticket"
    MALFORMED = "malformed"
    UNHEALTHY = "unhealthy"
    OTHER_TARGET = "other_life"
    RESTARTED = "reborn"
    NO_ANSWER = "no_answer"
    REFUSED = "refused"


class TargetResult(NamedTuple):
    """A call's result, with the target's clock reading and view if it sent them."""

    kind: ResultKind
    clock_ms: int | None = None
    view: TargetView | None = None


OnTargetResult = Callable[[TargetResult], None]
OnAdvice = Callable[[tuple[tuple[str, str], ...] | None], None]


class TargetApi(Protocol):
    """Calls to targets; they never block, and never raise for a failed call.

    ``done`` is called once with the outcome, on any thread. Orders to one target are
    sent one after another.
    """

    def poll(
        self, endpoint: TargetEndpoint, request: PollRequest, done: OnTargetResult
    ) -> None:
        """Renew a target's lease and poll it."""

    def order(
        self,
        endpoint: TargetEndpoint,
        order: Order,
        token: int,
        lease_until: int,
        done: OnTargetResult,
    ) -> None:
        """Send an order with a fencing token, and renew the lease with it."""

    def advise(self, call: AdviceCall, done: OnAdvice) -> None:
        """Request the targets that a step may use.

        ``done`` gets target ids with tickets, or None if the call is unanswered.
        """

    def disconnect(self, endpoint: TargetEndpoint) -> None:
        """Close the connections to a target that is lost."""


LeaseUntil = Callable[[], int | None]
