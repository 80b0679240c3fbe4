"""State of a target that this entry owns, and the choice between targets."""

import random
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from foxspring_model import OwnedTarget, Resources

from foxspring_entry._health import Health, after_failure, after_success
from foxspring_entry._ledger import ReservationKind, TargetLedger
from foxspring_entry._limiter import ConcurrencyLimit, after_sample
from foxspring_entry._task_state import TargetClock
from foxspring_entry._tasks import TargetTasks

CONTROL_CONNECTIONS = 4
CONTROL_RESERVATION = "control"


class Takeover(NamedTuple):
    """Progress of a takeover from a previous owner whose work may still run.

    The previous owner may send to the target until ``exclusive_from_ms``.
    ``fence_ms`` is the first reading of the target's clock that is known to be
    later than that.
    """

    exclusive_from_ms: int
    fence_ms: int | None = None


class ManagedTarget:
    """State that the owner keeps for one target.

    Nothing is admitted until ``takeover`` is ``None``, because work of a
    previous owner may still be running. ``answering_since_ms`` is when the first
    of the renewals was answered that were all answered since; it is ``None``
    after a renewal without an answer.
    """

    def __init__(
        self,
        owned: OwnedTarget,
        task_lease_ms: int,
        exclusive_from_ms: int,
        now_ms: int,
    ) -> None:
        self.owned = owned
        self.ledger = TargetLedger(owned.info.target_id, owned.info.capacity)
        self.tasks = TargetTasks(self.ledger, task_lease_ms, owned.info.incarnation)
        self.takeover: Takeover | None = Takeover(exclusive_from_ms)
        self.clock = TargetClock()
        self.health = Health()
        self.limits: dict[str, ConcurrencyLimit] = {}
        self.in_flight: dict[str, int] = {}
        self.last_sequence = -1
        self.last_measured_ms = -1
        self.last_contact_ms = now_ms
        self.last_renewal_ms = 0
        self.renewal_in_flight = False
        self.answering_since_ms: int | None = 0
        self.task_calls_in_flight = 0
        connections = min(CONTROL_CONNECTIONS, owned.info.capacity.connections)
        self.ledger.reserve(
            CONTROL_RESERVATION,
            ReservationKind.CONTROL,
            Resources(connections=connections),
        )

    @property
    def target_id(self) -> str:
        """Return the target's id."""
        return self.owned.info.target_id

    def record_release(self, exclusive_from_ms: int) -> None:
        """Record that the previous owner sends nothing after ``exclusive_from_ms``."""
        if self.takeover is not None:
            exclusive_from_ms = min(exclusive_from_ms, self.takeover.exclusive_from_ms)
            self.takeover = self.takeover._replace(exclusive_from_ms=exclusive_from_ms)

    def record_renewal_end(self, answered: bool, now_ms: int) -> None:
        """Record whether a renewal was answered."""
        if not answered:
            self.answering_since_ms = None
        elif self.answering_since_ms is None:
            self.answering_since_ms = now_ms

    def answers_since(self, since_ms: int) -> bool:
        """Return whether all renewals were answered from ``since_ms`` on.

        After a renewal without an answer, earlier calls may still be on the way and
        arrive together with the first one that is answered.
        """
        answering_since_ms = self.answering_since_ms
        return answering_since_ms is not None and answering_since_ms <= since_ms

    def fence_takeover(self, requested_ms: int, reading_ms: int) -> None:
        """Record the first clock reading requested after ``exclusive_from_ms``."""
        takeover = self.takeover
        if takeover is None or takeover.fence_ms is not None:
            return
        if takeover.exclusive_from_ms <= requested_ms:
            self.takeover = takeover._replace(fence_ms=reading_ms)

    def admission_refusal(self, contact_timeout_ms: int, now_ms: int) -> str:
        """Return why the target admits no new work; empty if it does."""
        if self.owned.info.leaving:
            return "target is leaving"
        if self.takeover is not None:
            return "work of the previous owner is not known yet"
        if now_ms - self.last_contact_ms > contact_timeout_ms:
            return "target sent no report or response within the contact timeout"
        return ""

    def can_admit(self, service: str, need: Resources, now_ms: int) -> bool:
        """Return whether one more request of ``service`` may be sent."""
        in_flight = self.in_flight.get(service, 0)
        if self.health.is_on_probation(now_ms) and in_flight > 0:
            return False
        if in_flight >= self.limits.get(service, ConcurrencyLimit()).slots:
            return False
        return need.fits_in(self.ledger.free)

    def available_requests(self, service: str, need: Resources) -> int:
        """Return how many more requests of ``service`` fit on the target."""
        limit = self.limits.get(service, ConcurrencyLimit()).slots
        free = limit - self.in_flight.get(service, 0)
        for have, each in zip(self.ledger.free, need, strict=True):
            if each > 0:
                free = min(free, have // each)
        return max(0, free)

    def begin_request(self, service: str) -> None:
        """Count a request that is sent to the target."""
        self.in_flight[service] = self.in_flight.get(service, 0) + 1

    def end_request(self, service: str) -> int:
        """Stop counting a request as in flight; return the count before."""
        before = self.in_flight.get(service, 0)
        self.in_flight[service] = max(0, before - 1)
        return before

    def record_response(self, service: str, latency_us: int, in_flight: int) -> None:
        """Update the concurrency limit and health after a complete response."""
        limit = self.limits.get(service, ConcurrencyLimit())
        ceiling = max(1, self.owned.info.capacity.slots)
        self.limits[service] = after_sample(limit, latency_us, in_flight, ceiling)
        self.health = after_success(self.health)

    def record_failure(self, now_ms: int, may_eject: bool) -> None:
        """Update the health after a request without a complete response."""
        self.health = after_failure(self.health, now_ms, may_eject)

    def latency_us(self, service: str) -> int:
        """Return the smoothed latency of a service on this target."""
        return int(self.limits.get(service, ConcurrencyLimit()).latency_us)


def choose_target(
    targets: Sequence[ManagedTarget],
    service: str,
    need: Resources,
    avoided_targets: Iterable[str],
    rng: random.Random,
) -> ManagedTarget | None:
    """Choose the better of two random targets ("power of two choices").

    ``targets`` are those with free capacity. The better one has the lower
    expected time: its latency times the share of its slots in use after one
    more request. Targets in ``avoided_targets`` are chosen only if there are no
    others.
    Returns ``None`` if ``targets`` is empty.
    """
    avoided = frozenset(avoided_targets)
    preferred = [target for target in targets if target.target_id not in avoided]
    drawn = preferred or list(targets)
    if not drawn:
        return None
    pair = rng.sample(drawn, min(2, len(drawn)))
    return min(pair, key=lambda target: _expected_us(target, service, need))


def _expected_us(target: ManagedTarget, service: str, need: Resources) -> float:
    in_flight = target.in_flight.get(service, 0)
    free = target.available_requests(service, need)
    return max(1, target.latency_us(service)) * (in_flight + 1) / (in_flight + free + 1)
