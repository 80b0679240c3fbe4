"""What the leader asks of a target, and what comes back."""

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple, Protocol

from foxspring_jobs._advice import AdviceCall
from foxspring_jobs._commands import RunKey, TargetLife


class TargetPlace(NamedTuple):
    """Which life of a target a call is for, and where it listens."""

    life: TargetLife
    address: str


class HoldRequest(NamedTuple):
    """Renew the lease up to a reading of the target's clock, and look.

    Ends up to ``cursor`` may be forgotten. The target answers at once if it
    has ends to tell, else after ``wait_ms``.
    """

    token: int
    cursor: int
    lease_until: int | None
    wait_ms: int


class RunningRow(NamedTuple):
    """A run that is on a target.

    ``figure`` is about the last half second: the tail in milliseconds of a
    task with a latency target, else the cores in thousandths it used.
    """

    run: RunKey
    checkpoint: str
    percent: int
    figure: int = 0


class FinishedRow(NamedTuple):
    """An end that a target keeps until it is told to forget it."""

    number: int
    run: RunKey
    kind: str
    checkpoint: str


class TargetView(NamedTuple):
    """What a target runs, and the ends it has not been told to forget."""

    clock_ms: int
    running: tuple[RunningRow, ...]
    finished: tuple[FinishedRow, ...]
    complete: bool = True


class StartOrder(NamedTuple):
    """Start a run; the checkpoint and ticket may be empty."""

    run: RunKey
    payload: str
    checkpoint: str = ""
    ticket: str = ""


class StopOrder(NamedTuple):
    """Stop a run; the target lists its end."""

    run: RunKey


class PaceOrder(NamedTuple):
    """Let a run use only a share of its processor time."""

    run: RunKey
    percent: int


Order = StartOrder | StopOrder | PaceOrder


class Result(StrEnum):
    """How a target took a call.

    ``NO_ANSWER`` may have been carried out or may be later. ``REFUSED`` means
    that nothing listens at the address. ``OTHER_LIFE`` names another target;
    ``REBORN`` the same one, started again. All others are the target's word.
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
    """A result with the target's clock, if it told it, and its view."""

    result: Result
    clock_ms: int | None = None
    view: TargetView | None = None


OnReading = Callable[[Reading], None]
OnAdvice = Callable[[tuple[tuple[str, str], ...] | None], None]


class TargetApi(Protocol):
    """The calls to targets; they never block, and never raise for a failed call.

    ``done`` is called once with what became of the call, on any thread. Orders to
    one target go out one after the other.
    """

    def hold(self, place: TargetPlace, request: HoldRequest, done: OnReading) -> None:
        """Renew a lease and look at the target."""

    def order(
        self,
        place: TargetPlace,
        order: Order,
        token: int,
        lease_until: int,
        done: OnReading,
    ) -> None:
        """Give an order under a token, and renew the lease with it."""

    def advise(self, call: AdviceCall, done: OnAdvice) -> None:
        """Ask which targets a step may use: ids and tickets, none if unanswered."""

    def forget(self, place: TargetPlace) -> None:
        """Close the connections to a target that is gone."""


LeaseUntil = Callable[[], int | None]
