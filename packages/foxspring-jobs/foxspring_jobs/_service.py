"""Runs the leader's decisions on one thread next to the replicated log."""

import heapq
import itertools
import logging
import threading
from collections.abc import Callable
from typing import Any

import pykka
from foxspring_control import ProposeOutcome
from foxspring_control.raft import LeadershipChange, ReplicatedLog
from foxspring_link import repeat
from foxspring_model import UNDECODABLE, Clock

from foxspring_jobs._advice import AdviceCall
from foxspring_jobs._call_handler import CallHandler
from foxspring_jobs._commands import Command, encode_command
from foxspring_jobs._decline_reasons import DeclineReasons
from foxspring_jobs._leader import Leader
from foxspring_jobs._leader_context import LeaderSettings
from foxspring_jobs._leading_attempts import LeadingAttempts
from foxspring_jobs._metrics import LEADING, LEADING_FAILED, Metrics
from foxspring_jobs._operations import (
    Answer,
    Call,
    NotLeading,
    Outcome,
    PingLeader,
    Reply,
    operation_of,
)
from foxspring_jobs._orders import (
    Order,
    PollRequest,
    StartOrder,
    TargetApi,
    TargetResult,
)
from foxspring_jobs._restart_pauses import RestartPauses
from foxspring_jobs._session import TargetSession
from foxspring_jobs._snapshot import decode_state, encode_state
from foxspring_jobs._state_machine import JobStateMachine
from foxspring_jobs._waiting_calls import WaitingCalls

_LOG = logging.getLogger(__name__)

TICK_MS = 50
MAX_ERROR_LENGTH = 200
TOKENS_PER_GENERATION = 1_000
GENERATIONS_PER_TERM = 1_000
TOKENS_PER_TERM = TOKENS_PER_GENERATION * GENERATIONS_PER_TERM
TOO_MANY_CALLS = Answer(Outcome.UNAVAILABLE, "too many calls wait")
Action = Callable[[], object]
Send = Callable[[str, Any], object]


class _SerialExecutor(pykka.ThreadingActor):
    """Runs actions one after another on its own thread."""

    use_daemon_thread = True

    def on_receive(self, message: Any) -> None:
        """Run one action; an exception ends only that action."""
        try:
            message()
        except Exception:
            _LOG.exception("event=action_failed")


def enqueue(executor: Any, action: Action) -> bool:
    """Queue an action and return whether the executor is still running."""
    try:
        executor.tell(action)
    except pykka.ActorDeadError:
        return False
    return True


