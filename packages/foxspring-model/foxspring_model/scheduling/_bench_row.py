"""A row of benchmark results, and helpers common to the benchmarks."""

from typing import NamedTuple

from foxspring_model._job import Priority
from foxspring_model.scheduling.tests.fake_site import FakeSite


class Row(NamedTuple):
    """One measured value with its bound and, if there is one, its baseline."""

    name: str
    bound: str
    value: float
    unit: str
    baseline: str = ""


def percentile(values: list[float], share: float) -> float:
    """Return the value that the fraction ``share`` of ``values`` does not exceed."""
    ordered = sorted(values)
    return ordered[int(share * (len(ordered) - 1))] if ordered else 0.0


def urgent_starts(site: FakeSite) -> list[float]:
    """Return the milliseconds from submission to start of each urgent task."""
    return [
        site.started_at[name] - site.submitted_at[name]
        for name, task in site.tasks.items()
        if task.priority is Priority.URGENT and name in site.started_at
    ]
