"""Remembers targets that were lost in silence until it is known what became of them.

Load pattern: a target that crashes is away for longer than the leases on it last. Its
runs start again before anything tells its crash from a partition. Later either another
incarnation takes its place, so that it has crashed, or the same one comes back.
"""

from collections.abc import Iterable
from typing import NamedTuple

from foxspring_jobs._commands import RegisterTarget, RunKey, TargetLoss

# A target that is not back by then is taken to be gone.
MEMORY_MS = 120_000
# Bounds what a snapshot holds; older ones are forgotten first.
MAX_LOSSES = 256


class SilentLoss(NamedTuple):
    """A target lost in silence, the runs that ended with it, and the wall time."""

    loss: TargetLoss
    address: str
    runs: tuple[RunKey, ...]
    at_ms: int


class SilentLosses:
    """The targets lost in silence, oldest first; part of the replicated state."""

    def __init__(self, rows: Iterable[SilentLoss] = ()) -> None:
        self.rows = list(rows)

    def has_old(self, at_ms: int) -> bool:
        """Return whether a loss is to be forgotten."""
        return bool(self.rows) and (
            at_ms - self.rows[0].at_ms > MEMORY_MS or len(self.rows) > MAX_LOSSES
        )

    def forget_old(self, at_ms: int) -> list[SilentLoss]:
        """Forget the oldest losses, and return them."""
        forgotten = []
        while self.has_old(at_ms):
            forgotten.append(self.rows.pop(0))
        return forgotten

    def explain(self, registered: RegisterTarget) -> list[SilentLoss]:
        """Forget the losses that a registration explains, and return them.

        If it is of the same incarnation, the target was only silent. A later one under
        the same id, or at the same address, shows that the lost one has crashed.
        """
        explained = [row for row in self.rows if _is_explained(row, registered)]
        if explained:
            self.rows = [row for row in self.rows if row not in explained]
        return explained


def _is_explained(row: SilentLoss, registered: RegisterTarget) -> bool:
    lost, found = row.loss.incarnation, registered.incarnation
    if found.target_id != lost.target_id and registered.address != row.address:
        return False
    return found.incarnation_ms >= lost.incarnation_ms
