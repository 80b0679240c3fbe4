"""The leader's decisions: turns events into proposals and orders.

A draft of the state is advanced as commands are proposed, so that one commit can carry
ends and the starts that they make possible. Orders are sent only after the command
behind them is committed. All methods run on one thread.
"""

import logging
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from foxspring_model import Clock

from foxspring_jobs._advice import AdviceCall
from foxspring_jobs._advice_calls import AdviceCalls
from foxspring_jobs._candidate_pool import CandidatePool
from foxspring_jobs._capacity_log import log_capacity
from foxspring_jobs._commands import (
    Advance,
    CancelJob,
    Command,
    ReplaceTable,
    RunStart,
    SubmitJob,
    TargetIncarnation,
    TargetLoss,
)
from foxspring_jobs._crash_log import CrashLog
from foxspring_jobs._decision_size import count_of_next_ends
from foxspring_jobs._due_occurrences import due_occurrences
from foxspring_jobs._interrupted_log import InterruptedLog
from foxspring_jobs._job_log import JobLog
from foxspring_jobs._job_memory import JobMemory
from foxspring_jobs._leader_context import (
    LeaderContext,
    LeaderSettings,
    PendingEnd,
    Ports,
    Respond,
)
from foxspring_jobs._leader_log import log_load, log_steps
from foxspring_jobs._metrics import (
    COMMIT_SECONDS,
    COMMITS,
    FIRST_START_SECONDS,
    PLAN_SECONDS,
    STARTS,
    Metrics,
)
from foxspring_jobs._operations import (
    Answer,
    Outcome,
    TargetReport,
    committed_answer,
)
from foxspring_jobs._orders import Order, TargetResult
from foxspring_jobs._placement import Planner
from foxspring_jobs._plan_index import PlanIndex
from foxspring_jobs._restarts import RestartLimits, Restarts
from foxspring_jobs._session import TargetSession
from foxspring_jobs._short_work import ShortWork
from foxspring_jobs._specs import JobSpec, Queue
from foxspring_jobs._stage_times import Stage
from foxspring_jobs._state import JobState, State
from foxspring_jobs._takeover import Takeover
from foxspring_jobs._target_faults import TargetFaults
from foxspring_jobs._target_losses import close_session
from foxspring_jobs._target_orders import TargetOrders
from foxspring_jobs._target_poller import TargetPoller
from foxspring_jobs._target_reports import TargetReports
from foxspring_jobs._waiting import WaitingOrder, expired_jobs

_LOG = logging.getLogger(__name__)

MAX_IN_FLIGHT = 2
SWEEP_INTERVAL_MS = 200
LOAD_LOG_INTERVAL_MS = 1_000
REPLAN_INTERVAL_MS = 200
RETENTION_PERCENT = 150
SLOW_PLAN_MS = 100
# Callers wait for at most a few seconds, and calls and results wait for the plan.
MAX_PLAN_MS = 500
# The next plan waits this many times as long as the last one took, so that
# planning does not starve the handling of target replies of CPU time.
PLAN_PAUSE_FACTOR = 2


