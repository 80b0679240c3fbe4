"""State and interfaces shared by the parts of one leadership."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from foxspring_model import Clock

from foxspring_jobs._advice import AdviceCall, AdviceTickets
from foxspring_jobs._commands import (
    Command,
    RegisterTarget,
    RunEnd,
    TargetIncarnation,
    TargetLoss,
)
from foxspring_jobs._interference import Interference
from foxspring_jobs._metrics import Metrics
from foxspring_jobs._operations import Answer
from foxspring_jobs._orders import Order, PollRequest
from foxspring_jobs._session import TargetSession
from foxspring_jobs._stage_times import StageTimes
from foxspring_jobs._state import State

Respond = Callable[[Answer], None]


class LeaderSettings(NamedTuple):
    """Settings of a leader; times are in milliseconds.

    ``keep_ended_ms`` is how long ended jobs can be read. ``longest_lease_ms`` is the
    longest lease that a target accepts, whatever deadline it receives. Targets send
    a heartbeat every ``heartbeat_interval_ms``. ``memory_mb`` is what the process may
    use.
    """

    lease_ms: int = 4_000
    keep_ended_ms: int = 120_000
    longest_lease_ms: int = 10_000
    heartbeat_interval_ms: int = 1_000
    memory_mb: int = 256


class Ports(Protocol):
    """The leader's interface to its surroundings; no method may block."""

    def propose(self, command: Command, done: Callable[[bool], None]) -> None:
        """Append a command; ``done`` gets the outcome on the leader's thread."""

    def poll(self, session: TargetSession, request: PollRequest) -> None:
        """Send a poll; its result arrives as ``on_poll_result``."""

    def order(self, session: TargetSession, order: Order) -> None:
        """Send an order; its result arrives as ``on_order``."""

    def release(self, session: TargetSession) -> None:
        """Close the connections to a target and drop the calls queued for it."""

    def advise(self, call: AdviceCall) -> None:
        """Call the placement service; its answer arrives as ``on_advice``."""

    def lease_valid(self) -> bool:
        """Return whether no other member can lead now."""

    def call_later(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Run an action on the leader's thread after a delay."""


class PendingEnd(NamedTuple):
    """An end to commit; ``number`` is the target's own, or 0 if it lists none."""

    session: TargetSession
    number: int
    end: RunEnd


class LeaderContext:
    """The state of one leadership: its draft, target sessions and pending changes.

    The leader sets three callbacks: ``decide`` proposes what is due, ``register``
    proposes a target's registration and ``declare_lost`` gives up an incarnation of a
    target.
    """

    def __init__(
        self,
        settings: LeaderSettings,
        token: int,
        draft: State,
        ports: Ports,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.metrics = metrics
        self.settings = settings
        self.token = token
        self.draft = draft
        self.ports = ports
        self.clock = clock
        self.deposed = False
        self.pending_ends: list[PendingEnd] = []
        self.lost_targets: list[TargetIncarnation] = []
        self.losses: list[TargetLoss] = []
        self.sessions: dict[str, TargetSession] = {}
        self.session_counts: dict[str, int] = {}
        self.last_incarnations: dict[str, TargetIncarnation] = {}
        self.plan_due = True
        self.interference = Interference()
        self.advice = AdviceTickets()
        self.stage_times = StageTimes(clock, metrics)
        self.decide: Callable[[], None] = lambda: None
        self.register: Callable[[RegisterTarget, Respond], None] = lambda _t, _r: None
        self.declare_lost: Callable[[TargetIncarnation, str], None] = (
            lambda _incarnation, _reason: None
        )
