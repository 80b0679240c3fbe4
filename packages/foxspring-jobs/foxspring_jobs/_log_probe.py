"""Measures for how long the replicated log has answered nothing."""

from collections.abc import Callable

from foxspring_control import ProposeOutcome
from foxspring_model import Clock

ReadBarrier = Callable[[Callable[[ProposeOutcome], None]], None]


class LogProbe:
    """Asks the log for a read barrier, one at a time; safe to use from any thread.

    Every member's log answers it after its current batch, with ``not_leader`` where it
    doesn't lead. So a barrier that is not answered shows a log that waits, in a write
    or, at a leader, for a snapshot that is being written.
    """

    def __init__(self, read_barrier: ReadBarrier, clock: Clock) -> None:
        self.read_barrier = read_barrier
        self.clock = clock
        self._asked_ms: int | None = None

    def waited_ms(self) -> int:
        """Return for how long the log has owed an answer, 0 if it owes none."""
        asked_ms = self._asked_ms
        return 0 if asked_ms is None else self.clock.monotonic_ms() - asked_ms

    def check(self) -> None:
        """Ask again if the last question was answered."""
        if self._asked_ms is None:
            self._asked_ms = self.clock.monotonic_ms()
            self.read_barrier(self._on_answer)

    def _on_answer(self, _outcome: ProposeOutcome) -> None:
        self._asked_ms = None
