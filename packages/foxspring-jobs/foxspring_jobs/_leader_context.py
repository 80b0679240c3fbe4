"""What the parts of one leadership share."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from foxspring_model import Clock

from foxspring_jobs._advice import AdviceCall, AdviceTickets
from foxspring_jobs._commands import Command, RegisterTarget, RunEnd, TargetLife
from foxspring_jobs._interference import Interference
from foxspring_jobs._metrics import Metrics
from foxspring_jobs._operations import Answer
from foxspring_jobs._orders import HoldRequest, Order
from foxspring_jobs._session import TargetSession
from foxspring_jobs._state import State

Respond = Callable[[Answer], None]


class LeaderSettings(NamedTuple):
    """Times in milliseconds.

    ``keep_ended_ms`` is how long ended jobs show. ``longest_lease_ms`` is what a
    target keeps of a lease at most, whatever it is given.
    """

    lease_ms: int = 4_000
    keep_ended_ms: int = 120_000
    longest_lease_ms: int = 10_000


class Ports(Protocol):
    """What the leader acts through; no method may block."""

    def propose(self, command: Command, done: Callable[[bool], None]) -> None:
        """Append a command; call back on the leader's thread once settled."""

    def poll(self, session: TargetSession, request: HoldRequest) -> None:
        """Send a hold; its reading comes back as ``on_poll_result``."""

    def order(self, session: TargetSession, order: Order) -> None:
        """Send an order; its reading comes back as ``on_order``."""

    def release(self, session: TargetSession) -> None:
        """Drop the connections to a target and what waits for it."""

    def advise(self, call: AdviceCall) -> None:
        """Ask the placement service; its answer comes back as ``on_advice``."""

    def lease_valid(self) -> bool:
        """Tell whether no other member can lead now."""

    def later(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Run an action on the leader's thread after a delay."""


class PendingEnd(NamedTuple):
    """An end to commit; ``number`` is the target's own, 0 if it lists none."""

    session: TargetSession
    number: int
    end: RunEnd


class LeaderContext:
    """One leadership: its draft of the state, its targets, what is to commit.

    ``decide`` proposes what is due, ``register`` a target's registration and
    ``declare_lost`` gives up a life; the leader sets them.
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
        self.ends: list[PendingEnd] = []
        self.lost_targets: list[TargetLife] = []
        self.sessions: dict[str, TargetSession] = {}
        self.session_counts: dict[str, int] = {}
        self.last_incarnations: dict[str, TargetLife] = {}
        self.plan_due = True
        self.interference = Interference()
        self.advice = AdviceTickets()
        self.decide: Callable[[], None] = lambda: None
        self.register: Callable[[RegisterTarget, Respond], None] = lambda _t, _r: None
        self.declare_lost: Callable[[TargetLife, str], None] = lambda _life, _reason: (
            None
        )
