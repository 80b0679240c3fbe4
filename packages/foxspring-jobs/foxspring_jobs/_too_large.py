"""Finds waiting steps that a plan need not consider, since their tasks fit nowhere."""

from collections.abc import Iterable

from foxspring_model import Resources

from foxspring_jobs._specs import Queue, StepSpec


class TooLargeSizes:
    """The sizes of short tasks for which a plan found no target.

    Load pattern: hundreds of steps of different sizes wait while little is free. What
    is free only shrinks during a plan, so a task that is as large as one that found no
    target finds none either. Long-running and best-effort tasks have more conditions.
    """

    def __init__(self) -> None:
        self.sizes: dict[str, list[Resources]] = {}

    def add(self, queue: Queue, step: StepSpec) -> None:
        """Record that no target accepts a task of a step."""
        if _needs_only_capacity(queue, step) and not step.required_label:
            self.sizes.setdefault(queue.service, []).append(step.resources)

    def includes(self, queue: Queue, step: StepSpec) -> bool:
        """Return whether it is certain that no target accepts a task of a step."""
        sizes = self.sizes.get(queue.service)
        if not sizes or not _needs_only_capacity(queue, step):
            return False
        return needs_as_much(step.resources, sizes)


def needs_as_much(size: Resources, others: Iterable[Resources]) -> bool:
    """Return whether a size needs as much of everything as one of the others."""
    for other in others:
        # Most are told apart by their cores.
        if other.cores_milli <= size.cores_milli and other.fits_in(size):
            return True
    return False


def _needs_only_capacity(queue: Queue, step: StepSpec) -> bool:
    return not (step.long_running or step.best_effort or queue.needs_advice())
