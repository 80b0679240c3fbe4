"""Spaces out the leaderships that one member begins anew in a term.

Load pattern: the log refuses proposals for a while, because its disk is full or too
many calls wait. Each leadership reads the whole state and polls every target, so one
that ends at once must not be followed by the next one at once.
"""

from foxspring_model import Clock

FIRST_PAUSE_MS = 200
MAX_PAUSE_MS = 2_000
# A leadership that lasts as long has not ended for the reason of the one before.
LASTING_MS = 10_000


class RestartPauses:
    """When the next leadership may begin; the first one is not held up."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.restarts = 0
        self.restarted_ms = clock.monotonic_ms()

    def is_due(self) -> bool:
        """Return whether a leadership may begin now in place of one that ended."""
        elapsed_ms = self.clock.monotonic_ms() - self.restarted_ms
        return not self.restarts or elapsed_ms >= self._pause_ms()

    def note_restart(self) -> None:
        """Note that a leadership begins now."""
        now_ms = self.clock.monotonic_ms()
        if now_ms - self.restarted_ms >= self._pause_ms() + LASTING_MS:
            self.restarts = 0
        self.restarts += 1
        self.restarted_ms = now_ms

    def _pause_ms(self) -> int:
        doublings = min(max(0, self.restarts - 1), MAX_PAUSE_MS // FIRST_PAUSE_MS)
        return min(FIRST_PAUSE_MS << doublings, MAX_PAUSE_MS)
