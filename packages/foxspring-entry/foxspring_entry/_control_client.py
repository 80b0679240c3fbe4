"""Client for changing and reading the replicated state of control."""

import json
import queue
import threading
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

import msgspec
from foxspring_model import (
    Clock,
    CommandResult,
    Proposal,
    ProposalResult,
    Query,
    QueryResult,
    Verdict,
)

_ATTEMPT_TIMEOUT_MS = 400
_RETRY_PAUSE_MS = 50
_MS_PER_S = 1_000

Send = Callable[[str, Any], bool]
Reply = ProposalResult | QueryResult


@dataclass(frozen=True)
class Applied:
    """The command is committed; ``result`` is the state machine's reply."""

    result: CommandResult
    verdict: Verdict = Verdict.RAN


@dataclass(frozen=True)
class NotApplied:
    """The command was definitely not appended; it may be proposed again."""

    detail: str
    verdict: Verdict = Verdict.NOT_RUN


@dataclass(frozen=True)
class MayBeApplied:
    """No reply arrived in time; propose it again with the same change id."""

    detail: str
    verdict: Verdict = Verdict.MAY_HAVE_RUN


@dataclass(frozen=True)
class QueryAnswered:
    """The result of a query, as decoded JSON."""

    result: Any
    verdict: Verdict = Verdict.RAN


@dataclass(frozen=True)
class QueryFailed:
    """No control member replied; a query may always be repeated."""

    detail: str
    verdict: Verdict = Verdict.NOT_RUN


ProposalOutcome = Applied | NotApplied | MayBeApplied
QueryOutcome = QueryAnswered | QueryFailed


class _PendingReply:
    def __init__(self) -> None:
        self._replies: queue.SimpleQueue[Reply] = queue.SimpleQueue()

    def deliver(self, reply: Reply) -> None:
        self._replies.put(reply)

    def wait(self, timeout_ms: int) -> Reply | None:
        try:
            return self._replies.get(timeout=timeout_ms / _MS_PER_S)
        except queue.Empty:
            return None


class _RequestResult(NamedTuple):
    reply: Reply | None
    maybe_received: bool


class ControlClient:
    """Proposes commands to control and queries its state. Thread-safe.

    It tries the members in turn, follows their hints to the leader and uses
    the same proposal id for its own retries. ``send(address, message)`` returns
    whether the message may arrive.
    """

    def __init__(
        self, addresses: tuple[str, ...], reply_to: str, send: Send, clock: Clock
    ) -> None:
        self._addresses = addresses
        self._reply_to = reply_to
        self._send = send
        self._clock = clock
        self._lock = threading.Lock()
        self._pending_replies: dict[str, _PendingReply] = {}
        self._members: dict[str, str] = {}
        self._leader = ""

    def propose(
        self, command: Any, timeout_ms: int, proposal_id: str = ""
    ) -> ProposalOutcome:
        """Propose a command of ``foxspring_model.COMMANDS`` and wait for its result.

        Waits at most ``timeout_ms``. A command with a change id may be
        proposed again after ``MayBeApplied`` without being applied twice.
        """
        proposal = Proposal(
            proposal_id or uuid.uuid4().hex,
            self._reply_to,
            type(command).__name__,
            msgspec.msgpack.encode(command),
        )
        request_result = self._send_and_wait(proposal.proposal_id, proposal, timeout_ms)
        if request_result.reply is not None:
            return Applied(json.loads(request_result.reply.result))
        if request_result.maybe_received:
            return MayBeApplied("control did not answer in time")
        return NotApplied("no control member could be reached")

    def query(
        self, kind: str, arguments: dict[str, Any], timeout_ms: int
    ) -> QueryOutcome:
        """Query the replicated state at the leader; wait at most ``timeout_ms``."""
        query = Query(
            uuid.uuid4().hex, self._reply_to, kind, json.dumps(arguments).encode()
        )
        request_result = self._send_and_wait(query.query_id, query, timeout_ms)
        if request_result.reply is None:
            return QueryFailed("no control leader answered in time")
        return QueryAnswered(json.loads(request_result.reply.result))

    def on_reply(self, reply: Reply) -> None:
        """Deliver a result received over the link; drop it if nobody waits for it."""
        key = reply.proposal_id if isinstance(reply, ProposalResult) else reply.query_id
        with self._lock:
            pending_reply = self._pending_replies.get(key)
        if pending_reply is not None:
            pending_reply.deliver(reply)

    def record_member(self, member_id: str, address: str) -> None:
        """Record the link address of a member, so that hints can be followed."""
        with self._lock:
            self._members[member_id] = address

    def record_leader(self, member_id: str, address: str) -> None:
        """Record the member that granted a lease most recently."""
        self.record_member(member_id, address)
        self._leader = address

    def _send_and_wait(self, key: str, message: Any, timeout_ms: int) -> _RequestResult:
        pending_reply = _PendingReply()
        with self._lock:
            self._pending_replies[key] = pending_reply
        try:
            return self._try_members(pending_reply, message, timeout_ms)
        finally:
            with self._lock:
                self._pending_replies.pop(key, None)

    def _try_members(
        self, pending_reply: _PendingReply, message: Any, timeout_ms: int
    ) -> _RequestResult:
        until_ms = self._clock.monotonic_ms() + timeout_ms
        address = self._leader or self._next_configured_address("")
        maybe_received = False
        while (remaining_ms := until_ms - self._clock.monotonic_ms()) > 0 and address:
            reply = None
            if self._send(address, message):
                reply = pending_reply.wait(min(_ATTEMPT_TIMEOUT_MS, remaining_ms))
                refused = reply is not None and reply.status == "not_leader"
                maybe_received = maybe_received or not refused
            if reply is not None and reply.status == "applied":
                return _RequestResult(reply, maybe_received)
            address = self._next_address(address, reply)
        return _RequestResult(None, maybe_received)

    def _next_address(self, address: str, reply: Reply | None) -> str:
        hinted = ""
        if reply is not None and reply.leader_id:
            with self._lock:
                hinted = self._members.get(reply.leader_id, "")
        if hinted and hinted != address:
            return hinted
        threading.Event().wait(_RETRY_PAUSE_MS / _MS_PER_S)
        return self._next_configured_address(address)

    def _next_configured_address(self, address: str) -> str:
        if not self._addresses:
            return ""
        if address not in self._addresses:
            return self._addresses[0]
        number = self._addresses.index(address) + 1
        return self._addresses[number % len(self._addresses)]
