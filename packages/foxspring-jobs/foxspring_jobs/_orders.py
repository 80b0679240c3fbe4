"""Calls from the leader to targets, and their results."""

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple, Protocol

from foxspring_jobs._advice import AdviceCall
from foxspring_jobs._commands import RunKey, TargetLife


class TargetPlace(NamedTuple):
    """An incarnation of a target and the address that it listens on."""

    life: TargetLife
    address: str


class HoldRequest(NamedTuple):
    """A poll that also renews the lease up to a reading of the target's clock.

    The target may discard ends up to ``cursor``. It answers at once if it has newer
    ends, otherwise after ``wait_ms``.
    """

    token: int
    cursor: int
    lease_until: int | None
    wait_ms: int


class RunningRow(NamedTuple):
    """A run that is on a target.

    ``figure`` covers the last half second: the tail latency in milliseconds of a task
    with a latency target, otherwise the millicores that the run used.
    """

    run: RunKey
    checkpoint: str
    percent: int
    figure: int = 0


class FinishedRow(NamedTuple):
    """An end that a target keeps until it is acknowledged."""

    number: int
    run: RunKey
    kind: str
    checkpoint: str


class TargetView(NamedTuple):
    """The runs on a target and the ends that are not yet acknowledged."""

    clock_ms: int
    running: tuple[RunningRow, ...]
    finished: tuple[FinishedRow, ...]
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


class Result(StrEnum):
    """The result of a call to a target.

    After ``NO_ANSWER`` the call may have been carried out, or may still be. ``REFUSED``
    means that nothing listens at the address. With ``OTHER_LIFE`` another target
    answered, with ``REBORN`` the same target after a restart. All other results are
    reported by the target.
    """

    OK = "ok"
    FENCED = "fenced"
    OLD = "old"
    LATE = "late"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    MALFORMED = "malformed"
    UNHEALTHY = "unhealthy"
    OTHER_LIFE = "other_life"
    REBORN = "reborn"
    NO_ANSWER = "no_answer"
    REFUSED = "refused"


class Reading(NamedTuple):
    """A result, with the target's clock reading and view if it sent them."""

    result: Result
    clock_ms: int | None = None
    view: TargetView | None = None


OnReading = Callable[[Reading], None]
OnAdvice = Callable[[tuple[tuple[str, str], ...] | None], None]


class TargetApi(Protocol):
    """Calls to targets; they never block, and never raise for a failed call.

    ``done`` is called once with the outcome, on any thread. Orders to one target are
    sent one after another.
    """

    def hold(self, place: TargetPlace, request: HoldRequest, done: OnReading) -> None:
        """Renew a target's lease and poll it."""

    def order(
        self,
        place: TargetPlace,
        order: Order,
        token: int,
        lease_until: int,
        done: OnReading,
    ) -> None:
        """Send an order with a fencing token, and renew the lease with it."""

    def advise(self, call: AdviceCall, done: OnAdvice) -> None:
        """Request the targets that a step may use.

        ``done`` gets target ids with tickets, or None if the call is unanswered.
        """

    def forget(self, place: TargetPlace) -> None:
        """Close the connections to a target that is lost."""


LeaseUntil = Callable[[], int | None]
