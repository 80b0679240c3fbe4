"""Bounds how many calls wait for the replicated log.

Load pattern: more calls come than the log takes. It refuses what is over its limit, the
leader's own decisions too, and each refusal ends a leadership. Calls are therefore
refused before, while there is room for decisions.
"""

from foxspring_model import Clock

# Of what may wait for the log; the rest is for decisions.
CALLS_PERCENT = 75
PERCENT = 100
# A call that is not answered by then counts no longer; its caller has given up.
MAX_WAIT_MS = 10_000


class WaitingCalls:
    """The calls that wait for an answer."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.number = 0
        self.since_ms: dict[int, int] = {}

    def begin(self, max_pending: int) -> int | None:
        """Return the number of a new call, or None if too many wait.

        ``max_pending`` is how much may wait for the log.
        """
        limit = max(1, max_pending * CALLS_PERCENT // PERCENT)
        if len(self.since_ms) >= limit:
            self._forget_old()
        if len(self.since_ms) >= limit:
            return None
        self.number += 1
        self.since_ms[self.number] = self.clock.monotonic_ms()
        return self.number

    def end(self, number: int) -> None:
        """Note that a call was answered."""
        self.since_ms.pop(number, None)

    def _forget_old(self) -> None:
        limit_ms = self.clock.monotonic_ms() - MAX_WAIT_MS
        for number, since_ms in list(self.since_ms.items()):
            if since_ms > limit_ms:
                # They are in the order of their beginnings.
                return
            del self.since_ms[number]
