"""The leader's decisions: events in, proposals and orders out.

A draft of the state is advanced as commands are proposed, so that one commit
can carry ends and the starts they allow. Orders leave only after the command
that decided them is committed. One thread calls all methods.
"""

import logging
from collections.abc import Callable

from foxspring_model import Clock

from foxspring_jobs._advice import AdviceCall
from foxspring_jobs._commands import (
    Advance,
    CancelJob,
    Command,
    ReplaceTable,
    RunStart,
    SubmitJob,
)
from foxspring_jobs._lead_log import log_load, log_steps
from foxspring_jobs._lead_state import (
    LeaderSettings,
    LeadState,
    PendingEnd,
    Ports,
    Respond,
)
from foxspring_jobs._metrics import (
    COMMIT_SECONDS,
    COMMITS,
    FIRST_START_SECONDS,
    STARTS,
    Metrics,
)
from foxspring_jobs._operations import (
    Answer,
    Outcome,
    TargetReport,
    committed_answer,
)
from foxspring_jobs._orders import Order, Reading
from foxspring_jobs._placement import Allowed, Planner
from foxspring_jobs._rooms import StepPlace
from foxspring_jobs._session import TargetSession
from foxspring_jobs._specs import JobSpec, Queue
from foxspring_jobs._state import State
from foxspring_jobs._target_looks import TargetLooks
from foxspring_jobs._target_orders import TargetOrders
from foxspring_jobs._target_reports import TargetReports
from foxspring_jobs._waiting import (
    Waiting,
    due_occurrences,
    expired_jobs,
    waiting_steps,
)

_LOG = logging.getLogger(__name__)

MAX_IN_FLIGHT = 2
SWEEP_MS = 200
LOAD_LINE_MS = 1_000
REPLAN_MS = 200
FORGET_FACTOR_PERCENT = 150
# After a plan the next one waits for so many times as long as it took, so that
# answers to targets are never starved of processor time.
PLAN_REST_FACTOR = 2


