"""Which targets to trust, from the ends of the runs they were given.

Load pattern: a target fails every task it starts while it answers all calls;
without this, it is the emptiest target and draws all new work.
"""

FAILURES_TO_QUARANTINE = 2
QUARANTINE_MS = 2_000
MAX_QUARANTINE_MS = 5_000
MAX_DOUBLINGS = 2
PROBE_INTERVAL_MS = 400
QUARANTINE_RESET_MS = 2_500


class TargetHealth:
    """The failures of one target since its last success; times are the leader's."""

    def __init__(self) -> None:
        self.failed_jobs: set[str] = set()
        self.quarantined_until_ms = 0
        self.probed_ms = 0
        self.quarantine_count = 0

    def note_done(self) -> None:
        """Trust the target again: a run was done here."""
        self.failed_jobs.clear()
        self.quarantine_count = 0
        self.quarantined_until_ms = 0

    def note_failed(self, job_id: str, now_ms: int) -> None:
        """Count a run that failed here; failures of several jobs blame the target."""
        self.failed_jobs.add(job_id)
        if len(self.failed_jobs) >= FAILURES_TO_QUARANTINE:
            self.quarantine(now_ms)

    def note_start(self, now_ms: int) -> None:
        """Count a run that is given to the target."""
        self.probed_ms = now_ms

    def quarantine(self, now_ms: int) -> None:
        """Give the target no new work for a while, longer each time."""
        pause_ms = QUARANTINE_MS << min(self.quarantine_count, MAX_DOUBLINGS)
        self.quarantine_count += 1
        self.quarantined_until_ms = now_ms + min(pause_ms, MAX_QUARANTINE_MS)

    def on_probation(self) -> bool:
        """Tell whether the target has failed and not succeeded since."""
        return bool(self.failed_jobs) or self.quarantine_count > 0

    def may_start(self, now_ms: int) -> bool:
        """Tell whether a run may be started; on probation one now and then.

        A target that does not fail again for a while is trusted, since tasks
        that last end too seldom to show a success.
        """
        if now_ms < self.quarantined_until_ms:
            return False
        if (
            self.quarantine_count
            and now_ms >= self.quarantined_until_ms + QUARANTINE_RESET_MS
        ):
            self.note_done()
        return (
            self.quarantine_count == 0 or now_ms >= self.probed_ms + PROBE_INTERVAL_MS
        )
