"""Decides which targets may get new work, based on how their earlier runs ended.

Load pattern: a target fails every task that it starts but answers all calls. Without
quarantine it would be the emptiest target and attract all new work.
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
        """Record that a run was done here, which ends the quarantine."""
        self.failed_jobs.clear()
        self.quarantine_count = 0
        self.quarantined_until_ms = 0

    def note_failed(self, job_id: str, now_ms: int) -> None:
        """Record a failed run; failures of several jobs quarantine the target."""
        self.failed_jobs.add(job_id)
        if len(self.failed_jobs) >= FAILURES_TO_QUARANTINE:
            self.quarantine(now_ms)

    def note_start(self, now_ms: int) -> None:
        """Record that a run is given to the target."""
        self.probed_ms = now_ms

    def quarantine(self, now_ms: int) -> None:
        """Give the target no new work for a while, longer each time."""
        pause_ms = QUARANTINE_MS << min(self.quarantine_count, MAX_DOUBLINGS)
        self.quarantine_count += 1
        self.quarantined_until_ms = now_ms + min(pause_ms, MAX_QUARANTINE_MS)

    def on_probation(self) -> bool:
        """Return whether the target has failed and not succeeded since."""
        return bool(self.failed_jobs) or self.quarantine_count > 0

    def may_start(self, now_ms: int) -> bool:
        """Return whether a run may start here now.

        After a quarantine, only one run per ``PROBE_INTERVAL_MS`` may start as a probe.
        A target that does not fail again for ``QUARANTINE_RESET_MS`` becomes healthy
        without a success, because long-running tasks end too rarely to show one.
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
