"""Tells whether short tasks are expected, so that capacity is kept free for them."""

from foxspring_jobs._specs import JobSpec

# Long enough that a lull does not let long-running tasks take the reserve for good.
MEMORY_MS = 60_000


class ShortWork:
    """The arrivals of short tasks that one leader knows; times are its milliseconds.

    A new leader does not know earlier arrivals and expects short tasks at first.
    """

    def __init__(self, now_ms: int) -> None:
        self.latest_ms = now_ms

    def note_arrival(self, spec: JobSpec, now_ms: int) -> None:
        """Note that an occurrence of a job may start."""
        if any(not (step.long_running or step.best_effort) for step in spec.steps):
            self.latest_ms = now_ms

    def is_expected(self, now_ms: int) -> bool:
        """Return whether short tasks have arrived within ``MEMORY_MS``."""
        return now_ms < self.latest_ms + MEMORY_MS
