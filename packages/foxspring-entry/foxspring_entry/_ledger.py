"""The one account of what a target holds; nothing reaches a target but through it."""

from enum import StrEnum
from typing import NamedTuple

from foxspring_model import CHECKS, NOTHING, Invariant, Resources


class HoldKind(StrEnum):
    """What holds a part of a target."""

    REQUEST = "request"
    TASK = "task"
    CONTROL = "control"


class Hold(NamedTuple):
    """A part of a target that one piece of work holds.

    ``given_up_ms`` is when its owner stopped waiting for it (own clock), and
    ``fence_ms`` the target's first reading known to be later; each is ``None``
    until then.
    """

    kind: HoldKind
    resources: Resources
    given_up_ms: int | None = None
    fence_ms: int | None = None


class TargetLedger:
    """What one target has and what is held of it.

    Work that was given up stays held until a report of the target, taken after
    it was given up, no longer lists it.
    """

    def __init__(self, target_id: str, capacity: Resources) -> None:
        self.target_id = target_id
        self.capacity = capacity
        self.held = NOTHING
        self.holds: dict[str, Hold] = {}

    @property
    def free(self) -> Resources:
        """Return what is not held; it may be negative after a takeover."""
        return self.capacity.minus(self.held)

    def admit(self, hold_id: str, kind: HoldKind, resources: Resources) -> bool:
        """Hold ``resources`` for new work if they fit and the id is new."""
        if hold_id in self.holds or not resources.fits_in(self.free):
            return False
        self._add(hold_id, Hold(kind, resources))
        CHECKS.check(
            Invariant.CAPACITY,
            self.held.fits_in(self.capacity),
            f"target={self.target_id} held={self.held} capacity={self.capacity}",
        )
        return True

    def inherit(self, hold_id: str, kind: HoldKind, resources: Resources) -> None:
        """Hold what a report shows running, whether or not it fits."""
        if hold_id not in self.holds:
            self._add(hold_id, Hold(kind, resources))

    def release(self, hold_id: str) -> None:
        """Free what surely no longer runs; an unknown id changes nothing."""
        hold = self.holds.pop(hold_id, None)
        if hold is not None:
            self.held = self.held.minus(hold.resources)

    def give_up(self, hold_id: str, now_ms: int) -> None:
        """Note that nobody waits for this work any more though it may run."""
        hold = self.holds.get(hold_id)
        if hold is not None and hold.given_up_ms is None:
            self.holds[hold_id] = hold._replace(given_up_ms=now_ms)

    def given_up(self) -> list[str]:
        """Return the ids that wait for a report to free them."""
        return [key for key, hold in self.holds.items() if hold.given_up_ms is not None]

    def note_reading(self, asked_ms: int, reading_ms: int, settle_ms: int) -> None:
        """Fence given-up work by a reading that was asked for at ``asked_ms``.

        Work given up less than ``settle_ms`` before may still be on its way to
        the target, so it waits for a later reading.
        """
        for hold_id, hold in self.holds.items():
            if hold.given_up_ms is None or hold.fence_ms is not None:
                continue
            if hold.given_up_ms + settle_ms <= asked_ms:
                self.holds[hold_id] = hold._replace(fence_ms=reading_ms)

    def note_running(self, taken_ms: int, running: frozenset[str]) -> list[str]:
        """Free given-up requests that a report taken at ``taken_ms`` lacks.

        Returns the ids that were freed.
        """
        freed = [
            hold_id
            for hold_id, hold in self.holds.items()
            if hold.kind is HoldKind.REQUEST
            and hold.fence_ms is not None
            and taken_ms >= hold.fence_ms
            and hold_id not in running
        ]
        for hold_id in freed:
            self.release(hold_id)
        return freed

    def count(self, kind: HoldKind) -> int:
        """Return how many holds of ``kind`` there are."""
        return sum(1 for hold in self.holds.values() if hold.kind is kind)

    def _add(self, hold_id: str, hold: Hold) -> None:
        self.holds[hold_id] = hold
        self.held = self.held.plus(hold.resources)
