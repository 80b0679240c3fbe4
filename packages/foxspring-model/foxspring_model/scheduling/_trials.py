"""Limits on tasks of a work class whose interference is not known yet.

The limit of a work class on a target starts at one and doubles after measurements
under low pressure that were taken while as many tasks of the class were running.
One such measurement is enough if the services had no requests, several are needed
otherwise. Under high pressure every limit of the target is reset. An unknown class
is thus introduced gradually, but is not held back on a target with idle services.
"""

_INITIAL_LIMIT = 1
_MAX_LIMIT = 1_024
_PASSES_WITH_REQUESTS = 6


class TrialLimits:
    """The limits of one target by work class."""

    __slots__ = ("_limits", "_passes")

    def __init__(self) -> None:
        self._limits: dict[str, int] = {}
        self._passes: dict[str, int] = {}

    def limit(self, work_class: str) -> int:
        """Return how many tasks of an unknown work class the target may run."""
        return self._limits.get(work_class, _INITIAL_LIMIT)

    def record_low_pressure(self, work_class: str, running: int, idle: bool) -> None:
        """Record a measurement under low pressure while ``running`` tasks ran.

        ``idle`` tells that the services had no requests.
        """
        if running < self.limit(work_class):
            return
        passes = self._passes.get(work_class, 0) + 1
        if idle or passes >= _PASSES_WITH_REQUESTS:
            self._limits[work_class] = min(2 * running, _MAX_LIMIT)
            passes = 0
        self._passes[work_class] = passes

    def record_high_pressure(self) -> None:
        """Record a measurement under high pressure and reset every limit."""
        self._limits.clear()
        self._passes.clear()