class JobService:
    """One control member's job service: leads, or refers calls to the leader.

    ``leading_error`` is why this member, which leads, can't take the state over; it is
    empty if there is no such reason. Such a member answers what is read.

    All methods meant for other threads only queue an action for the executor.
    """

    def __init__(
        self,
        settings: LeaderSettings,
        log: ReplicatedLog,
        machine: JobStateMachine,
        send: Send,
        api: TargetApi,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.metrics = metrics
        self.settings = settings
        self.log = log
        self.machine = machine
        self.send = send
        self.api = api
        self.clock = clock
        self.leader: Leader | None = None
        self.leadership = LeadershipChange(False, 0, "", "")
        self.generation = 0
        self.decline_reasons = DeclineReasons(send, clock)
        self.restart_pauses = RestartPauses(clock)
        self.attempts = LeadingAttempts(clock)
        self.waiting_calls = WaitingCalls(clock)
        self.leading_error = ""
        self.handing_over = False
        self.executor = _SerialExecutor.start()
        self._timers: list[tuple[int, int, Action]] = []
        self._numbers = itertools.count()
        self._closing = threading.Event()
        self._tick_queued = threading.Event()
        self._ticker = threading.Thread(target=self._tick, name="tick", daemon=True)

    def start(self) -> None:
        """Start the ticker."""
        self._ticker.start()

    def close(self) -> None:
        """Stop leading and stop the executor."""
        self._closing.set()
        self.post(self._end_leader)
        self.executor.stop()

    def post(self, action: Action) -> None:
        """Run an action on the service's thread."""
        enqueue(self.executor, action)

    def on_leadership(self, change: LeadershipChange) -> None:
        """Handle a leadership change."""
        self.post(lambda: self._on_leadership(change))

    def on_reset(self) -> None:
        """Restart the leadership from a state that a snapshot has replaced."""
        self.post(self._restart_leading)

    def receive(self, call: Call) -> None:
        """Handle a call; the reply is sent to the call's ``reply_to`` address."""
        self.post(lambda: self._handle(call))

    # Leadership.

    def _on_leadership(self, change: LeadershipChange) -> None:
        if change.term != self.leadership.term:
            self.generation = 0
        self.attempts.note_change(self.leadership)
        self.leadership = change
        self.leading_error = ""
        self.handing_over = False
        self._end_leader()
        self.metrics.set(LEADING, int(change.is_leader))
        _LOG.info(
            "event=leadership term=%d leader=%s leading=%s",
            change.term,
            change.leader_id or "-",
            change.is_leader,
        )
        if change.is_leader:
            self._start_leading()

    def _end_leader(self) -> None:
        if self.leader is not None:
            self.leader.end()
            self.leader = None

    def _restart_leading(self) -> None:
        if self.leadership.is_leader:
            self._end_leader()
            self._start_leading()

    def _start_leading(self) -> None:
        """Begin to lead; if that fails, let another member lead, or try again."""
        try:
            self._begin_leader()
        except Exception as error:
            self._end_leader()
            self._on_failed_attempt(error)
        else:
            self.leading_error = ""
            self.attempts.note_begun()

    def _on_failed_attempt(self, error: Exception) -> None:
        attempt = self.attempts.note_failed()
        self.leading_error = f"{type(error).__name__}: {error}"[:MAX_ERROR_LENGTH]
        self.metrics.count(LEADING_FAILED)
        _LOG.exception(
            "event=leading_failed term=%d failures=%d hands_over=%s retry_ms=%d "
            "reason=%r",
            self.leadership.term,
            self.attempts.failures,
            attempt.hands_over,
            attempt.retry_ms,
            self.leading_error,
        )
        failures = self.attempts.failures
        self.call_later(attempt.retry_ms, lambda: self._retry_leading(failures))
        if attempt.hands_over:
            self.handing_over = True
            self.log.transfer_leadership(self._on_handed_over)

    def _on_handed_over(self, outcome: ProposeOutcome) -> None:
        _LOG.info("event=leadership_handed_over status=%s", outcome.status)
        self.post(self._end_hand_over)

    def _end_hand_over(self) -> None:
        self.handing_over = False

    def _retry_leading(self, failures: int) -> None:
        """Try again, unless that was done since the attempt that planned it."""
        is_newest = failures == self.attempts.failures
        if is_newest and self.leadership.is_leader and self.leader is None:
            self._start_leading()

    def _begin_leader(self) -> None:
        token = self._next_token()
        with self.machine.lock:
            draft, _ = decode_state(encode_state(self.machine.state, 0))
        self.leader = Leader(
            self.settings, token, draft, self, self.clock, self.metrics
        )
        self.leader.begin()

    def _next_token(self) -> int:
        """Return the first fencing token of a leadership.

        The last ones of a term share theirs: targets refuse a lower one for good.
        """
        self.generation = min(self.generation + 1, GENERATIONS_PER_TERM - 1)
        generation_token = self.generation * TOKENS_PER_GENERATION
        return self.leadership.term * TOKENS_PER_TERM + generation_token

    # Calls.

    def _handle(self, call: Call) -> None:
        try:
            operation = operation_of(call)
        except (KeyError, *UNDECODABLE) as error:
            _LOG.error("event=call_malformed kind=%s reason=%r", call.kind, str(error))
            return
        if self.leader is None and not self.leadership.is_leader:
            self._decline(call)
            return
        leader = self.leader
        if leader is not None and leader.is_deposed():
            leader = None
        reason = "" if self.handing_over else self.leading_error
        handler = CallHandler(leader, self.machine, self.log, self.post, reason)
        waiting = self.waiting_calls.begin(self.log.settings.max_pending)
        if waiting is None and not isinstance(operation, PingLeader):
            self._reply(call, TOO_MANY_CALLS)
            return

        def respond(answer: Answer) -> None:
            self._end_waiting(waiting)
            self._reply(call, answer)

        def decline() -> None:
            self._end_waiting(waiting)
            self._decline(call)

        handler.handle(operation, respond, decline)

    def _end_waiting(self, waiting: int | None) -> None:
        if waiting is not None:
            self.waiting_calls.end(waiting)

    def _reply(self, call: Call, answer: Answer) -> None:
        reply = Reply(call.call_id, answer, self.own_address(), self.members())
        self.send(call.reply_to, reply)

    def _decline(self, call: Call) -> None:
        leader = self.leadership.leader_address
        if leader == self.own_address():
            leader = ""
        self.send(call.reply_to, NotLeading(call.call_id, leader, self.members()))
        self.decline_reasons.explain_to(call.reply_to, self.own_address())

    def own_address(self) -> str:
        """Return this member's link address."""
        return self.log.settings.link_address

    def members(self) -> tuple[str, ...]:
        """Return the link addresses of the control members."""
        return tuple(m.link_address for m in self.log.membership().members)

    # Implementation of ``Ports`` for the leader.

    def propose(self, command: Command, done: Callable[[bool], None]) -> None:
        """Append a command; ``done`` gets the outcome on the service's thread."""

        def on_done(outcome: ProposeOutcome) -> None:
            self.post(lambda: done(outcome.status == "applied"))

        kind, body = encode_command(command)
        self.log.propose(kind, body, on_done)

    def lease_valid(self) -> bool:
        """Return whether no other member can lead now."""
        return self.log.lease_valid()

    def poll(self, session: TargetSession, request: PollRequest) -> None:
        """Send a poll."""
        leader = self.leader
        if leader is None:
            return

        def done(target_result: TargetResult) -> None:
            self.post(lambda: leader.on_poll_result(session, target_result))

        self.api.poll(session.endpoint, request, done)

    def order(self, session: TargetSession, order: Order) -> None:
        """Send an order."""
        leader = self.leader
        if leader is None:
            return
        now_ms = self.clock.monotonic_ms()
        starts = isinstance(order, StartOrder)
        renews = starts and not session.failed_polls and self.lease_valid()
        lease_until = session.clock.grant_lease(now_ms) if renews else None
        until = session.clock.latest_lease_end if lease_until is None else lease_until

        def done(target_result: TargetResult) -> None:
            self.post(lambda: leader.on_order(session, order, target_result))

        self.api.order(session.endpoint, order, session.token, until, done)

    def advise(self, call: AdviceCall) -> None:
        """Call the placement service."""
        leader = self.leader
        if leader is None:
            return

        def done(allowed: tuple[tuple[str, str], ...] | None) -> None:
            self.post(lambda: leader.on_advice(call, allowed))

        self.api.advise(call, done)

    def release(self, session: TargetSession) -> None:
        """Close the connections to a target and drop the calls queued for it."""
        self.api.disconnect(session.endpoint)

    def call_later(self, delay_ms: int, action: Action) -> None:
        """Run an action on the service's thread after a delay."""
        due_ms = self.clock.monotonic_ms() + delay_ms
        heapq.heappush(self._timers, (due_ms, next(self._numbers), action))

    # Timers.

    def _tick(self) -> None:
        repeat(self.queue_tick, TICK_MS / 1_000, self._closing)

    def queue_tick(self) -> None:
        """Queue a tick, unless one is queued or running.

        Load pattern: ticks come faster than a busy leader handles them. Each one more
        would go before the calls and results that come after it.
        """
        if self._tick_queued.is_set():
            return
        self._tick_queued.set()
        queued_ms = self.clock.monotonic_ms()

        def tick() -> None:
            try:
                self._on_tick(queued_ms)
            finally:
                self._tick_queued.clear()

        self.post(tick)

    def _on_tick(self, queued_ms: int) -> None:
        now_ms = self.clock.monotonic_ms()
        if self.leader is not None:
            self.leader.note_queue_time(now_ms - queued_ms)
        while self._timers and self._timers[0][0] <= now_ms:
            _, _, action = heapq.heappop(self._timers)
            action()
        if self.leader is None:
            return
        if self.leader.is_deposed():
            self._restart_if_due()
        else:
            self.leader.tick()

    def _restart_if_due(self) -> None:
        """Begin anew after a proposal that was not taken, if this member leads on."""
        if not self.lease_valid() or not self.restart_pauses.is_due():
            return
        self.restart_pauses.note_restart()
        _LOG.warning(
            "event=leader_restarted term=%d restarts=%d",
            self.leadership.term,
            self.restart_pauses.restarts,
        )
        self._restart_leading()
