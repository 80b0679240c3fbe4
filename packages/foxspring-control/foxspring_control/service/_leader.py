"""Work of the control leader during one term of leadership."""

from collections.abc import Callable
from typing import Any

import msgspec
from foxspring_model import (
    UNDECODABLE,
    ClaimKey,
    Clock,
    EntryHeartbeat,
    Proposal,
    ProposalResult,
    Query,
    QueryResult,
    TargetSeen,
    TaskEvents,
    UsageBatch,
)

from foxspring_control._replication import ProposeOutcome
from foxspring_control.raft import LeadershipChange
from foxspring_control.service._entry_controller import EntryController
from foxspring_control.service._member_changes import CHANGE_MEMBERS, MemberChanges
from foxspring_control.service._messages import LogHandle, Post, SendMessage
from foxspring_control.service._proposer import Proposer
from foxspring_control.service._queries import QUERIES, NotFoundError, QueryError
from foxspring_control.service._running_task_lists import RunningTaskLists
from foxspring_control.service._scheduling import SchedulerHandle
from foxspring_control.service._settings import ServiceSettings
from foxspring_control.service._target_controller import TargetController
from foxspring_control.service._task_controller import TaskController
from foxspring_control.service._view import LeaderView
from foxspring_control.state import ControlState, StateChanges

_CLAIM = msgspec.msgpack.Decoder(ClaimKey)


class Leader:
    """Work that only the leader does.

    It is built anew from the replicated state at each election.
    """

    def __init__(
        self,
        settings: ServiceSettings,
        leadership: LeadershipChange,
        log: LogHandle,
        state: ControlState,
        send: SendMessage,
        clock: Clock,
        post: Post,
        scheduler: SchedulerHandle,
    ) -> None:
        now_ms = clock.monotonic_ms()
        self.settings = settings
        self.leadership = leadership
        self.log = log
        self.state = state
        self.send = send
        self.clock = clock
        self.post = post
        self.proposer = Proposer(log, post, clock, settings.proposal_timeout_ms)
        self.view = LeaderView(state, now_ms)
        self.entries = EntryController(
            settings, leadership, self.view, self.proposer, send, now_ms
        )
        self.targets = TargetController(settings, self.view, self.proposer, now_ms)
        self.tasks = TaskController(
            settings, self.view, self.proposer, send, scheduler, now_ms
        )
        self._next_fleet_ms = now_ms
        self.running_task_lists = RunningTaskLists()
        self.members = MemberChanges(log, self.proposer, send)
        self._handlers: dict[type, Callable[[str, Any, int], None]] = {
            EntryHeartbeat: self.entries.handle_heartbeat,
            TargetSeen: lambda _, message, now: self.targets.record_announcement(
                message, now
            ),
            TaskEvents: lambda sender, message, _: self.tasks.handle_events(
                sender, message
            ),
            UsageBatch: self._usage,
            Proposal: self._propose,
            Query: self._query,
        }

    def receive(self, sender: str, message: Any) -> None:
        """Handle a message from an entry; ignore unknown message types."""
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(sender, message, self.clock.monotonic_ms())

    def state_changed(self, changes: StateChanges) -> None:
        """Handle the changes made by a batch of log entries."""
        now_ms = self.clock.monotonic_ms()
        self.view.update(changes, now_ms)
        for target_id in changes.targets:
            if target_id not in self.view.targets:
                self.running_task_lists.discard(target_id)
        self.tasks.state_changed(changes, now_ms)
        if changes.configuration or changes.entries or changes.targets:
            self.entries.push_changes(now_ms)

    def tick(self) -> None:
        """Run periodic work that is due, but only while the leader lease is valid."""
        if not self.log.status().lease_valid:
            return
        now_ms = self.clock.monotonic_ms()
        if now_ms >= self._next_fleet_ms:
            self._next_fleet_ms = now_ms + self.settings.fleet_interval_ms
            self.targets.tick(now_ms)
            self.tasks.set_suspects(self.targets.suspected_targets(now_ms))
            self.entries.tick(self.targets.silent_targets(now_ms), now_ms)
        self.tasks.tick(now_ms)

    def _usage(self, _: str, batch: UsageBatch, now_ms: int) -> None:
        for sample in batch.samples:
            self.targets.record_usage(sample.target_id, now_ms)
        self.tasks.handle_usage(
            self.running_task_lists.with_running_lists(batch), now_ms
        )

    def _propose(self, _: str, proposal: Proposal, now_ms: int) -> None:
        def done(outcome: ProposeOutcome) -> None:
            result = ProposalResult(
                proposal.proposal_id, outcome.status, outcome.leader_id, outcome.result
            )
            self.send(proposal.reply_to, result)

        self.log.propose(proposal.kind, _command_body(proposal), done)

    def _query(self, _: str, query: Query, now_ms: int) -> None:
        def confirmed(outcome: ProposeOutcome) -> None:
            self.post(lambda: self._answer(query, outcome))

        if query.kind == CHANGE_MEMBERS:
            self.members.change(query)
            return
        self.log.read_barrier(confirmed)

    def _answer(self, query: Query, outcome: ProposeOutcome) -> None:
        result = QueryResult(query.query_id, outcome.status, outcome.leader_id)
        if outcome.status == "applied":
            result = result._replace(result=self._run_query(query))
        self.send(query.reply_to, result)

    def _run_query(self, query: Query) -> bytes:
        run = QUERIES.get(query.kind)
        if run is None:
            reason = f"unknown query {query.kind!r}; one of {', '.join(QUERIES)}"
            return msgspec.json.encode({"status": "rejected", "reason": reason})
        try:
            return run(self, query.arguments)
        except NotFoundError as error:
            return msgspec.json.encode({"status": "unknown", "reason": str(error)})
        except (QueryError, *UNDECODABLE) as error:
            return msgspec.json.encode({"status": "rejected", "reason": str(error)})


def _command_body(proposal: Proposal) -> bytes:
    """Return the command's body.

    A ``ClaimKey`` without a claim id gets its proposal's id as the claim id.
    """
    if proposal.kind != ClaimKey.__name__:
        return proposal.body
    try:
        claim = _CLAIM.decode(proposal.body)
    except UNDECODABLE:
        return proposal.body
    if claim.claim_id:
        return proposal.body
    return msgspec.msgpack.encode(claim._replace(claim_id=proposal.proposal_id))
