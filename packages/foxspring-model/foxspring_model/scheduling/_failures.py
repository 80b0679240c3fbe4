"""Attribution of failed runs to jobs or targets, and quarantine of targets.

Failures are attributed to a target if runs keep failing there and none succeeds.
A job that has not succeeded anywhere counts once for a target, a job that has
succeeded counts with each failed run. Failures are attributed to a job that has
never succeeded if it fails on several targets that are not quarantined.
"""

import random

from foxspring_model.scheduling._settings import SchedulerSettings

_PERCENT = 100
_MAX_DOUBLINGS = 12


def backoff_ms(base_ms: int, max_ms: int, failures: int, rng: random.Random) -> int:
    """Return an exponential back-off with jitter between half and all of it."""
    doublings = min(max(failures - 1, 0), _MAX_DOUBLINGS)
    full = min(base_ms << doublings, max_ms)
    return int(full * rng.uniform(0.5, 1.0))


class TargetFailures:
    """Consecutive failures on one target, and its quarantine.

    ``jobs`` are the jobs counted in ``count``. ``quarantine_count`` is the number
    of quarantines in a row and ``until_ms`` the end of the last one. While
    ``probing`` is set, the target accepts one task at a time, ``probe_task_id``,
    until one succeeds.
    """

    __slots__ = (
        "count",
        "jobs",
        "probe_task_id",
        "probing",
        "quarantine_count",
        "until_ms",
    )

    def __init__(self) -> None:
        self.jobs: set[str] = set()
        self.count = 0
        self.quarantine_count = 0
        self.until_ms = 0
        self.probing = False
        self.probe_task_id = ""


class JobFailures:
    """Targets on which one job failed.

    ``succeeded`` is set once a run of the job has counted as a success.
    """

    __slots__ = ("failed_on", "succeeded")

    def __init__(self) -> None:
        self.failed_on: set[str] = set()
        self.succeeded = False


class FailureTracker:
    """Counts failures by target and by job and decides on quarantines.

    ``isolated`` holds the targets that are quarantined or being probed.
    """

    def __init__(self, settings: SchedulerSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self.targets: dict[str, TargetFailures] = {}
        self.jobs: dict[str, JobFailures] = {}
        self.isolated: set[str] = set()

    def record_failure(
        self, job_id: str, target_id: str, now_ms: int, target_count: int
    ) -> bool:
        """Count a failed run and return whether the target was quarantined for it.

        ``target_count`` is the number of targets, for the cap on quarantines.
        """
        job = self.jobs.setdefault(job_id, JobFailures())
        if len(job.failed_on) <= self._settings.runs_per_task:
            job.failed_on.add(target_id)
        target = self.targets.setdefault(target_id, TargetFailures())
        if target.probing:
            return self._quarantine(target_id, target, now_ms, target_count)
        if not job.succeeded and job_id in target.jobs:
            return False
        if self.is_job_at_fault(job_id):
            return False
        if target.count < self._settings.runs_per_task:
            target.jobs.add(job_id)
        target.count += 1
        if target.count < self._settings.failures_to_quarantine:
            return False
        return self._quarantine(target_id, target, now_ms, target_count)

    def record_success(self, job_id: str, target_id: str) -> bool:
        """Count a successful run and return whether it ends the target's isolation."""
        self.jobs.setdefault(job_id, JobFailures()).succeeded = True
        self.targets.pop(target_id, None)
        if target_id not in self.isolated:
            return False
        self.isolated.discard(target_id)
        return True

    def is_job_at_fault(self, job_id: str) -> bool:
        """Return whether failures are attributed to the job.

        It must never have succeeded and have failed on at least ``tries_per_task``
        targets that are neither quarantined nor being probed.
        """
        job = self.jobs.get(job_id)
        if job is None or job.succeeded:
            return False
        return self.job_caused_failures(job.failed_on) >= self._settings.tries_per_task

    def job_caused_failures(self, targets: set[str] | tuple[str, ...]) -> int:
        """Return how many of ``targets`` are neither quarantined nor being probed."""
        return sum(1 for target in targets if target not in self.isolated)

    def is_unproven(self, job_id: str) -> bool:
        """Return whether the job has failed and never succeeded."""
        job = self.jobs.get(job_id)
        return job is not None and bool(job.failed_on) and not job.succeeded

    def consecutive_failures(self, target_id: str) -> int:
        """Return the consecutive failures that count against a target.

        It is 0 while the target is being probed, as otherwise the target might
        never be selected again.
        """
        target = self.targets.get(target_id)
        return 0 if target is None or target.probing else target.count

    def is_quarantined(self, target_id: str) -> bool:
        """Return whether the target is quarantined and not being probed."""
        if target_id not in self.isolated:
            return False
        return not self.targets[target_id].probing

    def begin_due_probes(self, now_ms: int) -> list[str]:
        """Begin to probe the targets whose quarantine has ended and return them."""
        due = []
        for target_id in self.isolated:
            target = self.targets[target_id]
            if not target.probing and target.until_ms <= now_ms:
                target.probing = True
                due.append(target_id)
        return due

    def remove_job(self, job_id: str) -> None:
        """Remove a job that has no tasks left."""
        self.jobs.pop(job_id, None)

    def remove_target(self, target_id: str) -> None:
        """Remove a target."""
        self.targets.pop(target_id, None)
        self.isolated.discard(target_id)

    def _quarantine(
        self, target_id: str, target: TargetFailures, now_ms: int, target_count: int
    ) -> bool:
        limit = max(1, target_count * self._settings.quarantine_percent // _PERCENT)
        if target_id not in self.isolated and len(self.isolated) >= limit:
            return False
        self.isolated.add(target_id)
        target.quarantine_count += 1
        target.probing = False
        target.probe_task_id = ""
        wait_ms = backoff_ms(
            self._settings.quarantine_ms,
            self._settings.quarantine_max_ms,
            target.quarantine_count,
            self._rng,
        )
        target.until_ms = now_ms + wait_ms
        return True
