"""The leader's decisions: events in, proposals and orders out.

A draft of the state is advanced as commands are proposed, so that one commit
can carry ends and the starts they allow. Orders leave only after the command
that decided them is committed. One thread calls all methods.
"""

import logging
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple, Protocol

from foxspring_model import Clock

from foxspring_jobs._commands import (
    Advance,
    CancelJob,
    Command,
    RegisterTarget,
    ReplaceTable,
    RunEnd,
    RunKey,
    RunStart,
    SubmitJob,
    TargetLife,
)
from foxspring_jobs._interference import Interference
from foxspring_jobs._operations import Answer, Outcome, TargetReport
from foxspring_jobs._orders import (
    HoldRequest,
    Order,
    PaceOrder,
    Reading,
    Result,
    StartOrder,
    StopOrder,
    TargetView,
)
from foxspring_jobs._placement import Planner, Room, began_ms, waiting_steps
from foxspring_jobs._pressure import (
    FillRow,
    Move,
    Pace,
    Relief,
    ServingRow,
    relieve,
)
from foxspring_jobs._session import TargetSession
from foxspring_jobs._specs import Queue
from foxspring_jobs._stalls import is_stalled, wants_copy
from foxspring_jobs._state import EndKind, JobState, State, TargetState

_LOG = logging.getLogger(__name__)

LOOK_WAIT_MS = 1_000
RETRY_ORDER_MS = 150
RETRY_LOOK_MS = 250
MAX_IN_FLIGHT = 2
LONG_LOOK_WAIT_MS = 2_000
SWEEP_MS = 200
LOAD_LINE_MS = 1_000
REPLAN_MS = 200
SURVEY_MS = 100
RELIEF_PAUSE_MS = 600
FORGET_FACTOR_PERCENT = 150


class LeaderSettings(NamedTuple):
    """Times in milliseconds; ``keep_ended_ms`` is how long ended jobs show."""

    lease_ms: int = 4_000
    keep_ended_ms: int = 120_000