class Leader:
    """One leadership's decisions."""

    def __init__(
        self,
        settings: LeaderSettings,
        token: int,
        draft: State,
        ports: Ports,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.lead = LeadState(settings, token, draft, ports, clock, metrics)
        self.metrics = metrics
        self.orders = TargetOrders(self.lead)
        self.looks = TargetLooks(self.lead, self.orders)
        self.lead.decide = self.decide
        self.lead.lose = self.looks.lose
        self.reports = TargetReports(self.lead, self.looks, self.orders, self._propose)
        self.in_flight = 0
        self.started_ms = clock.monotonic_ms()
        self.planned_ms = self.started_ms
        self.plan_after_ms = self.started_ms
        self.swept_ms = self.started_ms
        self.told_ms = self.started_ms
        self.opened: tuple[tuple[str, int], ...] = ()
        self.forgotten: tuple[str, ...] = ()

    def is_deposed(self) -> bool:
        """Tell whether this leadership may decide nothing more."""
        return self.lead.deposed

    def on_look(self, session: TargetSession, reading: Reading) -> None:
        """Take the answer to a hold."""
        self.looks.on_look(session, reading)

    def on_order(self, session: TargetSession, order: Order, reading: Reading) -> None:
        """Take the answer to an order."""
        self.orders.on_order(session, order, reading)

    def report(self, report: TargetReport, answer: Respond) -> None:
        """Take a target's heartbeat."""
        self.reports.report(report, answer)

    def leaving(self, target_id: str, born_ms: int, answer: Respond) -> None:
        """Note that a target ends now."""
        self.reports.leaving(target_id, born_ms, answer)

    def begin(self) -> None:
        """Take over every known target."""
        for target in self.lead.draft.targets.values():
            self.looks.open_session(target.registered, taking_over=True)
        _LOG.info(
            "event=leader_began token=%d targets=%d jobs=%d queue_version=%d",
            self.lead.token,
            len(self.lead.sessions),
            len(self.lead.draft.active),
            self.lead.draft.table.version,
        )

    def end(self) -> None:
        """Stop deciding: another member leads, or this process ends."""
        self.lead.deposed = True
        for session in self.lead.sessions.values():
            self.looks.close_session(session)
        self.lead.sessions.clear()

    def _propose(self, command: Command, done: Callable[[bool], None]) -> bool:
        if self.lead.deposed:
            done(False)
            return False
        applied = self.lead.draft.apply(command, self.lead.clock.wall_ms())

        def settled(committed: bool) -> None:
            if not committed:
                self.lead.deposed = True
            done(committed)

        self.lead.ports.propose(command, settled)
        return applied.changed

    def submit(self, job_id: str, queue: Queue, spec: JobSpec, answer: Respond) -> None:
        """Accept a job; answered once it is committed."""

        def done(committed: bool) -> None:
            _LOG.info(
                "event=job_submitted job=%s queue=%s committed=%s active=%d",
                job_id,
                queue.name,
                committed,
                len(self.lead.draft.active),
            )
            log_steps(job_id, spec)
            answer(committed_answer(committed))
            self.lead.plan_due = True
            self.decide()

        self._propose(SubmitJob(job_id, queue, spec), done)

    def cancel(self, job_id: str, answer: Respond) -> None:
        """Cancel a job; a job that has ended already is answered as gone."""
        if job_id not in self.lead.draft.jobs:
            answer(Answer(Outcome.GONE, "no such job"))
            return

        def done(committed: bool) -> None:
            _LOG.info(
                "event=job_cancelled job=%s committed=%s active=%d",
                job_id,
                committed,
                len(self.lead.draft.active),
            )
            answer(committed_answer(committed))
            self.decide()

        self._propose(CancelJob(job_id), done)

    def replace_table(self, command: ReplaceTable, answer: Respond) -> None:
        """Put a configuration in force unless a newer one is."""
        version = command.table.version
        held = self.lead.draft.table.version

        def done(committed: bool) -> None:
            _LOG.info(
                "event=table_replaced version=%d held=%d committed=%s",
                version,
                held,
                committed,
            )
            answer(committed_answer(committed))
            self.decide()

        self._propose(command, done)

    def tick(self) -> None:
        """Do what time alone makes due."""
        now_ms = self.lead.clock.monotonic_ms()
        for session in list(self.lead.sessions.values()):
            if session.silent and session.clock.lapsed(now_ms):
                self.looks.lose(session.life, "lease_lapsed")
        if now_ms >= self.told_ms + LOAD_LINE_MS:
            self.told_ms = now_ms
            log_load(self.lead, self.looks.rooms())
        if now_ms >= self.swept_ms + SWEEP_MS:
            self.swept_ms = now_ms
            wall_ms = self.lead.clock.wall_ms()
            keep_ms = self.lead.settings.keep_ended_ms * FORGET_FACTOR_PERCENT // 100
            self.opened = due_occurrences(self.lead.draft, wall_ms)
            self.forgotten = expired_jobs(self.lead.draft, wall_ms - keep_ms)
        if now_ms >= self.planned_ms + REPLAN_MS:
            self.lead.plan_due = True
        self.decide()

    def decide(self) -> None:
        """Propose what is due: ends, lost targets, times and starts."""
        if self.lead.deposed or self.in_flight >= MAX_IN_FLIGHT:
            return
        ends, self.lead.ends = self.lead.ends, []
        gone, self.lead.gone = tuple(self.lead.gone), []
        opened, self.opened = self.opened, ()
        forgotten, self.forgotten = self.forgotten, ()
        settled = Advance(
            tuple(pending.end for pending in ends), gone, opened, (), forgotten
        )
        if any(settled):
            self.lead.plan_due = True
            self.lead.draft.apply(settled, self.lead.clock.wall_ms())
        useless, self.lead.draft.useless = self.lead.draft.useless, []
        self.orders.stop_useless(useless)
        starts = self._plan()
        if not any(settled) and not starts:
            return
        self.lead.draft.apply(Advance(starts=starts), self.lead.clock.wall_ms())
        for start in starts:
            self.looks.note_start(start)
        self._commit(settled._replace(starts=starts), ends)

    def _commit(self, advance: Advance, ends: list[PendingEnd]) -> None:
        self.in_flight += 1
        proposed_ms = self.lead.clock.monotonic_ms()

        def done(committed: bool) -> None:
            self.in_flight -= 1
            self._measure_commit(proposed_ms, committed)
            if not committed:
                self.lead.deposed = True
                return
            for start in advance.starts:
                self._measure_start(start)
                self.orders.order_start(start)
            self.looks.forget_ends(ends)
            self.decide()

        self.lead.ports.propose(advance, done)

    def _measure_commit(self, proposed_ms: int, committed: bool) -> None:
        took_ms = self.lead.clock.monotonic_ms() - proposed_ms
        self.metrics.count(COMMITS, "applied" if committed else "unknown")
        self.metrics.observe_ms(COMMIT_SECONDS, took_ms)

    def _measure_start(self, start: RunStart) -> None:
        self.metrics.count(STARTS)
        job = self.lead.draft.jobs.get(start.run.task.job_id)
        first = (start.run.task[1:], start.run.number) == ((0, 0, 0), 1)
        if job is not None and first and not job.spec.is_timed():
            waited_ms = self.lead.clock.wall_ms() - job.submitted_ms
            self.metrics.observe_ms(FIRST_START_SECONDS, max(0, waited_ms))

    def _plan(self) -> tuple[RunStart, ...]:
        now_ms = self.lead.clock.monotonic_ms()
        if not self.lead.plan_due or now_ms < self.plan_after_ms:
            return ()
        self.lead.plan_due = False
        self.planned_ms = now_ms
        starts = self._plan_starts()
        took_ms = self.lead.clock.monotonic_ms() - now_ms
        self.plan_after_ms = now_ms + took_ms * (1 + PLAN_REST_FACTOR)
        return starts

    def _plan_starts(self) -> tuple[RunStart, ...]:
        waiting = waiting_steps(self.lead.draft, self.lead.clock.wall_ms())
        overdue = self.looks.overdue_runs()
        if not waiting and not overdue:
            return ()
        allowed = self._allowed(waiting)
        rooms = self.looks.rooms()
        planner = Planner(self.lead.draft, rooms, self.lead.table, allowed)
        starts = planner.plan(waiting)
        self._ask_advice(waiting, planner)
        return (*starts, *planner.plan_copies(overdue))

    # Advice.

    def _allowed(self, waiting: list[Waiting]) -> Allowed:
        now_ms = self.lead.clock.monotonic_ms()
        allowed: dict[StepPlace, frozenset[str]] = {}
        for step in waiting:
            if self.lead.draft.active[step.job_id].queue.needs_advice():
                tickets = self.lead.advice.valid(step.place(), now_ms)
                allowed[step.place()] = frozenset(tickets)
        return allowed

    def _ask_advice(self, waiting: list[Waiting], planner: Planner) -> None:
        asking = []
        for step in waiting:
            job = self.lead.draft.active[step.job_id]
            if job.queue.needs_advice():
                asking.append((step.place(), planner.candidates(job, step)))
        call = self.lead.advice.next_call(asking, self.lead.clock.monotonic_ms())
        if call is not None:
            self.lead.ports.advise(call)

    def on_advice(
        self, call: AdviceCall, allowed: tuple[tuple[str, str], ...] | None
    ) -> None:
        """Take the placement service's answer."""
        if self.lead.deposed:
            return
        job = self.lead.draft.jobs.get(call.job_id)
        _LOG.info(
            "event=advice_taken job=%s step=%d.%d asked=%d allowed=%s",
            *call.place(),
            len(call.targets),
            "-" if allowed is None else len(allowed),
        )
        if job is None:
            self.lead.advice.asking = None
            return
        now_ms = self.lead.clock.monotonic_ms()
        self.lead.advice.take(call, job.queue, allowed, now_ms)
        self.lead.plan_due = True
        self.decide()
