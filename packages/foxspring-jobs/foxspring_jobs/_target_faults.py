"""Attributes the failures of runs, and quarantines the targets that are at fault."""

import logging
from collections.abc import Iterable, Sequence

from foxspring_jobs._commands import RunEnd, RunKey, TaskKey
from foxspring_jobs._failure_evidence import FailureEvidence
from foxspring_jobs._health import FAILURE_BLAME, STALL_BLAME, QuarantineEnd
from foxspring_jobs._leader_context import LeaderContext
from foxspring_jobs._metrics import QUARANTINED, REPEATED, TARGETS
from foxspring_jobs._orders import ReportedRun
from foxspring_jobs._restart_backoff import RestartBackoff
from foxspring_jobs._session import TargetSession
from foxspring_jobs._stalls import FULL_PERCENT, RunProgress
from foxspring_jobs._state import EndKind

_LOG = logging.getLogger(__name__)

MAX_LOGGED_JOBS = 5
NO_NAMES = "-"


class TargetFaults:
    """Decides for one leadership whether a target or its work is at fault."""

    def __init__(self, context: LeaderContext) -> None:
        self.context = context
        self.evidence = FailureEvidence()
        self.backoff = RestartBackoff()

    def note_end(self, session: TargetSession, end: RunEnd) -> None:
        """Note how a run has ended, as its target says."""
        task = end.run.task
        # A target may list any number of a step.
        step = self.context.draft.step_spec(task)
        if step is None:
            return
        if end.kind == EndKind.DONE:
            self._run_done(session, task)
        elif end.kind == EndKind.FAILED:
            # A long-running task may fail at any time.
            if not (step.long_running and session.was_at_work(end.run)):
                self._run_failed(session, task)
        else:
            return
        if step.long_running:
            self._delay_restart(session, end)

    def _run_done(self, session: TargetSession, task: TaskKey) -> None:
        """Note that a run is done, which shows that its target is sound."""
        self._work_succeeded(task)
        self._end_quarantine(session, QuarantineEnd.DONE)
        session.health.clear()

    def _run_failed(self, session: TargetSession, task: TaskKey) -> None:
        """Note that a run failed without having been at work."""
        self.evidence.note_failed(task, session.incarnation.target_id)
        session.health.note_failed(task, FAILURE_BLAME)
        if not self.evidence.is_faulty(task):
            self._quarantine_if_to_blame(session, "failed")

    def note_at_work(self, rows: Iterable[ReportedRun]) -> None:
        """Note which long-running tasks of failed steps are at work now."""
        if not self.evidence.steps:
            return
        for row in rows:
            task = row.run.task
            if row.percent < FULL_PERCENT or task[:3] not in self.evidence.steps:
                continue
            step = self.context.draft.step_spec(task)
            if step is not None and step.long_running:
                self._work_succeeded(task)

    def _work_succeeded(self, task: TaskKey) -> None:
        """Note that a run succeeded.

        Failures of work that was faulty until now are not held against targets later.
        """
        if self.evidence.is_faulty(task):
            for session in self.context.sessions.values():
                session.health.forget_failures(task[:3])
        self.evidence.note_success(task)

    def _delay_restart(self, session: TargetSession, end: RunEnd) -> None:
        """Delay the restart of a long-running task that has ended by itself."""
        task = end.run.task
        now_ms = self.context.clock.monotonic_ms()
        lasted_ms = session.lasted_ms(end.run) or 0
        delay_ms = self.backoff.note_ended(task, lasted_ms, now_ms)
        if not delay_ms:
            return
        failures = self.evidence.failures_of(task)
        _LOG.info(
            "event=restart_delayed job=%s task=%d.%d.%d early_ends=%d lasted_ms=%d "
            "delay_ms=%d failures=%d targets=%s",
            *task,
            self.backoff.early_ends(task),
            lasted_ms,
            delay_ms,
            failures.runs,
            _names(failures.targets),
        )

    def runs_stalled(self, session: TargetSession, rows: Sequence[RunProgress]) -> None:
        """Note that runs make no progress and are about to be stopped."""
        for row in rows:
            self.evidence.note_stalled(row.run.task)
            blame = FAILURE_BLAME if row.step.best_effort else STALL_BLAME
            session.health.note_failed(row.run.task, blame)
        now_ms = self.context.clock.monotonic_ms()
        counted = any(not self.evidence.is_faulty(row.run.task) for row in rows)
        if counted and not session.health.is_quarantined(now_ms):
            self._quarantine_if_to_blame(session, "stalled")

    def start_declined(self, session: TargetSession) -> None:
        """Note that a target says itself that it takes no start."""
        session.health.declined = True
        self._quarantine(session, "declined", ())

    def note_start(self, session: TargetSession, run: RunKey) -> None:
        """Record that a run is given to a target.

        One of faulty work is no probe of it.
        """
        if not self.evidence.is_faulty(run.task):
            session.health.note_start(self.context.clock.monotonic_ms())

    def update(self) -> None:
        """Judge again what has failed, before a plan."""
        if self.evidence.steps:
            for step, failures in self.evidence.judge_steps(self.context.draft):
                _LOG.warning(
                    "event=step_fails_everywhere job=%s step=%d.%d failures=%d "
                    "targets=%s",
                    *step,
                    failures.runs,
                    _names(failures.targets),
                )
        now_ms = self.context.clock.monotonic_ms()
        for session in self.context.sessions.values():
            if session.health.quarantine_count:
                self._judge(session, now_ms)

    def _judge(self, session: TargetSession, now_ms: int) -> None:
        health = session.health
        if health.is_quiet(now_ms):
            self._end_quarantine(session, QuarantineEnd.QUIET)
            health.clear()
        elif not (health.declined or health.is_to_blame(self.evidence.is_faulty)):
            self._end_quarantine(session, QuarantineEnd.WITHDRAWN)
            health.end_quarantine()

    def measure(self) -> None:
        """Set the metrics, and forget what is over."""
        self.evidence.forget_purged(self.context.draft)
        for session in self.context.sessions.values():
            session.health.forget_purged(self.context.draft.jobs)
        self.backoff.forget_steady(self.context.draft, self.context.clock.wall_ms())
        sessions = self.context.sessions.values()
        count = sum(bool(session.health.quarantine_count) for session in sessions)
        self.context.metrics.set(QUARANTINED, count)
        self.context.metrics.set(TARGETS, len(sessions))
        self.context.metrics.set(REPEATED, len(self.backoff.repeated()))

    def _quarantine_if_to_blame(self, session: TargetSession, reason: str) -> None:
        if session.health.is_to_blame(self.evidence.is_faulty):
            jobs = session.health.blamed_for(self.evidence.is_faulty)
            self._quarantine(session, reason, tuple(jobs))

    def _quarantine(
        self, session: TargetSession, reason: str, jobs: Sequence[str]
    ) -> None:
        now_ms = self.context.clock.monotonic_ms()
        was_quarantined = session.health.is_quarantined(now_ms)
        pause_ms = session.health.quarantine(now_ms)
        if was_quarantined:
            return
        _LOG.warning(
            "event=target_quarantined target=%s why=%s jobs=%s times=%d pause_ms=%d",
            session.incarnation.target_id,
            reason,
            _names(jobs),
            session.health.quarantine_count,
            pause_ms,
        )

    def _end_quarantine(self, session: TargetSession, why: QuarantineEnd) -> None:
        """Log the end of a quarantine, if there is one."""
        if not session.health.quarantine_count:
            return
        _LOG.info(
            "event=target_quarantine_ended target=%s why=%s times=%d jobs=%s",
            session.incarnation.target_id,
            why.value,
            session.health.quarantine_count,
            _names(session.health.blamed_for(self.evidence.is_faulty)),
        )


def _names(names: Iterable[str]) -> str:
    """Return the first names for a log line."""
    first = list(names)[:MAX_LOGGED_JOBS]
    return ",".join(first) or NO_NAMES
