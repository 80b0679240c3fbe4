"""Watches whether a member has a leader that serves, and logs why if it has none."""

import logging
import shutil
from pathlib import Path

from foxspring_control.raft import LeadershipChange, ReplicatedLog
from foxspring_model import Clock

from foxspring_jobs._leader_losses import LeaderLosses
from foxspring_jobs._leaderless import (
    LeaderView,
    decline_reason,
    denials_text,
    trouble,
    votes_text,
)
from foxspring_jobs._log_text import log_text
from foxspring_jobs._metrics import (
    DISK_FREE,
    LEADERS_LOST,
    LEASE_VALID,
    LOG_WAITS,
    MEMBER_ELECTIONS,
    MEMBER_REFUSES,
    TAKEOVER_FAILS,
    VOTERS,
    VOTERS_HEARD,
    Metrics,
)
from foxspring_jobs._service import JobService

_LOG = logging.getLogger(__name__)

REASON_MAX_AGE_MS = 250
# A leader that serves for less is not counted as found.
TROUBLE_ENDS_AFTER_MS = 2_000
MAX_WHY_CHARS = 160
STARTING = "reads its log"
UNKNOWN_BYTES = -1


class LeaderWatch:
    """Knows why this member has no leader that serves.

    :meth:`check` is called at short intervals on one thread, :meth:`note_leadership`
    on the log's thread and :meth:`reason` on the service's.
    """

    def __init__(
        self,
        log: ReplicatedLog,
        service: JobService,
        clock: Clock,
        metrics: Metrics,
        data_folder: Path,
        log_interval_ms: int,
    ) -> None:
        self.log = log
        self.service = service
        self.clock = clock
        self.metrics = metrics
        self.data_folder = data_folder
        self.log_interval_ms = log_interval_ms
        self.leadership = LeadershipChange(False, 0, "", "")
        self.losses = LeaderLosses()
        self.free_bytes = UNKNOWN_BYTES
        self._trouble_since_ms: int | None = None
        self._trouble_seen_ms = 0
        self._why = ""
        self._logged_ms = 0
        self._reason = ""
        self._reason_until_ms = 0

    def note_leadership(self, change: LeadershipChange) -> None:
        """Record the leader and count the one that was lost, if any."""
        self.leadership = change
        now_ms = self.clock.monotonic_ms()
        self.losses.note_snapshot(self.log.status().snapshot_index, now_ms)
        at_snapshot = self.losses.note_leader(change.leader_id, now_ms)
        if at_snapshot is not None:
            self.metrics.count(LEADERS_LOST, str(at_snapshot))

    def check(self) -> None:
        """Set the metrics; log why no leader serves if none has for an interval."""
        self.free_bytes = self._read_free_bytes()
        view = self.view()
        now_ms = self.clock.monotonic_ms()
        self.losses.note_snapshot(view.status.snapshot_index, now_ms)
        self._set_metrics(view)
        self._note_trouble(trouble(view), now_ms)
        if self._trouble_since_ms is None:
            return
        since_ms = max(self._trouble_since_ms, self._logged_ms)
        if now_ms - since_ms >= self.log_interval_ms:
            self._logged_ms = now_ms
            self._log_leaderless(view)

    def _note_trouble(self, why: str, now_ms: int) -> None:
        if why:
            self._why = why
            self._trouble_seen_ms = now_ms
            if self._trouble_since_ms is None:
                self._trouble_since_ms = now_ms
        elif now_ms - self._trouble_seen_ms >= TROUBLE_ENDS_AFTER_MS:
            self._trouble_since_ms = None

    def view(self) -> LeaderView:
        """Return what this member knows about its leader now."""
        now_ms = self.clock.monotonic_ms()
        return LeaderView(
            self.log.status(),
            self.leadership,
            self.service.leader is not None,
            self.log.lease_valid(),
            self.service.leading_error,
            self.log.stalled_ms(),
            self.log.waiting_for(),
            self.free_bytes,
            self.losses.counts(now_ms),
        )

    def reason(self) -> str:
        """Return why this member declines calls, at most ``REASON_MAX_AGE_MS`` old."""
        if not self.log.is_started():
            return STARTING
        now_ms = self.clock.monotonic_ms()
        if now_ms >= self._reason_until_ms:
            self._reason = decline_reason(self.view())
            self._reason_until_ms = now_ms + REASON_MAX_AGE_MS
        return self._reason

    def _read_free_bytes(self) -> int:
        try:
            return shutil.disk_usage(self.data_folder).free
        except OSError:
            return UNKNOWN_BYTES

    def _set_metrics(self, view: LeaderView) -> None:
        status = view.status
        values = {
            MEMBER_REFUSES: int(bool(status.refusal_reason)),
            VOTERS: sum(m.member.voter for m in status.members),
            VOTERS_HEARD: status.voters_heard,
            MEMBER_ELECTIONS: status.elections,
            LEASE_VALID: int(view.lease_valid),
            TAKEOVER_FAILS: int(bool(view.leading_error)),
            LOG_WAITS: view.log_waits_ms,
            DISK_FREE: view.free_bytes,
        }
        for metric, value in values.items():
            self.metrics.set(metric, value)

    def _log_leaderless(self, view: LeaderView) -> None:
        status = view.status
        voters = [m.member.member_id for m in status.members if m.member.voter]
        _LOG.warning(
            "event=leaderless member=%s why=%r role=%s term=%d commit_index=%d "
            "last_index=%d elections=%d leaders_lost=%d lost_at_snapshot=%d "
            "log_waits_ms=%d waiting_for=%s free_bytes=%d voters=%s votes=%r "
            "denials=%r refused=%r leading_error=%r",
            status.member_id,
            log_text(self._why, MAX_WHY_CHARS),
            status.role,
            status.term,
            status.commit_index,
            status.last_index,
            status.elections,
            view.losses.lost,
            view.losses.at_snapshot,
            view.log_waits_ms,
            view.waiting_for or "-",
            view.free_bytes,
            ",".join(voters) or "-",
            log_text(votes_text(status), MAX_WHY_CHARS),
            log_text(denials_text(status), MAX_WHY_CHARS),
            log_text(status.refusal_reason, MAX_WHY_CHARS),
            log_text(view.leading_error, MAX_WHY_CHARS),
        )
