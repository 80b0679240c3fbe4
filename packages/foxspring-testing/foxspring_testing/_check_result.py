"""The result of checking one invariant over records."""

from typing import NamedTuple

from foxspring_model import Invariant

_SHOWN_VIOLATIONS = 5


class CheckResult(NamedTuple):
    """How often an invariant was checked, and a description of each violation."""

    invariant: Invariant
    checked: int
    violations: tuple[str, ...] = ()

    def line(self) -> str:
        """Return the result as one line of text."""
        shown = "; ".join(self.violations[:_SHOWN_VIOLATIONS])
        counts = f"checks={self.checked} violations={len(self.violations)}"
        return f"invariant={self.invariant} {counts}" + (f" {shown}" if shown else "")
