"""How many tasks of a class may try a target whose services don't know it yet.

The number doubles after measurements that were taken while that many ran and that
show every service at ease: one of idle services is enough, of services with
requests it takes several. It falls back to one under pressure. So an unknown class
is tried carefully, and one beside idle services is not held back.
"""

_FIRST = 1
_MOST = 1_024
_PASSES_WITH_REQUESTS = 6


class Trials:
    """The numbers of one target, by work class."""

    __slots__ = ("_limits", "_passes")

    def __init__(self) -> None:
        self._limits: dict[str, int] = {}
        self._passes: dict[str, int] = {}

    def limit(self, work_class: str) -> int:
        """Return how many tasks of a class that isn't known may be there."""
        return self._limits.get(work_class, _FIRST)

    def passed(self, work_class: str, ran: int, idle: bool) -> None:
        """Note a measurement at ease while ``ran`` tasks ran."""
        if ran < self.limit(work_class):
            return
        passes = self._passes.get(work_class, 0) + 1
        if idle or passes >= _PASSES_WITH_REQUESTS:
            self._limits[work_class] = min(2 * ran, _MOST)
            passes = 0
        self._passes[work_class] = passes

    def failed(self) -> None:
        """Note a measurement under pressure; every class starts again."""
        self._limits.clear()
        self._passes.clear()
