"""Which targets to trust, from the ends of the runs they were given.

Load pattern: a target fails every task it starts while it answers all calls;
without this, it is the emptiest target and draws all new work.
"""

FAILURES_TO_DISTRUST = 2
DISTRUST_MS = 3_000
LONGEST_DISTRUST_MS = 12_000
MAX_DOUBLINGS = 2


class TargetHealth:
    """The failures of one target since its last success."""

    def __init__(self) -> None:
        self.failed_jobs: set[str] = set()
        self.distrusted_until_ms = 0
        self.rounds = 0
        self.stalled = False

    def note_done(self) -> None:
        """Trust the target again: a run was done here."""
        self.failed_jobs.clear()
        self.rounds = 0
        self.distrusted_until_ms = 0
        self.stalled = False

    def note_failed(self, job_id: str, now_ms: int) -> None:
        """Count a run that failed here; failures of several jobs blame the target."""
        self.failed_jobs.add(job_id)
        if len(self.failed_jobs) >= FAILURES_TO_DISTRUST:
            self.distrust(now_ms)

    def distrust(self, now_ms: int) -> None:
        """Give the target no new work for a while, longer each time."""
        pause_ms = DISTRUST_MS << min(self.rounds, MAX_DOUBLINGS)
        self.rounds += 1
        self.distrusted_until_ms = now_ms + min(pause_ms, LONGEST_DISTRUST_MS)

    def on_probation(self) -> bool:
        """Tell whether the target has failed and not succeeded since."""
        return bool(self.failed_jobs) or self.rounds > 0

    def may_start(self, now_ms: int, running: int) -> bool:
        """Tell whether a run may be started; on probation one at a time."""
        if now_ms < self.distrusted_until_ms:
            return False
        return self.rounds == 0 or running == 0
