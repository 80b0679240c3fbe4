"""Decides which targets may get new work, based on how their earlier runs ended.

Load pattern: a target fails every task that it starts but answers all calls. Without
quarantine it would be the emptiest target and attract all new work.

Failures of work that fails on any target do not count, see
:mod:`foxspring_jobs._failure_evidence`. Which work that is may turn out only later, so
a target keeps the tasks that failed on it, and its quarantine ends once too few of them
count.
"""

from collections.abc import Callable, Container
from enum import StrEnum

from foxspring_jobs._candidates import StepKey
from foxspring_jobs._commands import TaskKey

IsFaulty = Callable[[TaskKey], bool]

BLAME_TO_QUARANTINE = 2
FAILURE_BLAME = 1
# A run of a step that gets its cores stands still only if its target does.
STALL_BLAME = BLAME_TO_QUARANTINE
QUARANTINE_MS = 2_000
MAX_QUARANTINE_MS = 5_000
MAX_DOUBLINGS = 2
PROBE_INTERVAL_MS = 400
QUARANTINE_RESET_MS = 2_500
# Enough to tell the jobs apart that failed here.
MAX_FAILED_TASKS = 64


class QuarantineEnd(StrEnum):
    """Why a target's quarantine has ended.

    ``DONE``: a run succeeded. ``WITHDRAWN``: the work that failed is at fault itself.
    ``QUIET``: nothing has failed for a while.
    """

    DONE = "done"
    WITHDRAWN = "withdrawn"
    QUIET = "quiet"


class TargetHealth:
    """The failures of one target since its last success; times are the leader's.

    ``failed`` maps tasks to the blame for their failures here. ``declined`` tells that
    the target itself has declined a start.
    """

    def __init__(self) -> None:
        self.failed: dict[TaskKey, int] = {}
        self.declined = False
        self.quarantined_until_ms = 0
        self.probed_ms = 0
        self.quarantine_count = 0

    def clear(self) -> None:
        """Forget all failures and end the quarantine."""
        self.failed.clear()
        self.end_quarantine()

    def end_quarantine(self) -> None:
        """End the quarantine; the failures are kept."""
        self.declined = False
        self.quarantine_count = 0
        self.quarantined_until_ms = 0

    def note_failed(self, task: TaskKey, blame: int = FAILURE_BLAME) -> None:
        """Record that a run of a task failed here, or made no progress."""
        blame = max(blame, self.failed.pop(task, 0))
        if len(self.failed) >= MAX_FAILED_TASKS:
            del self.failed[next(iter(self.failed))]
        self.failed[task] = blame

    def forget_failures(self, step: StepKey) -> None:
        """Forget the failures of a step."""
        for task in [task for task in self.failed if task[:3] == step]:
            del self.failed[task]

    def forget_purged(self, job_ids: Container[str]) -> None:
        """Forget the failures of other jobs than these."""
        for task in [task for task in self.failed if task.job_id not in job_ids]:
            del self.failed[task]

    def blamed_for(self, is_faulty: IsFaulty) -> dict[str, int]:
        """Return the blame by job, without that for faulty work."""
        jobs: dict[str, int] = {}
        for task, blame in self.failed.items():
            if not is_faulty(task):
                jobs[task.job_id] = max(blame, jobs.get(task.job_id, 0))
        return jobs

    def is_to_blame(self, is_faulty: IsFaulty) -> bool:
        """Return whether the failures that count point to the target."""
        return sum(self.blamed_for(is_faulty).values()) >= BLAME_TO_QUARANTINE

    def note_start(self, now_ms: int) -> None:
        """Record that a run is given to the target."""
        self.probed_ms = now_ms

    def is_quarantined(self, now_ms: int) -> bool:
        """Return whether the target gets no new work at all."""
        return now_ms < self.quarantined_until_ms

    def quarantine(self, now_ms: int) -> int:
        """Give the target no new work for a while, longer each time.

        Return for how many milliseconds.
        """
        pause_ms = QUARANTINE_MS << min(self.quarantine_count, MAX_DOUBLINGS)
        pause_ms = min(pause_ms, MAX_QUARANTINE_MS)
        self.quarantine_count += 1
        self.quarantined_until_ms = now_ms + pause_ms
        return pause_ms

    def on_probation(self) -> bool:
        """Return whether the target has failed and not succeeded since."""
        return bool(self.failed) or self.quarantine_count > 0

    def is_quiet(self, now_ms: int) -> bool:
        """Return whether a quarantine is over and nothing has failed since.

        Such a target becomes healthy without a success, because long-running tasks end
        too rarely to show one.
        """
        quiet_ms = self.quarantined_until_ms + QUARANTINE_RESET_MS
        return self.quarantine_count > 0 and now_ms >= quiet_ms

    def may_start(self, now_ms: int) -> bool:
        """Return whether a run may start here now.

        After a quarantine, only one run per ``PROBE_INTERVAL_MS`` may start as a probe.
        """
        if self.is_quarantined(now_ms):
            return False
        return (
            self.quarantine_count == 0 or now_ms >= self.probed_ms + PROBE_INTERVAL_MS
        )
