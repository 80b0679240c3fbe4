"""Looks at targets: leases, ends, progress, and what follows from them."""

import logging
from collections.abc import Iterable

from foxspring_jobs._commands import (
    RegisterTarget,
    RunEnd,
    RunKey,
    RunStart,
    TargetLife,
)
from foxspring_jobs._lead_state import LeadState, PendingEnd
from foxspring_jobs._metrics import ENDS, LOOKS, LOST, RELIEFS
from foxspring_jobs._operations import Answer
from foxspring_jobs._orders import (
    HoldRequest,
    PaceOrder,
    Reading,
    Result,
    StopOrder,
    TargetView,
)
from foxspring_jobs._placement import Planner
from foxspring_jobs._pressure import (
    FillRow,
    Move,
    Pace,
    Relief,
    ServingRow,
    relieve,
)
from foxspring_jobs._rooms import Room
from foxspring_jobs._session import TargetSession
from foxspring_jobs._stalls import (
    AT_WORK_PERCENT,
    blames_target,
    is_stalled,
    wants_copy,
)
from foxspring_jobs._state import EndKind, TargetState
from foxspring_jobs._target_orders import TargetOrders

_LOG = logging.getLogger(__name__)

LOOK_WAIT_MS = 1_000
LONG_LOOK_WAIT_MS = 2_000
RISKY_LOOK_WAIT_MS = 400
RETRY_LOOK_MS = 250
SURVEY_MS = 100
RELIEF_PAUSE_MS = 600
COPIES_GAP_MS = 100
# Orders may arrive 12 s late and bring a lease of 10 s; the rest is for wall clocks
# that differ.
YOUNG_MS = 30_000


def ignore(_answer: Answer) -> None:
    """Take an answer that nobody waits for."""


