"""Calls from any daemon to the leader, repeated until an answer or the deadline."""

import itertools
import logging
import threading
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from foxspring_link import repeat
from foxspring_model import Clock

from foxspring_jobs._log_text import log_text
from foxspring_jobs._metrics import CALL_SECONDS, CALLS, LEADER_SILENT, Metrics
from foxspring_jobs._operations import (
    Answer,
    DeclineReason,
    NotLeading,
    Outcome,
    PingLeader,
    Reply,
    SubmitCall,
    make_call,
)
from foxspring_jobs._repeat_limit import RepeatLimit
from foxspring_jobs._search_record import SearchRecord

_LOG = logging.getLogger(__name__)

MAX_DETAIL_CHARS = 250


class CallerSettings(NamedTuple):
    """Settings of a caller; times are in milliseconds.

    ``attempt_timeout_ms`` is how long one member may take to answer. All operations are
    idempotent, so an unanswered call is sent again. Once no leader has answered
    anything for ``leader_lost_ms``, calls are refused at once while pings continue,
    and how the search goes is logged each ``search_log_interval_ms``. Refused calls,
    those given up and those that the leader refuses are logged as often at most, with
    their number by kind.
    """

    attempt_timeout_ms: int = 400
    retry_pause_ms: int = 40
    ping_interval_ms: int = 500
    ready_timeout_ms: int = 3_000
    leader_lost_ms: int = 2_000
    search_log_interval_ms: int = 5_000


class _Pending:
    def __init__(self) -> None:
        self.arrived = threading.Event()
        self.message: Reply | NotLeading | None = None