class Leader:
    """Makes the decisions of one leadership."""

    def __init__(
        self,
        settings: LeaderSettings,
        token: int,
        draft: State,
        ports: Ports,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.context = LeaderContext(settings, token, draft, ports, clock, metrics)
        self.metrics = metrics
        self.faults = TargetFaults(self.context)
        self.orders = TargetOrders(self.context, self.faults)
        self.poller = TargetPoller(self.context, self.orders, self.faults)
        self.context.decide = self.decide
        self.context.declare_lost = self.poller.losses.declare_lost
        self.reports = TargetReports(
            self.context, self.poller, self.orders, self._propose
        )
        self.pool = CandidatePool(self.context)
        self.waiting_order = WaitingOrder()
        self.plan_index = PlanIndex(self.context.interference)
        self.restarts = Restarts()
        self.interrupted_log = InterruptedLog(self.context, self.restarts)
        self.job_log = JobLog(self.context)
        self.crash_log = CrashLog(self.context, self.job_log)
        self.advice_calls = AdviceCalls(self.context)
        self.memory = JobMemory(self.context)
        self.in_flight = 0
        self.started_ms = clock.monotonic_ms()
        self.short_work = ShortWork(self.started_ms)
        self.planned_ms = self.started_ms
        self.plan_after_ms = self.started_ms
        self.swept_ms = self.started_ms
        self.load_logged_ms = self.started_ms
        self.opened: tuple[tuple[str, int], ...] = ()
        self.purged: tuple[str, ...] = ()
        self.forgetting = False
        self.takeover = Takeover(self.context, self.poller)

    def is_deposed(self) -> bool:
        """Return whether this leadership may make no more decisions."""
        return self.context.deposed

    def note_queue_time(self, waited_ms: int) -> None:
        """Note how long an action was queued for the leader's thread."""
        self.context.stage_times.observe(Stage.QUEUE, waited_ms)

    def on_poll_result(
        self, session: TargetSession, target_result: TargetResult
    ) -> None:
        """Handle the result of a poll."""
        self.poller.on_poll_result(session, target_result)

    def on_order(
        self, session: TargetSession, order: Order, target_result: TargetResult
    ) -> None:
        """Handle the result of an order."""
        self.orders.on_order(session, order, target_result)

    def report(self, report: TargetReport, answer: Respond) -> None:
        """Handle a target's heartbeat."""
        self.reports.report(report, answer)

    def target_leaving(
        self, target_id: str, incarnation_ms: int, answer: Respond
    ) -> None:
        """Record that a target is shutting down."""
        self.reports.target_leaving(target_id, incarnation_ms, answer)

    def begin(self) -> None:
        """Take over every registered target.

        Raises:
            Exception: none of several targets can be taken over.
        """
        self.takeover.begin()
        _LOG.info(
            "event=leader_began token=%d targets=%d jobs=%d queue_version=%d",
            self.context.token,
            len(self.context.sessions),
            len(self.context.draft.active),
            self.context.draft.table.version,
        )

    def end(self) -> None:
        """Stop deciding, because another member leads or this process ends."""
        self.context.deposed = True
        for session in self.context.sessions.values():
            close_session(self.context, session)
        self.context.sessions.clear()

    def _propose(self, command: Command, done: Callable[[bool], None]) -> bool:
        if self.context.deposed:
            done(False)
            return False

        def settled(committed: bool) -> None:
            if not committed:
                self.context.deposed = True
            done(committed)

        with self._deposed_if_it_fails():
            applied = self.context.draft.apply(command, self.context.clock.wall_ms())
            self.context.ports.propose(command, settled)
        return applied.changed

    @contextmanager
    def _deposed_if_it_fails(self) -> Iterator[None]:
        """End this leadership on an exception.

        The draft may hold what is not in the log, so that it would never be done. The
        next leadership begins from the committed state.
        """
        try:
            yield
        except Exception:
            self.context.deposed = True
            raise

    def submit(self, job_id: str, queue: Queue, spec: JobSpec, answer: Respond) -> None:
        """Accept a job; the call is answered once the job is committed.

        A new job that the members have no memory for is refused at once.
        """
        refusal = self.memory.admit(job_id, queue, spec)
        if refusal is not None:
            answer(refusal)
            return

        def done(committed: bool) -> None:
            _LOG.info(
                "event=job_submitted job=%s queue=%s committed=%s active=%d",
                job_id,
                queue.name,
                committed,
                len(self.context.draft.active),
            )
            log_steps(job_id, spec)
            job = self.context.draft.jobs.get(job_id)
            if committed and job is not None:
                self.job_log.note_submitted(job)
                self.context.stage_times.note_ready(job)
                now_ms = self.context.clock.monotonic_ms()
                self.short_work.note_arrival(spec, now_ms)
            answer(committed_answer(committed))
            self.context.plan_due = True
            self.decide()

        self._propose(SubmitJob(job_id, queue, spec), done)

    def cancel(self, job_id: str, answer: Respond) -> None:
        """Cancel a job; an unknown job is answered with ``GONE``."""
        job = self.context.draft.jobs.get(job_id)
        if job is None:
            answer(Answer(Outcome.GONE, "no such job"))
            return
        active = not job.has_ended()

        def done(committed: bool) -> None:
            _LOG.info(
                "event=job_cancelled job=%s committed=%s active=%d",
                job_id,
                committed,
                len(self.context.draft.active),
            )
            if committed and active:
                self.job_log.job_ended(job)
                self.context.stage_times.job_ended(job)
            answer(committed_answer(committed))
            self.decide()

        self._propose(CancelJob(job_id), done)

    def replace_table(self, command: ReplaceTable, answer: Respond) -> None:
        """Replace the configuration, unless a newer one is in force."""
        version = command.table.version
        current_version = self.context.draft.table.version

        def done(committed: bool) -> None:
            _LOG.info(
                "event=table_replaced version=%d held=%d committed=%s",
                version,
                current_version,
                committed,
            )
            answer(committed_answer(committed))
            self.decide()

        self._propose(command, done)

    def tick(self) -> None:
        """Do what is due at the current time."""
        now_ms = self.context.clock.monotonic_ms()
        for session in list(self.context.sessions.values()):
            self.poller.check_lease(session)
        self.context.stage_times.log_if_due()
        if now_ms >= self.load_logged_ms + LOAD_LOG_INTERVAL_MS:
            self.load_logged_ms = now_ms
            self.memory.measure()
            self.faults.measure()
            candidates = self.pool.candidates()
            log_load(self.context, candidates)
            log_capacity(self.context.draft, candidates)
        if now_ms >= self.swept_ms + SWEEP_INTERVAL_MS:
            self._sweep(now_ms)
        self.takeover.retry_if_due(now_ms)
        if now_ms >= self.planned_ms + REPLAN_INTERVAL_MS:
            self.context.plan_due = True
        self.decide()

    def _sweep(self, now_ms: int) -> None:
        """Look for occurrences that are due, and for what has been over for long."""
        self.swept_ms = now_ms
        began_ms = self.context.clock.monotonic_ms()
        draft = self.context.draft
        wall_ms = self.context.clock.wall_ms()
        keep_ms = self.context.settings.keep_ended_ms * RETENTION_PERCENT // 100
        limits = self.memory.budget.open_limits()
        self.opened = due_occurrences(draft, wall_ms, limits)
        for job_id, _ in self.opened:
            job = draft.active[job_id]
            self.memory.budget.note_opened(job.occurrence_bytes)
            self.short_work.note_arrival(job.spec, now_ms)
        self.forgetting = draft.silent_losses.has_old(wall_ms)
        self.purged = expired_jobs(draft, wall_ms - keep_ms)
        took_ms = self.context.clock.monotonic_ms() - began_ms
        self.context.stage_times.observe(Stage.SWEEP, took_ms)

    def decide(self) -> None:
        """Propose ends, lost targets, due occurrences, purged jobs and starts."""
        if self.context.deposed or self.in_flight >= MAX_IN_FLIGHT:
            return
        with self._deposed_if_it_fails():
            self._decide()

    def _decide(self) -> None:
        ends, losses, lost_targets = self._take_ends()
        opened, self.opened = self.opened, ()
        purged, self.purged = self.purged, ()
        forgetting, self.forgetting = self.forgetting, False
        ended_jobs: list[JobState] = []
        settled = Advance(
            tuple(pending.end for pending in ends),
            lost_targets,
            opened,
            (),
            purged,
            losses,
        )
        if any(settled) or forgetting:
            self.context.plan_due = True
            ended_jobs = self._settle(settled)
        self.crash_log.log_given_up(ended_jobs)
        obsolete_runs, self.context.draft.obsolete_runs = (
            self.context.draft.obsolete_runs,
            [],
        )
        self.orders.stop_obsolete(obsolete_runs)
        starts = self._plan()
        if not any(settled) and not starts and not forgetting:
            return
        self.context.draft.apply(Advance(starts=starts), self.context.clock.wall_ms())
        for start in starts:
            self.poller.note_start(start)
        self.memory.budget.note_started(len(starts))
        self.job_log.note_starts(starts)
        self.context.stage_times.note_starts(starts)
        self._commit(settled._replace(starts=starts), ends, ended_jobs)

    def _take_ends(
        self,
    ) -> tuple[list[PendingEnd], tuple[TargetLoss, ...], tuple[TargetIncarnation, ...]]:
        """Take the next ends of runs and, after the last ones, the lost targets.

        The loss of a target ends the runs on it as if they had not ended before.
        """
        context = self.context
        count = count_of_next_ends(context.pending_ends)
        ends, context.pending_ends = (
            context.pending_ends[:count],
            context.pending_ends[count:],
        )
        if context.pending_ends:
            return ends, (), ()
        losses, context.losses = tuple(context.losses), []
        lost_targets, context.lost_targets = tuple(context.lost_targets), []
        return ends, losses, lost_targets

    def _settle(self, settled: Advance) -> list[JobState]:
        """Apply ends and other changes to the draft; return the jobs that they end."""
        draft = self.context.draft
        job_ids = dict.fromkeys(end.run.task.job_id for end in settled.ends)
        jobs = [draft.active[job_id] for job_id in job_ids if job_id in draft.active]
        draft.apply(settled, self.context.clock.wall_ms())
        ended = [job for job in jobs if job.has_ended()]
        for job in jobs:
            self._note_stages(job)
        return ended

    def _note_stages(self, job: JobState) -> None:
        if job.has_ended():
            self.context.stage_times.job_ended(job)
        else:
            self.context.stage_times.note_ready(job)

    def _commit(
        self, advance: Advance, ends: list[PendingEnd], ended_jobs: list[JobState]
    ) -> None:
        self.in_flight += 1
        proposed_ms = self.context.clock.monotonic_ms()

        def done(committed: bool) -> None:
            self.in_flight -= 1
            self._measure_commit(proposed_ms, committed)
            if not committed:
                self.context.deposed = True
                return
            with self._deposed_if_it_fails():
                self._carry_out(advance, ends, ended_jobs)
            self.decide()

        self.context.ports.propose(advance, done)

    def _carry_out(
        self, advance: Advance, ends: list[PendingEnd], ended_jobs: list[JobState]
    ) -> None:
        """Do what a committed decision makes due."""
        for job in ended_jobs:
            self.job_log.job_ended(job)
        for start in advance.starts:
            self._measure_start(start)
            self.orders.send_committed_start(start)
        self.poller.acknowledge_ends(ends)

    def _measure_commit(self, proposed_ms: int, committed: bool) -> None:
        took_ms = self.context.clock.monotonic_ms() - proposed_ms
        self.metrics.count(COMMITS, "applied" if committed else "unknown")
        self.metrics.observe_ms(COMMIT_SECONDS, took_ms)
        self.context.stage_times.observe(Stage.COMMIT, took_ms)

    def _measure_start(self, start: RunStart) -> None:
        self.metrics.count(STARTS)
        job = self.context.draft.jobs.get(start.run.task.job_id)
        first = (start.run.task[1:], start.run.number) == ((0, 0, 0), 1)
        if job is not None and first and not job.spec.is_timed():
            waited_ms = self.context.clock.wall_ms() - job.submitted_ms
            self.metrics.observe_ms(FIRST_START_SECONDS, max(0, waited_ms))

    def _plan(self) -> tuple[RunStart, ...]:
        now_ms = self.context.clock.monotonic_ms()
        if not self.context.plan_due or now_ms < self.plan_after_ms:
            return ()
        self.context.plan_due = False
        self.planned_ms = now_ms
        starts = self._plan_starts_or_none()
        took_ms = self.context.clock.monotonic_ms() - now_ms
        self.plan_after_ms = now_ms + took_ms * (1 + PLAN_PAUSE_FACTOR)
        if took_ms >= MAX_PLAN_MS:
            # Steps may have been left to the next plan.
            self.context.plan_due = True
        self.metrics.observe_ms(PLAN_SECONDS, took_ms)
        self.context.stage_times.observe(Stage.PLAN, took_ms)
        if took_ms >= SLOW_PLAN_MS:
            _LOG.info("event=slow_plan took_ms=%d starts=%d", took_ms, len(starts))
        return starts

    def _plan_starts_or_none(self) -> tuple[RunStart, ...]:
        """Plan starts; after an unexpected error there are none.

        The ends that were applied to the draft have to be committed in any case. What
        is kept from plan to plan may be inconsistent and is made anew.
        """
        try:
            return self._plan_starts()
        except Exception:
            _LOG.exception("event=plan_failed")
            self.waiting_order = WaitingOrder()
            self.plan_index = PlanIndex(self.context.interference)
            return ()

    def _plan_starts(self) -> tuple[RunStart, ...]:
        now_ms = self.context.clock.monotonic_ms()
        self.faults.update()
        repeated = self.faults.backoff.repeated()
        self.restarts.update(self.context.draft, now_ms, repeated)
        waiting = self.waiting_order.steps(
            self.context.draft,
            self.context.clock.wall_ms(),
            self.restarts.overdue(now_ms),
        )
        overdue = self.poller.overdue_runs()
        if not waiting and not overdue:
            return ()
        limits = self.memory.start_limits()
        if not limits.starts:
            return ()
        allowed = self.advice_calls.allowed(waiting)
        candidates = self.pool.candidates()
        planner = Planner(
            self.context.draft,
            candidates,
            self.context.interference,
            allowed,
            RestartLimits(
                self.restarts.holding(now_ms),
                self.faults.backoff.delayed(now_ms),
                repeated,
            ),
            self.short_work.is_expected(now_ms),
            self.plan_index,
            limits,
        )

        def is_over() -> bool:
            return self.context.clock.monotonic_ms() >= now_ms + MAX_PLAN_MS

        interrupted = self.interrupted_log.before_plan(waiting, planner)
        self.job_log.before_plan(candidates)
        starts = planner.plan(waiting, is_over)
        self.job_log.after_plan(waiting, starts)
        self.interrupted_log.after_plan(interrupted, planner)
        self.advice_calls.request(waiting, planner)
        return (*starts, *planner.plan_speculative_runs(overdue))

    def on_advice(
        self, call: AdviceCall, allowed: tuple[tuple[str, str], ...] | None
    ) -> None:
        """Handle the placement service's answer."""
        self.advice_calls.on_answer(call, allowed)