class TargetLooks:
    """One look after the other at each target, in a session a life."""

    def __init__(self, lead: LeadState, orders: TargetOrders) -> None:
        self.lead = lead
        self.orders = orders
        self.survey: Planner | None = None
        self.surveyed_ms = 0
        self.copies_due_ms = 0

    def open_session(
        self, registered: RegisterTarget, taking_over: bool = False
    ) -> None:
        """Begin to look at a target, which an earlier leader may have ordered."""
        if self.lead.deposed or self.lead.draft.target(registered.life) is None:
            return
        held = self.lead.sessions.get(registered.life.target_id)
        if held is not None:
            if held.life == registered.life:
                held.draining = held.draining or registered.draining
                self.orders.evacuate(held)
                return
            self.close_session(held)
        self._begin_session(registered, taking_over)

    def _earlier_lease_ms(self, life: TargetLife, taking_over: bool) -> int:
        """Return the lease that a target may hold before its first look.

        An order that was meant for an earlier life, whose clock read more, makes a
        young one keep its lease for as long as it keeps any.
        """
        settings = self.lead.settings
        earlier = self.lead.last_lives.get(life.target_id, life)
        age_ms = self.lead.clock.wall_ms() - life.born_ms
        if age_ms < YOUNG_MS and (taking_over or earlier != life):
            return settings.longest_lease_ms
        return settings.lease_ms

    def _begin_session(
        self, registered: RegisterTarget, taking_over: bool = False
    ) -> TargetSession:
        target_id = registered.life.target_id
        turn = self.lead.turns.get(target_id, -1) + 1
        self.lead.turns[target_id] = turn
        session = TargetSession(
            registered,
            self.lead.clock.monotonic_ms(),
            self.lead.settings.lease_ms,
            self.lead.token + turn,
            self._earlier_lease_ms(registered.life, taking_over),
        )
        self.lead.last_lives[target_id] = registered.life
        self.lead.sessions[target_id] = session
        self.look(session, wait_ms=0)
        return session

    def close_session(self, session: TargetSession) -> None:
        """End a session; answers that still come are dropped."""
        session.closed = True
        self.lead.ports.release(session)

    def adopt(self, fresh: RegisterTarget) -> None:
        """Shut out orders to the earlier life before its runs are given up.

        An order that was on its way may start on the new life. A look under a
        higher token ends that, and shows what to stop first.
        """
        held = self.lead.sessions.get(fresh.life.target_id)
        if held is not None and held.life == fresh.life:
            return
        if held is not None:
            self.close_session(held)
        session = self._begin_session(fresh)
        session.adopting = fresh

    def retire_address(self, fresh: RegisterTarget) -> None:
        """Give up targets whose address another target has taken."""
        for target in list(self.lead.draft.targets.values()):
            old = target.registered
            if old.life.target_id == fresh.life.target_id:
                continue
            older = old.life.born_ms < fresh.life.born_ms
            if older and old.address == fresh.address:
                self.lose(old.life, "address_reused")

    def look(self, session: TargetSession, wait_ms: int) -> None:
        """Ask a target for its view, and renew its lease."""
        if session.closed or session.fenced or session.looking or self.lead.deposed:
            return
        now_ms = self.lead.clock.monotonic_ms()
        session.looking = True
        session.asked_ms = now_ms
        # Renewing towards a silent target would put off the time at which its
        # runs may surely be given up.
        renews = (
            self.lead.ports.lease_valid() and not session.left and not session.silent
        )
        lease_until = session.clock.grant(now_ms) if renews else None
        self.lead.ports.look(
            session, HoldRequest(session.token, session.cursor, lease_until, wait_ms)
        )

    def on_look(self, session: TargetSession, reading: Reading) -> None:
        """Take the answer to a hold."""
        session.looking = False
        if session.closed or self.lead.deposed:
            return
        now_ms = self.lead.clock.monotonic_ms()
        self.lead.metrics.count(LOOKS, reading.result.value)
        if reading.clock_ms is not None:
            session.clock.note(reading.clock_ms, now_ms)
        if reading.result is Result.OK and reading.view is not None:
            session.silent = 0
            self._take_view(session, reading.view, now_ms)
        else:
            self._look_failed(session, reading.result)
        self.lead.decide()

    def _look_failed(self, session: TargetSession, result: Result) -> None:
        session.silent += 1
        if session.silent == 1:
            _LOG.warning(
                "event=target_silent target=%s result=%s",
                session.life.target_id,
                result.value,
            )
        if result is Result.OTHER_LIFE:
            self.lose(session.life, "other_life")
        elif result is Result.FENCED:
            session.fenced = True
            _LOG.warning("event=target_fenced target=%s", session.life.target_id)
        elif result is Result.REBORN:
            session.fenced = True
            _LOG.warning("event=target_reborn target=%s", session.life.target_id)
        elif result is Result.REFUSED and session.left:
            self.lose(session.life, "left")
        else:
            self.lead.ports.later(RETRY_LOOK_MS, lambda: self.look(session, wait_ms=0))

    def _take_view(self, session: TargetSession, view: TargetView, now_ms: int) -> None:
        if session.adopting is not None:
            self._take_adopted(session, session.adopting, view)
            return
        target = self.lead.draft.target(session.life)
        if target is None:
            return
        news = self._take_ends(session, view)
        listed = {row.run for row in view.running}
        listed |= {row.run for row in view.finished}
        for row in view.running:
            if row.run not in target.runs:
                self.orders.order(session, StopOrder(row.run))
        session.note_running(view.running, now_ms)
        self._relieve(session, target)
        self._replace_stalled(session, target)
        if view.complete:
            self.orders.settle(session, listed)
        if not session.taken_over:
            session.taken_over = True
            self.lead.plan_due = True
            self.orders.resend_unlisted(session, listed)
            self.orders.stop_useless(list(target.runs))
            self._unpace(session, target, listed)
        if not news:
            self.look(session, self._wait_ms(target))

    def _unpace(
        self, session: TargetSession, target: TargetState, listed: set[RunKey]
    ) -> None:
        """Let fills work that an earlier leader may have paced."""
        for run, step in target.runs.items():
            if step.fills and run in listed and target.serving:
                self.orders.order(session, PaceOrder(run, AT_WORK_PERCENT))

    def _replace_stalled(self, session: TargetSession, target: TargetState) -> None:
        now_ms = self.lead.clock.monotonic_ms()
        stalled = [row for row in session.progress_of(target) if is_stalled(row)]
        trusted = now_ms >= session.health.distrusted_until_ms
        if trusted and blames_target(stalled):
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
            self.orders.send_stop(session, row.run)

    def _wait_ms(self, target: TargetState) -> int:
        if not target.serving or not target.fills:
            return LONG_LOOK_WAIT_MS
        table = self.lead.table
        risky = any(
            table.effect(serving, fill) > 0
            for serving, _ in target.serving
            for fill in target.fills
        )
        return RISKY_LOOK_WAIT_MS if risky else LOOK_WAIT_MS

    def _relieve(self, session: TargetSession, target: TargetState) -> None:
        now_ms = self.lead.clock.monotonic_ms()
        session.measure(target, self.lead.table, now_ms)
        if now_ms < session.relieved_ms + RELIEF_PAUSE_MS:
            return
        serving, fills = session.rows(target, now_ms)
        reliefs = relieve(serving, fills, self.lead.table, self._has_place)
        if reliefs:
            session.relieved_ms = now_ms
        for relief in reliefs:
            self._log_relief(session, relief, serving)
            if isinstance(relief, Move):
                self.orders.send_stop(session, relief.run)
            else:
                session.pace(relief.run, relief.percent, now_ms)
                self.orders.order(session, PaceOrder(relief.run, relief.percent))

    def _has_place(self, fill: FillRow) -> bool:
        job = self.lead.draft.active.get(fill.run.task.job_id)
        if job is None:
            return False
        step = job.spec.steps[fill.run.task.step]
        now_ms = self.lead.clock.monotonic_ms()
        if self.survey is None or now_ms >= self.surveyed_ms + SURVEY_MS:
            self.survey = Planner(self.lead.draft, self.rooms(), self.lead.table)
            self.surveyed_ms = now_ms
        return self.survey.has_place(fill.run.task, step, job)

    def _log_relief(
        self, session: TargetSession, relief: Relief, serving: list[ServingRow]
    ) -> None:
        worst = max(row.tail_ms for row in serving)
        self.lead.metrics.count(RELIEFS, type(relief).__name__.lower())
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
            self.lead.register(fresh, ignore)
            self.look(session, LOOK_WAIT_MS)
            return
        for row in view.running:
            self.orders.send_stop(session, row.run)
        self.lead.ports.later(RETRY_LOOK_MS, lambda: self.look(session, wait_ms=0))

    def _take_ends(self, session: TargetSession, view: TargetView) -> bool:
        news = False
        for row in sorted(view.finished):
            if row.number <= session.seen_end:
                continue
            session.seen_end = row.number
            news = True
            end = RunEnd(row.run, session.life, row.kind, row.checkpoint)
            self.lead.ends.append(PendingEnd(session, row.number, end))
            self._judge_end(session, end)
        if not news and view.finished and session.cursor < session.seen_end:
            return True
        return news

    def _judge_end(self, session: TargetSession, end: RunEnd) -> None:
        now_ms = self.lead.clock.monotonic_ms()
        key = end.run.task
        if end.kind == EndKind.DONE:
            session.health.note_done()
        elif end.kind == EndKind.FAILED:
            job = self.lead.draft.jobs.get(key.job_id)
            lasting = job is not None and job.spec.steps[key.step].lasting
            if not lasting:
                session.health.note_failed(key.job_id, now_ms)
        self.lead.metrics.count(ENDS, end.kind)
        _LOG.info(
            "event=run_ended job=%s task=%d.%d.%d run=%d target=%s kind=%s",
            *key,
            end.run.number,
            session.life.target_id,
            end.kind,
        )

    def forget_ends(self, ends: Iterable[PendingEnd]) -> None:
        """Let targets forget ends that are committed."""
        for session, number, end in ends:
            session.cursor = max(session.cursor, number)
            session.forget_run(end.run)
        for session in {id(s): s for s, _, _ in ends}.values():
            self.look(session, LOOK_WAIT_MS)

    def lose(self, life: TargetLife, why: str) -> None:
        """Give up a life of a target and every run on it."""
        session = self.lead.sessions.get(life.target_id)
        target = self.lead.draft.target(life)
        runs = len(target.runs) if target else 0
        self.lead.metrics.count(LOST, why)
        _LOG.warning(
            "event=target_lost target=%s born=%d why=%s runs=%d", *life, why, runs
        )
        if session is not None and session.life == life:
            self.close_session(session)
            del self.lead.sessions[life.target_id]
        if target is not None and life not in self.lead.gone:
            self.lead.gone.append(life)

    def note_start(self, start: RunStart) -> None:
        """Count a start that is about to be committed."""
        session = self.lead.sessions.get(start.life.target_id)
        if session is not None:
            session.health.note_start(self.lead.clock.monotonic_ms())

    def overdue_runs(self) -> list[RunKey]:
        """Return the runs of tasks that should get a copy, now and then."""
        now_ms = self.lead.clock.monotonic_ms()
        if now_ms < self.copies_due_ms:
            return []
        self.copies_due_ms = now_ms + COPIES_GAP_MS
        overdue = []
        for session in self.lead.sessions.values():
            target = self.lead.draft.target(session.life)
            if target is None or not target.copyable:
                continue
            rows = session.progress_of(target)
            overdue += [row.run for row in rows if wants_copy(row, now_ms)]
        return overdue

    def rooms(self) -> list[Room]:
        """Return the targets that may start something now."""
        now_ms = self.lead.clock.monotonic_ms()
        rooms = []
        for session in self.lead.sessions.values():
            target = self.lead.draft.target(session.life)
            if target is None or not session.may_start(now_ms):
                continue
            limit = 1 if session.health.rounds else 0
            probation = session.health.on_probation()
            paced = session.paced_cores(target)
            room = Room(target, probation, limit, session.own, paced)
            room.pressed = session.pressed
            rooms.append(room)
        return rooms
