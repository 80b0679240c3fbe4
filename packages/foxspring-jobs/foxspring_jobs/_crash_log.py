"""Log lines and counters about jobs given up because targets crashed under them."""

import logging
from collections.abc import Iterable

from foxspring_jobs._job_log import JobLog
from foxspring_jobs._leader_context import LeaderContext
from foxspring_jobs._metrics import GIVEN_UP
from foxspring_jobs._state import JobState

_LOG = logging.getLogger(__name__)


class CrashLog:
    """Tells for one leadership which jobs are given up, and for which task."""

    def __init__(self, context: LeaderContext, job_log: JobLog) -> None:
        self.context = context
        self.job_log = job_log

    def log_given_up(self, logged_later: Iterable[JobState]) -> None:
        """Log the jobs given up since the last call.

        The ends of those in ``logged_later`` are logged once they are committed.
        """
        given_up, self.context.draft.given_up = self.context.draft.given_up, []
        later = {job.job_id for job in logged_later}
        for key, crashes in given_up:
            job = self.context.draft.jobs[key.job_id]
            _LOG.warning(
                "event=job_given_up job=%s task=%d.%d.%d crashes=%d early_crashes=%d "
                "reason=%r",
                *key,
                crashes.total,
                crashes.early,
                "targets crashed under this task",
            )
            self.context.metrics.count(GIVEN_UP)
            self.context.stage_times.job_ended(job)
            if key.job_id not in later:
                self.job_log.job_ended(job)
