"""Service of a control member: redirects on a follower, serves on the leader."""

import logging
from typing import Any

from foxspring_model import (
    Clock,
    EntryHeartbeat,
    HeartbeatRejected,
    Proposal,
    ProposalResult,
    Query,
    QueryResult,
)

from foxspring_control.raft import LeadershipChange
from foxspring_control.service._leader import Leader
from foxspring_control.service._member_metrics import (
    MEMBER_METRICS,
    ReadMetrics,
    answer_member_metrics,
)
from foxspring_control.service._messages import LogHandle, Post, SendMessage
from foxspring_control.service._scheduling import MakeScheduler
from foxspring_control.service._settings import ServiceSettings
from foxspring_control.state import ControlState, StateChanges

_LOG = logging.getLogger(__name__)

NO_LEADER = LeadershipChange(False, 0, "", "")


class ServiceCore:
    """Service logic without a thread; all methods must be called on one thread."""

    def __init__(
        self,
        settings: ServiceSettings,
        log: LogHandle,
        state: ControlState,
        send: SendMessage,
        clock: Clock,
        post: Post,
        make_scheduler: MakeScheduler,
        extra_metrics: ReadMetrics = dict,
    ) -> None:
        self.extra_metrics = extra_metrics
        self.settings = settings
        self.log = log
        self.state = state
        self.send = send
        self.clock = clock
        self.post = post
        self.make_scheduler = make_scheduler
        self.leadership = NO_LEADER
        self.leader: Leader | None = None

    def on_leadership(self, leadership: LeadershipChange) -> None:
        """Start or stop acting as the leader."""
        self.leadership = leadership
        self.leader = None
        if leadership.is_leader:
            self._start_leading()
        _LOG.info(
            "event=leadership term=%d leader=%s leading=%s",
            leadership.term,
            leadership.leader_id,
            leadership.is_leader,
        )

    def receive(self, sender: str, message: Any) -> None:
        """Handle a message from an entry; on a follower, reply with the leader's id.

        Before its log is started, a member replies like a follower without a leader.
        """
        metrics = isinstance(message, Query) and message.kind == MEMBER_METRICS
        if metrics and self.log.is_started():
            leading = self.leader is not None
            answer_member_metrics(
                message, self.log.status(), leading, self.send, self.extra_metrics
            )
            return
        if self.leader is not None:
            self.leader.receive(sender, message)
            return
        answer = self._redirect_reply(message)
        if answer is not None:
            self.send(getattr(message, "reply_to", "") or sender, answer)

    def state_changed(self, changes: StateChanges) -> None:
        """Handle the changes made by a batch of log entries."""
        if self.leader is None:
            return
        if changes.reset:
            self._start_leading()
            return
        self.leader.state_changed(changes)

    def tick(self) -> None:
        """Run periodic work that is due."""
        if self.leader is not None:
            self.leader.tick()

    def _start_leading(self) -> None:
        self.leader = Leader(
            self.settings,
            self.leadership,
            self.log,
            self.state,
            self.send,
            self.clock,
            self.post,
            self.make_scheduler(),
        )

    def _redirect_reply(self, message: Any) -> Any:
        leader_id = self.leadership.leader_id
        if isinstance(message, EntryHeartbeat):
            return HeartbeatRejected(self.log.member_id, leader_id)
        if isinstance(message, Proposal):
            return ProposalResult(message.proposal_id, "not_leader", leader_id)
        if isinstance(message, Query):
            return QueryResult(message.query_id, "not_leader", leader_id)
        return None
