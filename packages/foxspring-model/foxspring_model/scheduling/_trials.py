"""How many tasks of a class may try a target whose services don't know it yet.

The number doubles with each measurement that was taken while that many ran and
that shows no service over its limit, and falls back to one under pressure. So an
unknown class is tried carefully, and one beside idle services is not held back.
"""

_FIRST = 1
_MOST = 1_024


class Trials:
    """The numbers of one target, by work class."""

    __slots__ = ("_limits",)

    def __init__(self) -> None:
        self._limits: dict[str, int] = {}

    def limit(self, work_class: str) -> int:
        """Return how many tasks of a class that isn't known may be there."""
        return self._limits.get(work_class, _FIRST)

    def passed(self, work_class: str, ran: int) -> None:
        """Note a measurement without pressure while ``ran`` tasks ran."""
        if ran >= self.limit(work_class):
            self._limits[work_class] = min(2 * ran, _MOST)

    def failed(self) -> None:
        """Note a measurement under pressure; every class starts again."""
        self._limits.clear()