class Ports(Protocol):
    """What the leader acts through; no method may block."""

    def propose(self, command: Command, done: Callable[[bool], None]) -> None:
        """Append a command; call back on the leader's thread once settled."""

    def look(self, session: TargetSession, request: HoldRequest) -> None:
        """Send a hold; its reading comes back as ``on_look``."""

    def order(self, session: TargetSession, order: Order) -> None:
        """Send an order; its reading comes back as ``on_order``."""

    def release(self, session: TargetSession) -> None:
        """Drop the connections to a target and what waits for it."""

    def lease_valid(self) -> bool:
        """Tell whether no other member can lead now."""

    def later(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Run an action on the leader's thread after a delay."""


class Leader:
    """One term's decisions."""

    def __init__(
        self,
        settings: LeaderSettings,
        token: int,
        draft: State,
        ports: Ports,
        clock: Clock,
    ) -> None:
        self.settings = settings
        self.token = token
        self.draft = draft
        self.ports = ports
        self.clock = clock
        self.started_ms = clock.monotonic_ms()
        self.deposed = False
        self.in_flight = 0
        self.ends: list[tuple[TargetSession, int, RunEnd]] = []
        self.gone: list[TargetLife] = []
        self.sessions: dict[str, TargetSession] = {}
        self.turns: dict[str, int] = {}
        self.sequences: dict[TargetLife, int] = {}
        self.plan_due = True
        self.planned_ms = self.started_ms
        self.swept_ms = self.started_ms
        self.told_ms = self.started_ms
        self.opened: tuple[tuple[str, int], ...] = ()
        self.forgotten: tuple[str, ...] = ()
        self.table = Interference()
        self.survey: Planner | None = None
        self.surveyed_ms = 0

    def begin(self) -> None:
        """Take over every known target."""
        for target in self.draft.targets.values():
            self._open_session(target.registered)
        _LOG.info(
            "event=leader_began token=%d targets=%d jobs=%d queue_version=%d",
            self.token,
            len(self.sessions),
            len(self.draft.active),
            self.draft.table.version,
        )

    def end(self) -> None:
        """Stop deciding: another member leads, or this process ends."""
        self.deposed = True
        for session in self.sessions.values():
            self._close_session(session)
        self.sessions.clear()

    # Proposals.

    def _propose(self, command: Command, done: Callable[[bool], None]) -> bool:
        if self.deposed:
            done(False)
            return False
        applied = self.draft.apply(command, self.clock.wall_ms())

        def settled(committed: bool) -> None:
            if not committed:
                self.deposed = True
            done(committed)

        self.ports.propose(command, settled)
        return applied.changed

    # Calls of callers and operators.

    def submit(
        self, job_id: str, queue: Queue, spec: Any, answer: Callable[[Answer], None]
    ) -> None:
        """Accept a job; answered once it is committed."""

        def done(committed: bool) -> None:
            self._log_call("job_submitted", job_id, committed, queue.name)
            for number, step in enumerate(spec.steps):
                _LOG.info(
                    "event=step_declared job=%s step=%d count=%d cores_milli=%d "
                    "memory_mb=%d estimated_ms=%d after=%s lasting=%s fills=%s "
                    "target_ms=%d image=%s per_target=%d away=%d",
                    job_id,
                    number,
                    step.task_count,
                    step.resources.cores_milli,
                    step.resources.memory_mb,
                    step.estimated_ms,
                    ",".join(map(str, step.after)) or "-",
                    step.lasting,
                    step.fills,
                    step.latency_target_ms,
                    step.image or "-",
                    step.max_per_target,
                    step.max_away,
                )
            answer(_answer(committed))
            self.plan_due = True
            self.decide()

        self._propose(SubmitJob(job_id, queue, spec), done)

    def cancel(self, job_id: str, answer: Callable[[Answer], None]) -> None:
        """Cancel a job; a job that has ended already is answered as gone."""
        if job_id not in self.draft.jobs:
            answer(Answer(Outcome.GONE, "no such job"))
            return

        def done(committed: bool) -> None:
            self._log_call("job_cancelled", job_id, committed, "")
            answer(_answer(committed))
            self.decide()

        self._propose(CancelJob(job_id), done)

    def replace_table(
        self, command: ReplaceTable, answer: Callable[[Answer], None]
    ) -> None:
        """Put a configuration in force unless a newer one is."""
        version = command.table.version
        held = self.draft.table.version

        def done(committed: bool) -> None:
            _LOG.info(
                "event=table_replaced version=%d held=%d committed=%s",
                version,
                held,
                committed,
            )
            answer(_answer(committed))
            self.decide()

        self._propose(command, done)

    def _log_call(self, event: str, job_id: str, committed: bool, queue: str) -> None:
        _LOG.info(
            "event=%s job=%s queue=%s committed=%s active=%d",
            event,
            job_id,
            queue or "-",
            committed,
            len(self.draft.active),
        )

    # Targets.

    def report(self, report: TargetReport, answer: Callable[[Answer], None]) -> None:
        """Take a target's heartbeat; acknowledged once what is new is committed."""
        fresh = report.registered
        life = fresh.life
        known = self.draft.targets.get(life.target_id)
        if known is not None and known.life.born_ms > life.born_ms:
            answer(Answer(Outcome.OK, "older life"))
            return
        if report.sequence < self.sequences.get(life, 0):
            answer(Answer(Outcome.OK, "older report"))
            return
        self.sequences[life] = report.sequence
        same_life = known is not None and known.life == life
        if same_life and known is not None and known.registered.draining:
            fresh = fresh._replace(draining=True)
        if same_life and known is not None and known.registered == fresh:
            answer(Answer(Outcome.OK))
            return
        self._retire_address(fresh)
        if known is not None and not same_life:
            self._adopt(fresh)
            answer(Answer(Outcome.OK, "adopting"))
        else:
            self._register(fresh, answer)

    def _adopt(self, fresh: RegisterTarget) -> None:
        """Shut out orders to the earlier life before its runs are given up.

        An order that was on its way may start on the new life. A look under a
        higher token ends that, and shows what to stop first.
        """
        held = self.sessions.get(fresh.life.target_id)
        if held is not None and held.life == fresh.life:
            return
        if held is not None:
            self._close_session(held)
        session = self._begin_session(fresh)
        session.adopting = fresh

    def _retire_address(self, fresh: RegisterTarget) -> None:
        for target in list(self.draft.targets.values()):
            old = target.registered
            if old.life.target_id == fresh.life.target_id:
                continue
            older = old.life.born_ms < fresh.life.born_ms
            if older and old.address == fresh.address:
                self._lose(old.life, "address_reused")

    def _register(
        self, fresh: RegisterTarget, answer: Callable[[Answer], None]
    ) -> None:
        def done(committed: bool) -> None:
            _LOG.info(
                "event=target_registered target=%s born=%d draining=%s committed=%s",
                fresh.life.target_id,
                fresh.life.born_ms,
                fresh.draining,
                committed,
            )
            if committed:
                self._open_session(fresh)
            answer(_answer(committed))
            self.decide()

        self._propose(RegisterTarget(*fresh), done)
        session = self.sessions.get(fresh.life.target_id)
        if session is not None and session.life == fresh.life:
            session.draining = session.draining or fresh.draining
            self._evacuate(session)

    def _evacuate(self, session: TargetSession) -> None:
        target = self.draft.target(session.life)
        if session.draining and target is not None:
            self._stop_useless(list(target.runs))

    def leaving(
        self, target_id: str, born_ms: int, answer: Callable[[Answer], None]
    ) -> None:
        """Note that a target ends now; it gets nothing more."""
        session = self.sessions.get(target_id)
        if session is not None and born_ms in (0, session.life.born_ms):
            session.draining = True
            session.left = True
            _LOG.info("event=target_left target=%s", target_id)
        answer(Answer(Outcome.OK))

    def _open_session(self, registered: RegisterTarget) -> None:
        if self.deposed or self.draft.target(registered.life) is None:
            return
        held = self.sessions.get(registered.life.target_id)
        if held is not None:
            if held.life == registered.life:
                held.draining = held.draining or registered.draining
                self._evacuate(held)
                return
            self._close_session(held)
        self._begin_session(registered)

    def _begin_session(self, registered: RegisterTarget) -> TargetSession:
        target_id = registered.life.target_id
        turn = self.turns.get(target_id, -1) + 1
        self.turns[target_id] = turn
        session = TargetSession(
            registered,
            self.clock.monotonic_ms(),
            self.settings.lease_ms,
            self.token + turn,
        )
        self.sessions[target_id] = session
        self._look(session, wait_ms=0)
        return session

    def _close_session(self, session: TargetSession) -> None:
        session.closed = True
        self.ports.release(session)

    def _look(self, session: TargetSession, wait_ms: int) -> None:
        if session.closed or session.fenced or session.looking or self.deposed:
            return
        now_ms = self.clock.monotonic_ms()
        session.looking = True
        session.asked_ms = now_ms
        # Renewing towards a silent target would put off the time at which its
        # runs may surely be given up.
        renews = self.ports.lease_valid() and not session.left and not session.silent
        lease_until = session.clock.grant(now_ms) if renews else None
        self.ports.look(
            session, HoldRequest(session.token, session.cursor, lease_until, wait_ms)
        )

    def on_look(self, session: TargetSession, reading: Reading) -> None:
        """Take the answer to a hold."""
        session.looking = False
        if session.closed or self.deposed:
            return
        now_ms = self.clock.monotonic_ms()
        if reading.clock_ms is not None:
            session.clock.note(reading.clock_ms, now_ms)
        if reading.result is Result.OK and reading.view is not None:
            session.silent = 0
            self._take_view(session, reading.view, now_ms)
        else:
            self._look_failed(session, reading.result)
        self.decide()

    def _look_failed(self, session: TargetSession, result: Result) -> None:
        session.silent += 1
        if session.silent == 1:
            _LOG.warning(
                "event=target_silent target=%s result=%s",
                session.life.target_id,
                result.value,
            )
        if result is Result.OTHER_LIFE:
            self._lose(session.life, "other_life")
        elif result is Result.FENCED:
            session.fenced = True
            _LOG.warning("event=target_fenced target=%s", session.life.target_id)
        elif result is Result.REBORN:
            session.fenced = True
            _LOG.warning("event=target_reborn target=%s", session.life.target_id)
        elif result is Result.REFUSED and session.left:
            self._lose(session.life, "left")
        else:
            self.ports.later(RETRY_LOOK_MS, lambda: self._look(session, wait_ms=0))

    def _take_view(self, session: TargetSession, view: TargetView, now_ms: int) -> None:
        if session.adopting is not None:
            self._take_adopted(session, session.adopting, view)
            return
        target = self.draft.target(session.life)
        if target is None:
            return
        news = self._take_ends(session, view)
        listed = {row.run for row in view.running}
        listed |= {row.run for row in view.finished}
        for row in view.running:
            if row.run not in target.runs:
                self._order(session, StopOrder(row.run))
        session.note_running(view.running, now_ms)
        self._relieve(session, target)
        self._replace_stalled(session, target)
        if view.complete:
            self._settle(session, listed)
        if not session.taken_over:
            session.taken_over = True
            self.plan_due = True
            self._resend_unlisted(session, listed)
            self._stop_useless(list(target.runs))
        if not news:
            self._look(session, self._wait_ms(target))

    def _replace_stalled(self, session: TargetSession, target: TargetState) -> None:
        now_ms = self.clock.monotonic_ms()
        stalled = [row for row in session.progress_of(target) if is_stalled(row)]
        if stalled and now_ms >= session.health.distrusted_until_ms:
            session.health.distrust(now_ms)
        for row in stalled:
            _LOG.warning(
                "event=run_stalled job=%s task=%d.%d.%d run=%d target=%s percent=%d "
                "still_ms=%d",
                *row.run.task,
                row.run.number,
                session.life.target_id,
                row.percent,
                row.seen_ms - row.moved_ms,
            )
            self._send_stop(session, row.run)

    def _wait_ms(self, target: TargetState) -> int:
        watched = target.serving and target.fills
        return LOOK_WAIT_MS if watched else LONG_LOOK_WAIT_MS

    def _relieve(self, session: TargetSession, target: TargetState) -> None:
        now_ms = self.clock.monotonic_ms()
        session.measure(target, self.table)
        if now_ms < session.relieved_ms + RELIEF_PAUSE_MS:
            return
        serving, fills = session.rows(target)
        reliefs = relieve(serving, fills, self.table, self._has_place)
        if reliefs:
            session.relieved_ms = now_ms
        for relief in reliefs:
            self._log_relief(session, relief, serving)
            if isinstance(relief, Move):
                self._send_stop(session, relief.run)
            else:
                session.paces[relief.run] = relief.percent
                self._order(session, PaceOrder(relief.run, relief.percent))

    def _has_place(self, fill: FillRow) -> bool:
        job = self.draft.active.get(fill.run.task.job_id)
        if job is None:
            return False
        step = job.spec.steps[fill.run.task.step]
        now_ms = self.clock.monotonic_ms()
        if self.survey is None or now_ms >= self.surveyed_ms + SURVEY_MS:
            self.survey = Planner(self.draft, self._rooms(), self.table)
            self.surveyed_ms = now_ms
        return self.survey.has_place(fill.run.task, step, job)

    def _log_relief(
        self, session: TargetSession, relief: Relief, serving: list[ServingRow]
    ) -> None:
        worst = max(row.tail_ms for row in serving)
        _LOG.info(
            "event=fill_relieved action=%s job=%s task=%d.%d.%d run=%d target=%s "
            "percent=%d worst_tail_ms=%d",
            type(relief).__name__.lower(),
            *relief.run.task,
            relief.run.number,
            session.life.target_id,
            relief.percent if isinstance(relief, Pace) else 0,
            worst,
        )

    def _take_adopted(
        self, session: TargetSession, fresh: RegisterTarget, view: TargetView
    ) -> None:
        if not view.running:
            session.adopting = None
            session.taken_over = True
            self._register(fresh, _ignore)
            self._look(session, LOOK_WAIT_MS)
            return
        for row in view.running:
            self._send_stop(session, row.run)
        self.ports.later(RETRY_LOOK_MS, lambda: self._look(session, wait_ms=0))

    def _take_ends(self, session: TargetSession, view: TargetView) -> bool:
        news = False
        for row in sorted(view.finished):
            if row.number <= session.seen_end:
                continue
            session.seen_end = row.number
            news = True
            end = RunEnd(row.run, session.life, row.kind, row.checkpoint)
            self.ends.append((session, row.number, end))
            self._judge_end(session, end)
        if not news and view.finished and session.cursor < session.seen_end:
            return True
        return news

    def _judge_end(self, session: TargetSession, end: RunEnd) -> None:
        now_ms = self.clock.monotonic_ms()
        key = end.run.task
        if end.kind == EndKind.DONE:
            session.health.note_done()
        elif end.kind == EndKind.FAILED:
            job = self.draft.jobs.get(key.job_id)
            lasting = job is not None and job.spec.steps[key.step].lasting
            if not lasting:
                session.health.note_failed(key.job_id, now_ms)
        _LOG.info(
            "event=run_ended job=%s task=%d.%d.%d run=%d target=%s kind=%s",
            *key,
            end.run.number,
            session.life.target_id,
            end.kind,
        )

    def _settle(self, session: TargetSession, listed: set[RunKey]) -> None:
        """End runs that never began and can no longer begin."""
        target = self.draft.target(session.life)
        for run, asked_ms in list(session.unsettled.items()):
            if asked_ms >= session.asked_ms:
                continue
            del session.unsettled[run]
            if target is None or run not in target.runs or run in listed:
                continue
            self._end_unbegun(session, run, "settled")

    def _end_unbegun(self, session: TargetSession, run: RunKey, why: str) -> None:
        _LOG.info(
            "event=run_not_begun job=%s task=%d.%d.%d run=%d target=%s why=%s",
            *run.task,
            run.number,
            session.life.target_id,
            why,
        )
        end = RunEnd(run, session.life, EndKind.REFUSED)
        self.ends.append((session, 0, end))

    def _resend_unlisted(self, session: TargetSession, listed: set[RunKey]) -> None:
        """Give again what an earlier leader committed and may not have sent."""
        target = self.draft.target(session.life)
        if target is None:
            return
        for run in target.runs:
            if run not in listed and run not in session.sent:
                self._send_start(session, run)

    # Orders.

    def _send_start(self, session: TargetSession, run: RunKey) -> None:
        job = self.draft.jobs.get(run.task.job_id)
        task = self.draft.task(run.task)
        if job is None or task is None:
            return
        session.sent.add(run)
        if job.has_ended() or task.done:
            self._send_stop(session, run)
            return
        self._order(session, StartOrder(run, job.spec.payload, task.checkpoint))

    def _send_stop(self, session: TargetSession, run: RunKey) -> None:
        if run in session.stopping:
            return
        session.stopping.add(run)
        self._order(session, StopOrder(run))

    def _order(self, session: TargetSession, order: Order) -> None:
        if session.closed or session.fenced or self.deposed:
            return
        self.ports.order(session, order)

    def on_order(self, session: TargetSession, order: Order, reading: Reading) -> None:
        """Take the answer to an order."""
        if session.closed or self.deposed:
            return
        now_ms = self.clock.monotonic_ms()
        if reading.clock_ms is not None:
            session.clock.note(reading.clock_ms, now_ms)
        result = reading.result
        if result is Result.OTHER_LIFE:
            self._lose(session.life, "other_life")
        elif result is Result.FENCED:
            session.fenced = True
        elif result in (Result.NO_ANSWER, Result.REFUSED, Result.UNHEALTHY):
            self._retry(session, order, result)
        elif isinstance(order, StartOrder):
            self._on_start(session, order, result, now_ms)
        elif isinstance(order, StopOrder):
            session.unsettled[order.run] = now_ms
        self.decide()

    def _retry(self, session: TargetSession, order: Order, result: Result) -> None:
        if result is not Result.UNHEALTHY:
            session.doubtful.add(order.run)
        _LOG.info(
            "event=order_unanswered order=%s job=%s task=%d.%d.%d run=%d target=%s "
            "result=%s",
            type(order).__name__,
            *order.run.task,
            order.run.number,
            session.life.target_id,
            result.value,
        )

        def again() -> None:
            target = self.draft.target(session.life)
            if target is None or order.run not in target.runs:
                return
            if isinstance(order, StartOrder) and order.run in session.stopping:
                return
            self._order(session, order)

        declined = result is Result.UNHEALTHY and isinstance(order, StartOrder)
        if declined and order.run not in session.doubtful:
            session.health.distrust(self.clock.monotonic_ms())
            self._end_unbegun(session, order.run, result.value)
            return
        self.ports.later(RETRY_ORDER_MS, again)

    def _on_start(
        self, session: TargetSession, order: StartOrder, result: Result, now_ms: int
    ) -> None:
        run = order.run
        _LOG.info(
            "event=start_answered job=%s task=%d.%d.%d run=%d target=%s result=%s "
            "token=%d",
            *run.task,
            run.number,
            session.life.target_id,
            result.value,
            session.token,
        )
        if result is Result.OK:
            session.note_started(run, now_ms)
            return
        if result is Result.OLD:
            session.unsettled[run] = now_ms
        elif run in session.doubtful:
            # An earlier copy of this order may still arrive; a stop of the run
            # makes the target refuse it.
            self._send_stop(session, run)
        else:
            self._end_unbegun(session, run, result.value)

    # Decisions.

    def tick(self) -> None:
        """Do what time alone makes due."""
        now_ms = self.clock.monotonic_ms()
        for session in list(self.sessions.values()):
            if session.silent and session.clock.lapsed(now_ms):
                self._lose(session.life, "lease_lapsed")
        if now_ms >= self.told_ms + LOAD_LINE_MS:
            self.told_ms = now_ms
            self._log_load()
        if now_ms >= self.swept_ms + SWEEP_MS:
            self.swept_ms = now_ms
            self.opened = self._due_occurrences()
            self.forgotten = self._expired_jobs()
        if now_ms >= self.planned_ms + REPLAN_MS:
            self.plan_due = True
        self.decide()

    def _log_load(self) -> None:
        steps = [
            (spec, step)
            for job in self.draft.active.values()
            for steps in job.occurrences.values()
            for spec, step in zip(job.spec.steps, steps, strict=True)
        ]
        rooms = self._rooms()
        _LOG.info(
            "event=load jobs=%d idle=%d running=%d idle_fills=%d running_fills=%d "
            "paced=%d targets=%d free_cores=%d spare_cores=%d",
            len(self.draft.active),
            sum(step.idle for _, step in steps),
            sum(step.running for _, step in steps),
            sum(step.idle for spec, step in steps if spec.fills),
            sum(step.running for spec, step in steps if spec.fills),
            sum(len(session.paces) for session in self.sessions.values()),
            len(rooms),
            sum(room.free.cores_milli for room in rooms) // 1_000,
            sum(room.spare_cores() for room in rooms) // 1_000,
        )

    def _lose(self, life: TargetLife, why: str) -> None:
        session = self.sessions.get(life.target_id)
        target = self.draft.target(life)
        runs = len(target.runs) if target else 0
        _LOG.warning(
            "event=target_lost target=%s born=%d why=%s runs=%d", *life, why, runs
        )
        if session is not None and session.life == life:
            self._close_session(session)
            del self.sessions[life.target_id]
        if target is not None and life not in self.gone:
            self.gone.append(life)

    def decide(self) -> None:
        """Propose what is due: ends, lost targets, times and starts."""
        if self.deposed or self.in_flight >= MAX_IN_FLIGHT:
            return
        ends, self.ends = self.ends, []
        gone, self.gone = tuple(self.gone), []
        opened, self.opened = self.opened, ()
        forgotten, self.forgotten = self.forgotten, ()
        settled = Advance(tuple(end for _, _, end in ends), gone, opened, (), forgotten)
        if any(settled):
            self.plan_due = True
            self.draft.apply(settled, self.clock.wall_ms())
        useless, self.draft.useless = self.draft.useless, []
        self._stop_useless(useless)
        starts = self._plan()
        if not any(settled) and not starts:
            return
        self.draft.apply(Advance(starts=starts), self.clock.wall_ms())
        self._commit(settled._replace(starts=starts), ends)

    def _commit(
        self, advance: Advance, ends: list[tuple[TargetSession, int, RunEnd]]
    ) -> None:
        self.in_flight += 1

        def done(committed: bool) -> None:
            self.in_flight -= 1
            if not committed:
                self.deposed = True
                return
            for start in advance.starts:
                self._order_start(start)
            self._forget_ends(ends)
            self.decide()

        self.ports.propose(advance, done)

    def _order_start(self, start: RunStart) -> None:
        session = self.sessions.get(start.life.target_id)
        target = self.draft.target(start.life)
        if session is None or session.life != start.life or target is None:
            return
        if start.run in target.runs and start.run not in session.sent:
            self._send_start(session, start.run)

    def _forget_ends(self, ends: list[tuple[TargetSession, int, RunEnd]]) -> None:
        for session, number, end in ends:
            session.cursor = max(session.cursor, number)
            session.forget_run(end.run)
        for session in {id(s): s for s, _, _ in ends}.values():
            self._look(session, LOOK_WAIT_MS)

    def _stop_useless(self, runs: Iterable[RunKey]) -> None:
        """Stop runs whose job has ended or whose task is done elsewhere."""
        for run in runs:
            job = self.draft.jobs.get(run.task.job_id)
            task = self.draft.task(run.task)
            life = task.runs.get(run.number) if task else None
            if job is None or task is None or life is None:
                continue
            session = self.sessions.get(life.target_id)
            if session is None or session.life != life:
                continue
            evacuate = session.draining and self._moves_well(job, run)
            if job.has_ended() or task.done or evacuate:
                self._send_stop(session, run)

    def _moves_well(self, job: JobState, run: RunKey) -> bool:
        step = job.spec.steps[run.task.step]
        return step.lasting or step.checkpoints

    def _due_occurrences(self) -> tuple[tuple[str, int], ...]:
        wall_ms = self.clock.wall_ms()
        due = []
        for job in self.draft.active.values():
            if not job.spec.is_timed():
                continue
            for number in range(job.spec.repetitions):
                if number not in job.occurrences and wall_ms >= began_ms(job, number):
                    due.append((job.job_id, number))
        return tuple(due)

    def _expired_jobs(self) -> tuple[str, ...]:
        keep_ms = self.settings.keep_ended_ms * FORGET_FACTOR_PERCENT // 100
        limit = self.clock.wall_ms() - keep_ms
        return tuple(
            job.job_id
            for job in self.draft.jobs.values()
            if job.has_ended()
            and job.ended_ms < limit
            and not any(self.draft.runs_of(job))
        )

    def _plan(self) -> tuple[RunStart, ...]:
        if not self.plan_due:
            return ()
        self.plan_due = False
        self.planned_ms = self.clock.monotonic_ms()
        waiting = waiting_steps(self.draft, self.clock.wall_ms())
        overdue = self._overdue_runs()
        if not waiting and not overdue:
            return ()
        planner = Planner(self.draft, self._rooms(), self.table)
        starts = planner.plan(waiting)
        return (*starts, *planner.plan_copies(overdue))

    def _overdue_runs(self) -> list[RunKey]:
        now_ms = self.clock.monotonic_ms()
        overdue = []
        for session in self.sessions.values():
            target = self.draft.target(session.life)
            if target is None or not any(s.may_copy for s in target.runs.values()):
                continue
            rows = session.progress_of(target)
            overdue += [row.run for row in rows if wants_copy(row, now_ms)]
        return overdue

    def _rooms(self) -> list[Room]:
        now_ms = self.clock.monotonic_ms()
        rooms = []
        for session in self.sessions.values():
            target = self.draft.target(session.life)
            if target is None or not session.may_start(now_ms, len(target.runs)):
                continue
            limit = 1 if session.health.rounds else 0
            probation = session.health.on_probation()
            paced = session.paced_cores(target)
            rooms.append(Room(target, probation, limit, session.own, paced))
        return rooms


def _ignore(_answer: Answer) -> None:
    """Take an answer that nobody waits for."""


def _answer(committed: bool) -> Answer:
    return Answer(Outcome.OK if committed else Outcome.UNKNOWN)
