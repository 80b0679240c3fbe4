"""Says in which stage of its way a start loses time.

Load pattern: more starts and ends come than one leader can handle at once, and every
stage waits for the ones before it. The durations of each stage are observed as a metric
and logged once an interval, so that a busy leader shows which stage binds.
"""

import logging
from collections.abc import Iterable
from enum import StrEnum

from foxspring_model import Clock

from foxspring_jobs._candidates import StepKey, step_key_of
from foxspring_jobs._commands import RunStart
from foxspring_jobs._metrics import STAGE_SECONDS, Metrics
from foxspring_jobs._state import JobState

_LOG = logging.getLogger(__name__)

LOG_INTERVAL_MS = 1_000
MEDIAN = 0.5
HIGH = 0.95


class Stage(StrEnum):
    """A stage of the way of a start.

    ``QUEUE``: from queueing an action for the leader's thread to running it, sampled at
    the leader's ticks. ``SWEEP``: one look for what is due or over. ``PLAN``: one plan.
    ``READY``: from the moment when a step can start to the plan of its first start.
    ``COMMIT``: from a decision to its commit. ``ORDER``: from the commit of a start to
    the target's answer.
    """

    QUEUE = "queue"
    SWEEP = "sweep"
    PLAN = "plan"
    READY = "ready"
    COMMIT = "commit"
    ORDER = "order"


class StageTimes:
    """The stage durations of one leadership, in milliseconds."""

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self.clock = clock
        self.metrics = metrics
        self.logged_ms = clock.monotonic_ms()
        self.durations_ms: dict[Stage, list[int]] = {stage: [] for stage in Stage}
        self.ready_ms: dict[str, dict[StepKey, int]] = {}

    def observe(self, stage: Stage, duration_ms: int) -> None:
        """Add the duration of a stage."""
        self.durations_ms[stage].append(duration_ms)
        self.metrics.observe_ms(STAGE_SECONDS, duration_ms, stage.value)

    def note_ready(self, job: JobState) -> None:
        """Note which steps of a job can start now for the first time."""
        now_ms = self.clock.monotonic_ms()
        for occurrence, steps in job.occurrences.items():
            for number, step in enumerate(steps):
                untouched = step.idle == len(step.tasks) and not step.tasks[0].last_run
                if untouched and job.step_is_ready(occurrence, number):
                    key = (job.job_id, occurrence, number)
                    self.ready_ms.setdefault(job.job_id, {}).setdefault(key, now_ms)

    def note_starts(self, starts: Iterable[RunStart]) -> None:
        """Observe ``READY`` for the steps that get their first start."""
        now_ms = self.clock.monotonic_ms()
        for start in starts:
            key = step_key_of(start.run.task)
            ready_ms = self.ready_ms.get(key[0], {}).pop(key, None)
            if ready_ms is not None:
                self.observe(Stage.READY, now_ms - ready_ms)

    def job_ended(self, job: JobState) -> None:
        """Discard the data about a job."""
        self.ready_ms.pop(job.job_id, None)

    def log_if_due(self) -> None:
        """Log the durations of the last interval once it has passed."""
        now_ms = self.clock.monotonic_ms()
        if now_ms < self.logged_ms + LOG_INTERVAL_MS:
            return
        elapsed_ms = now_ms - self.logged_ms
        self.logged_ms = now_ms
        taken, self.durations_ms = self.durations_ms, {stage: [] for stage in Stage}
        for stage, durations_ms in taken.items():
            ordered = sorted(durations_ms)
            _LOG.info(
                "event=leader_stage stage=%s elapsed_ms=%d count=%d total_ms=%d "
                "median_ms=%d high_ms=%d longest_ms=%d",
                stage.value,
                elapsed_ms,
                len(ordered),
                sum(ordered),
                _quantile(ordered, MEDIAN),
                _quantile(ordered, HIGH),
                ordered[-1] if ordered else 0,
            )


def _quantile(ordered: list[int], share: float) -> int:
    return ordered[int((len(ordered) - 1) * share)] if ordered else 0
