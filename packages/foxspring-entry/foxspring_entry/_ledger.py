"""Capacity reservations of a target; all work sent to it has one."""

from enum import StrEnum
from typing import NamedTuple

from foxspring_model import INVARIANT_CHECKS, NO_RESOURCES, Invariant, Resources


class ReservationKind(StrEnum):
    """Kind of work that a reservation is for."""

    REQUEST = "request"
    TASK = "task"
    CONTROL = "control"


class Reservation(NamedTuple):
    """Capacity of a target that is reserved for one unit of work.

    ``abandoned_ms`` is the owner's time at which it stopped waiting for the
    work, and ``fence_ms`` the first reading of the target's clock known to be
    later; both are ``None`` until then.
    """

    kind: ReservationKind
    resources: Resources
    abandoned_ms: int | None = None
    fence_ms: int | None = None


class TargetLedger:
    """Capacity of one target and the reservations of it.

    Abandoned work keeps its reservation until a report, made by the target
    after the work was abandoned, no longer lists it.
    """

    def __init__(self, target_id: str, capacity: Resources) -> None:
        self.target_id = target_id
        self.capacity = capacity
        self.reserved = NO_RESOURCES
        self.reservations: dict[str, Reservation] = {}

    @property
    def free(self) -> Resources:
        """Return the unreserved capacity; it may be negative after a takeover."""
        return self.capacity.minus(self.reserved)

    def reserve(
        self, reservation_id: str, kind: ReservationKind, resources: Resources
    ) -> bool:
        """Reserve ``resources`` for new work if they fit and the id is unused.

        Returns whether the reservation was made.
        """
        if reservation_id in self.reservations or not resources.fits_in(self.free):
            return False
        self._add(reservation_id, Reservation(kind, resources))
        INVARIANT_CHECKS.check(
            Invariant.CAPACITY,
            self.reserved.fits_in(self.capacity),
            f"target={self.target_id} held={self.reserved} capacity={self.capacity}",
        )
        return True

    def reserve_existing(
        self, reservation_id: str, kind: ReservationKind, resources: Resources
    ) -> None:
        """Reserve ``resources`` for work that already runs, even if they do not fit."""
        if reservation_id not in self.reservations:
            self._add(reservation_id, Reservation(kind, resources))

    def release(self, reservation_id: str) -> None:
        """Release the reservation of work that has ended; ignore unknown ids."""
        reservation = self.reservations.pop(reservation_id, None)
        if reservation is not None:
            self.reserved = self.reserved.minus(reservation.resources)

    def abandon(self, reservation_id: str, now_ms: int) -> None:
        """Mark work as abandoned: nobody waits for it, but it may still run."""
        reservation = self.reservations.get(reservation_id)
        if reservation is not None and reservation.abandoned_ms is None:
            self.reservations[reservation_id] = reservation._replace(
                abandoned_ms=now_ms
            )

    def abandoned(self) -> list[str]:
        """Return the ids of abandoned work that has not been released."""
        return [
            key
            for key, reservation in self.reservations.items()
            if reservation.abandoned_ms is not None
        ]

    def record_reading(
        self, requested_ms: int, reading_ms: int, settle_time_ms: int
    ) -> None:
        """Fence abandoned work with a clock reading requested at ``requested_ms``.

        Work that was abandoned less than ``settle_time_ms`` earlier may still
        be in transit to the target, so it needs a later reading.
        """
        for reservation_id, reservation in self.reservations.items():
            if reservation.abandoned_ms is None or reservation.fence_ms is not None:
                continue
            if reservation.abandoned_ms + settle_time_ms <= requested_ms:
                self.reservations[reservation_id] = reservation._replace(
                    fence_ms=reading_ms
                )

    def release_absent(self, report_time_ms: int, running: frozenset[str]) -> list[str]:
        """Release abandoned requests that are absent from a report.

        ``report_time_ms`` is the target's time at which the report was made, and
        ``running`` the requests that it lists. Returns the released ids.
        """
        released = [
            reservation_id
            for reservation_id, reservation in self.reservations.items()
            if reservation.kind is ReservationKind.REQUEST
            and reservation.fence_ms is not None
            and report_time_ms >= reservation.fence_ms
            and reservation_id not in running
        ]
        for reservation_id in released:
            self.release(reservation_id)
        return released

    def count(self, kind: ReservationKind) -> int:
        """Return the number of reservations of ``kind``."""
        return sum(
            1 for reservation in self.reservations.values() if reservation.kind is kind
        )

    def _add(self, reservation_id: str, reservation: Reservation) -> None:
        self.reservations[reservation_id] = reservation
        self.reserved = self.reserved.plus(reservation.resources)