class ControlCaller:
    """Finds the leader and passes calls to it; safe to use from any thread."""

    def __init__(
        self,
        own_address: str,
        seeds: Iterable[str],
        send: Callable[[str, Any], object],
        clock: Clock,
        metrics: Metrics,
        settings: CallerSettings | None = None,
    ) -> None:
        self.metrics = metrics
        self.own_address = own_address
        self.seeds = tuple(seeds)
        self.members = self.seeds
        self.leader = ""
        self.send = send
        self.clock = clock
        self.settings = settings or CallerSettings()
        self.last_answer_ms = clock.monotonic_ms()
        self._first_id = clock.wall_ms() << 20
        self._numbers = itertools.count(self._first_id)
        self._attempt_numbers = itertools.count()
        self._lock = threading.Lock()
        self._pending: dict[int, _Pending] = {}
        self._closing = threading.Event()
        self._had_leader = False
        self._calls_failed = False
        self._search = SearchRecord()
        self._search_logged_ms = self.last_answer_ms
        self._refused_lines = RepeatLimit(self.settings.search_log_interval_ms)
        self._given_up_lines = RepeatLimit(self.settings.search_log_interval_ms)
        self._unserved_lines = RepeatLimit(self.settings.search_log_interval_ms)
        self._pinger = threading.Thread(target=self._ping, name="ping", daemon=True)

    def start(self) -> None:
        """Start to check regularly that a leader is reachable."""
        self._pinger.start()

    def close(self) -> None:
        """Stop the checks; pending calls continue until their deadline."""
        self._closing.set()

    def is_ready(self) -> bool:
        """Return whether a leader has answered within ``ready_timeout_ms``."""
        age_ms = self.clock.monotonic_ms() - self.last_answer_ms
        return self._had_leader and age_ms < self.settings.ready_timeout_ms

    def _control_is_lost(self) -> bool:
        """Return whether a timely answer can no longer be expected."""
        unanswered_ms = self.clock.monotonic_ms() - self.last_answer_ms
        return unanswered_ms >= self.settings.leader_lost_ms

    def receive(self, message: Reply | NotLeading | DeclineReason) -> None:
        """Handle a message that answers a call, or says why some were declined."""
        if isinstance(message, DeclineReason):
            self._search.note_reason(message.address, message.reason)
            return
        if message.members:
            self.members = message.members
        with self._lock:
            pending = self._pending.get(message.call_id)
        if pending is not None and not isinstance(pending.message, Reply):
            pending.message = message
            pending.arrived.set()

    def call(self, operation: Any, timeout_ms: int) -> Answer:
        """Return the leader's answer, or the known outcome at the deadline.

        ``UNAVAILABLE`` is returned only if nothing was or will be done, and at once if
        no member is known that could be asked.
        """
        if isinstance(operation, PingLeader):
            return self._call_leader(operation, timeout_ms)
        started_ms = self.clock.monotonic_ms()
        if self._control_is_lost():
            answer = Answer(Outcome.UNAVAILABLE, "no control leader")
            self._log_refused(operation, started_ms)
        else:
            answer = self._call_leader(operation, timeout_ms)
        kind = type(operation).__name__
        self.metrics.count(CALLS, kind, answer.outcome.value)
        took_ms = self.clock.monotonic_ms() - started_ms
        self.metrics.observe_ms(CALL_SECONDS, took_ms, kind)
        return answer

    def _log_refused(self, operation: Any, now_ms: int) -> None:
        """Log a refused call, unless one was logged shortly before."""
        self._calls_failed = True
        kind = type(operation).__name__
        calls = self._refused_lines.note(kind, now_ms)
        if not calls:
            return
        _LOG.warning(
            "event=call_refused kind=%s path=%s silent_ms=%d calls=%s",
            kind,
            _path_of(operation),
            now_ms - self.last_answer_ms,
            calls,
        )

    def _log_unserved(self, operation: Any, reply: Reply) -> None:
        """Log a call that its leader can't serve, unless one was logged lately."""
        kind = type(operation).__name__
        calls = self._unserved_lines.note(kind, self.clock.monotonic_ms())
        if not calls:
            return
        _LOG.warning(
            "event=call_unserved kind=%s path=%s leader=%s reason=%r calls=%s",
            kind,
            _path_of(operation),
            reply.leader_address,
            log_text(reply.answer.detail, MAX_DETAIL_CHARS),
            calls,
        )

    def _call_leader(self, operation: Any, timeout_ms: int) -> Answer:
        deadline_ms = self.clock.monotonic_ms() + timeout_ms
        call_id = next(self._numbers)
        pending = _Pending()
        with self._lock:
            self._pending[call_id] = pending
        try:
            return self._call_until_deadline(call_id, pending, operation, deadline_ms)
        finally:
            with self._lock:
                del self._pending[call_id]

    def _call_until_deadline(
        self, call_id: int, pending: _Pending, operation: Any, deadline_ms: int
    ) -> Answer:
        call = make_call(call_id, self.own_address, operation)
        may_have_run = False
        attempts = 0
        while True:
            remaining_ms = deadline_ms - self.clock.monotonic_ms()
            if remaining_ms <= 0:
                return self._give_up(operation, may_have_run, attempts)
            receiver = self.leader or self._next_member()
            if not receiver:
                return self._give_up(operation, may_have_run, attempts)
            attempts += 1
            pending.arrived.clear()
            pending.message = None
            self.send(receiver, call)
            wait_ms = min(remaining_ms, self.settings.attempt_timeout_ms)
            pending.arrived.wait(wait_ms / 1_000)
            message = pending.message
            if isinstance(message, Reply):
                self._note_leader(message.leader_address)
                if message.answer.outcome is Outcome.UNAVAILABLE:
                    self._log_unserved(operation, message)
                if message.answer.outcome is not Outcome.UNKNOWN:
                    return _without_false_denial(
                        operation, message.answer, may_have_run
                    )
                may_have_run = True
                self._pause(pending)
            elif isinstance(message, NotLeading):
                self._search.note_declined(receiver, message.leader_address)
                self._follow_hint(receiver, message, pending)
            else:
                self._search.note_unanswered(receiver)
                may_have_run = True
                self._drop_leader(receiver)

    def _follow_hint(
        self, receiver: str, message: NotLeading, pending: _Pending
    ) -> None:
        hint = message.leader_address
        if hint and hint != receiver:
            self.leader = hint
            return
        self._drop_leader(receiver)
        self._pause(pending)

    def _pause(self, pending: _Pending) -> None:
        pending.arrived.clear()
        pending.arrived.wait(self.settings.retry_pause_ms / 1_000)

    def _note_leader(self, address: str) -> None:
        self.leader = address
        self.last_answer_ms = self.clock.monotonic_ms()
        if not self._had_leader:
            self._had_leader = True
            self._calls_failed = False
            _LOG.info(
                "event=control_regained leader=%s refused=%s given_up=%s",
                address,
                self._refused_lines.end_period(),
                self._given_up_lines.end_period(),
            )

    def _drop_leader(self, receiver: str) -> None:
        if self.leader == receiver:
            self.leader = ""

    def _known_members(self) -> tuple[str, ...]:
        return tuple(dict.fromkeys((*self.members, *self.seeds)))

    def _next_member(self) -> str:
        """Return the member to ask next, or an empty string if none is known."""
        known = self._known_members()
        if not known:
            return ""
        return known[next(self._attempt_numbers) % len(known)]

    def _give_up(self, operation: Any, may_have_run: bool, attempts: int) -> Answer:
        if not isinstance(operation, PingLeader):
            self._log_given_up(operation, may_have_run, attempts)
        if may_have_run:
            return Answer(Outcome.UNKNOWN, "no answer from control in time")
        return Answer(Outcome.UNAVAILABLE, "no control leader")

    def _log_given_up(self, operation: Any, may_have_run: bool, attempts: int) -> None:
        """Log a call without an answer, unless one was logged shortly before."""
        self._calls_failed = True
        kind = type(operation).__name__
        calls = self._given_up_lines.note(kind, self.clock.monotonic_ms())
        if not calls:
            return
        _LOG.warning(
            "event=call_given_up kind=%s path=%s attempts=%d may_have_run=%s calls=%s",
            kind,
            _path_of(operation),
            attempts,
            may_have_run,
            calls,
        )

    def _ping(self) -> None:
        repeat(self.ping, self.settings.ping_interval_ms / 1_000, self._closing)

    def ping(self) -> None:
        """Ask for the leader once, and log if there is none or if calls failed.

        Calls fail without a longer silence where leaders are lost soon after they are
        found.
        """
        self.call(PingLeader(), self.settings.ping_interval_ms)
        now_ms = self.clock.monotonic_ms()
        self.metrics.set(LEADER_SILENT, now_ms - self.last_answer_ms)
        if self.is_ready() and not self._calls_failed:
            return
        if self._had_leader and not self.is_ready():
            self._had_leader = False
            silent_ms = now_ms - self.last_answer_ms
            _LOG.warning("event=control_lost silent_ms=%d", silent_ms)
        if now_ms - self._search_logged_ms >= self.settings.search_log_interval_ms:
            self._log_search(now_ms)

    def _log_search(self, now_ms: int) -> None:
        """Log how the search for the leader went since the last such line."""
        self._calls_failed = False
        summary = self._search.take()
        _LOG.warning(
            "event=leader_search silent_ms=%d known=%d hint=%s declined=%d "
            "unanswered=%d reasons=%r",
            now_ms - self.last_answer_ms,
            len(self._known_members()),
            self.leader or "-",
            summary.declined,
            summary.unanswered,
            summary.reasons,
        )
        self._search_logged_ms = now_ms


def _path_of(operation: Any) -> str:
    """Return the path of the job or queue that a call is about, for the logs."""
    return getattr(operation, "path", "") or "-"


def _without_false_denial(operation: Any, answer: Answer, may_have_run: bool) -> Answer:
    """Return the answer, unless it denies what an earlier attempt may have done."""
    denies = answer.outcome in (Outcome.UNAVAILABLE, Outcome.NO_QUEUE)
    if may_have_run and denies and isinstance(operation, SubmitCall):
        return Answer(Outcome.UNKNOWN, answer.detail)
    return answer
