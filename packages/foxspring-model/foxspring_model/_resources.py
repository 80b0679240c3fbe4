"""Amounts of the resources of targets, tasks and requests."""

from typing import NamedTuple


class Resources(NamedTuple):
    """An amount of each resource of a target.

    ``cores_milli`` counts thousandths of a core and ``memory_mb`` mebibytes.
    """

    slots: int = 0
    connections: int = 0
    cores_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum, resource by resource."""
        return Resources(
            self[0] + other[0],
            self[1] + other[1],
            self[2] + other[2],
            self[3] + other[3],
            self[4] + other[4],
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference, resource by resource; it may be negative."""
        return Resources(
            self[0] - other[0],
            self[1] - other[1],
            self[2] - other[2],
            self[3] - other[3],
            self[4] - other[4],
        )

    def fits_in(self, free: "Resources") -> bool:
        """Return whether no resource of this amount exceeds that of ``free``."""
        return (
            self[2] <= free[2]
            and self[3] <= free[3]
            and self[0] <= free[0]
            and self[1] <= free[1]
            and self[4] <= free[4]
        )

    def is_negative(self) -> bool:
        """Return whether any resource is below zero."""
        return any(amount < 0 for amount in self)


NO_RESOURCES = Resources()
