"""Failures, told apart: whether a job or a target is to blame.

A target is to blame when runs keep failing there and none succeeds, counted
once for each job that has not yet succeeded anywhere, and once for each run of
a job that has. A job is to blame when it fails on several targets that are not
to blame themselves.
"""

import random

from foxspring_model.scheduling._settings import SchedulerSettings

_PERCENT = 100
_MOST_DOUBLINGS = 12


def delay_ms(base_ms: int, most_ms: int, failures: int, rng: random.Random) -> int:
    """Return an exponential delay with jitter of half to all of its length."""
    doublings = min(max(failures - 1, 0), _MOST_DOUBLINGS)
    full = min(base_ms << doublings, most_ms)
    return int(full * rng.uniform(0.5, 1.0))


class TargetFailures:
    """Failures in a row on one target, and its quarantine.

    ``until_ms`` is the end of the quarantine; ``probing`` tells that it is over
    but for one task at a time, ``probe``, until one succeeds.
    """

    __slots__ = ("count", "jobs", "level", "probe", "probing", "until_ms")

    def __init__(self) -> None:
        self.jobs: set[str] = set()
        self.count = 0
        self.level = 0
        self.until_ms = 0
        self.probing = False
        self.probe = ""


class JobFailures:
    """Where one job failed; ``succeeded`` once any of its tasks finished."""

    __slots__ = ("failed_on", "succeeded")

    def __init__(self) -> None:
        self.failed_on: set[str] = set()
        self.succeeded = False


class FailureLedger:
    """Counts failures by target and by job and decides quarantines."""

    def __init__(self, settings: SchedulerSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self.targets: dict[str, TargetFailures] = {}
        self.jobs: dict[str, JobFailures] = {}
        self.isolated: set[str] = set()

    def failed(self, job_id: str, target_id: str, now_ms: int, site: int) -> bool:
        """Count a failed run; tell whether the target was quarantined for it.

        ``site`` is the number of targets, for the cap on quarantines.
        """
        job = self.jobs.setdefault(job_id, JobFailures())
        if len(job.failed_on) <= self._settings.runs_per_task:
            job.failed_on.add(target_id)
        target = self.targets.setdefault(target_id, TargetFailures())
        if target.probing:
            return self._isolate(target_id, target, now_ms, site)
        if not job.succeeded and job_id in target.jobs:
            return False
        if self.job_blamed(job_id):
            return False
        if target.count < self._settings.runs_per_task:
            target.jobs.add(job_id)
        target.count += 1
        if target.count < self._settings.failures_to_quarantine:
            return False
        return self._isolate(target_id, target, now_ms, site)

    def succeeded(self, job_id: str, target_id: str) -> bool:
        """Count a good run; tell whether the target leaves quarantine for it."""
        self.jobs.setdefault(job_id, JobFailures()).succeeded = True
        self.targets.pop(target_id, None)
        if target_id not in self.isolated:
            return False
        self.isolated.discard(target_id)
        return True

    def job_blamed(self, job_id: str) -> bool:
        """Tell whether the job fails wherever it runs and never succeeded."""
        job = self.jobs.get(job_id)
        if job is None or job.succeeded:
            return False
        return self.fair_failures(job.failed_on) >= self._settings.tries_per_task

    def fair_failures(self, targets: set[str] | tuple[str, ...]) -> int:
        """Return how many of ``targets`` are not to blame themselves."""
        return sum(1 for target in targets if target not in self.isolated)

    def unproven(self, job_id: str) -> bool:
        """Tell whether the job has failed and never succeeded."""
        job = self.jobs.get(job_id)
        return job is not None and bool(job.failed_on) and not job.succeeded

    def suspicion(self, target_id: str) -> int:
        """Return the failures in a row that count against a target.

        A target that is being probed counts as good, or it would never be tried.
        """
        target = self.targets.get(target_id)
        return 0 if target is None or target.probing else target.count

    def quarantined(self, target_id: str) -> bool:
        """Tell whether the target is closed: quarantined and not probing."""
        if target_id not in self.isolated:
            return False
        return not self.targets[target_id].probing

    def due_probes(self, now_ms: int) -> list[str]:
        """Open the targets whose quarantine is over to one task at a time."""
        due = []
        for target_id in self.isolated:
            target = self.targets[target_id]
            if not target.probing and target.until_ms <= now_ms:
                target.probing = True
                due.append(target_id)
        return due

    def forget_job(self, job_id: str) -> None:
        """Drop a job none of whose tasks is left."""
        self.jobs.pop(job_id, None)

    def forget_target(self, target_id: str) -> None:
        """Drop a target that is gone."""
        self.targets.pop(target_id, None)
        self.isolated.discard(target_id)

    def _isolate(
        self, target_id: str, target: TargetFailures, now_ms: int, site: int
    ) -> bool:
        most = max(1, site * self._settings.quarantine_share // _PERCENT)
        if target_id not in self.isolated and len(self.isolated) >= most:
            return False
        self.isolated.add(target_id)
        target.level += 1
        target.probing = False
        target.probe = ""
        wait_ms = delay_ms(
            self._settings.quarantine_ms,
            self._settings.quarantine_most_ms,
            target.level,
            self._rng,
        )
        target.until_ms = now_ms + wait_ms
        return True
