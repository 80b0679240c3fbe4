"""The one account of what a target holds; nothing reaches a target but through it."""

from enum import StrEnum
from typing import NamedTuple

from foxspring_model import CHECKS, NOTHING, Invariant, Resources


class ReservationKind(StrEnum):
    """What holds a part of a target."""

    REQUEST = "request"
    TASK = "task"
    CONTROL = "control"


class Reservation(NamedTuple):
    """A part of a target that one piece of work holds.

    ``abandoned_ms`` is when its owner stopped waiting for it (own clock), and
    ``fence_ms`` the target's first reading known to be later; each is ``None``
    until then.
    """

    kind: ReservationKind
    resources: Resources
    abandoned_ms: int | None = None
    fence_ms: int | None = None


class TargetLedger:
    """What one target has and what is held of it.

    Work that was given up stays held until a report of the target, taken after
    it was given up, no longer lists it.
    """

    def __init__(self, target_id: str, capacity: Resources) -> None:
        self.target_id = target_id
        self.capacity = capacity
        self.reserved = NOTHING
        self.reservations: dict[str, Reservation] = {}

    @property
    def free(self) -> Resources:
        """Return what is not held; it may be negative after a takeover."""
        return self.capacity.minus(self.reserved)

    def reserve(
        self, reservation_id: str, kind: ReservationKind, resources: Resources
    ) -> bool:
        """Hold ``resources`` for new work if they fit and the id is new."""
        if reservation_id in self.reservations or not resources.fits_in(self.free):
            return False
        self._add(reservation_id, Reservation(kind, resources))
        CHECKS.check(
            Invariant.CAPACITY,
            self.reserved.fits_in(self.capacity),
            f"target={self.target_id} held={self.reserved} capacity={self.capacity}",
        )
        return True

    def reserve_existing(
        self, reservation_id: str, kind: ReservationKind, resources: Resources
    ) -> None:
        """Hold what a report shows running, whether or not it fits."""
        if reservation_id not in self.reservations:
            self._add(reservation_id, Reservation(kind, resources))

    def release(self, reservation_id: str) -> None:
        """Free what surely no longer runs; an unknown id changes nothing."""
        reservation = self.reservations.pop(reservation_id, None)
        if reservation is not None:
            self.reserved = self.reserved.minus(reservation.resources)

    def abandon(self, reservation_id: str, now_ms: int) -> None:
        """Note that nobody waits for this work any more though it may run."""
        reservation = self.reservations.get(reservation_id)
        if reservation is not None and reservation.abandoned_ms is None:
            self.reservations[reservation_id] = reservation._replace(
                abandoned_ms=now_ms
            )

    def abandoned(self) -> list[str]:
        """Return the ids that wait for a report to free them."""
        return [
            key
            for key, reservation in self.reservations.items()
            if reservation.abandoned_ms is not None
        ]

    def record_reading(
        self, requested_ms: int, reading_ms: int, settle_time_ms: int
    ) -> None:
        """Fence given-up work by a reading that was asked for at ``requested_ms``.

        Work given up less than ``settle_time_ms`` before may still be on its way to
        the target, so it waits for a later reading.
        """
        for reservation_id, reservation in self.reservations.items():
            if reservation.abandoned_ms is None or reservation.fence_ms is not None:
                continue
            if reservation.abandoned_ms + settle_time_ms <= requested_ms:
                self.reservations[reservation_id] = reservation._replace(
                    fence_ms=reading_ms
                )

    def release_absent(self, taken_ms: int, running: frozenset[str]) -> list[str]:
        """Free given-up requests that a report taken at ``taken_ms`` lacks.

        Returns the ids that were freed.
        """
        freed = [
            reservation_id
            for reservation_id, reservation in self.reservations.items()
            if reservation.kind is ReservationKind.REQUEST
            and reservation.fence_ms is not None
            and taken_ms >= reservation.fence_ms
            and reservation_id not in running
        ]
        for reservation_id in freed:
            self.release(reservation_id)
        return freed

    def count(self, kind: ReservationKind) -> int:
        """Return how many holds of ``kind`` there are."""
        return sum(
            1 for reservation in self.reservations.values() if reservation.kind is kind
        )

    def _add(self, reservation_id: str, reservation: Reservation) -> None:
        self.reservations[reservation_id] = reservation
        self.reserved = self.reserved.plus(reservation.resources)
