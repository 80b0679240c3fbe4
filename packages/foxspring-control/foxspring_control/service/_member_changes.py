"""Membership changes of the control group, requested by operators."""

from typing import NotRequired, TypedDict

import msgspec
from foxspring_model import (
    UNDECODABLE,
    CommandResult,
    Query,
    QueryResult,
    RecordMemberChange,
)

from foxspring_control._replication import ProposeOutcome
from foxspring_control.raft import Member
from foxspring_control.service._messages import LogHandle, SendMessage
from foxspring_control.service._proposer import Proposer

CHANGE_MEMBERS = "change_members"


class MemberChange(TypedDict):
    """A membership change; ``action`` is ``add`` or ``remove``."""

    who: str
    action: str
    member_id: str
    link_address: NotRequired[str]
    failure_domain: NotRequired[str]


class MemberChanges:
    """Applies membership changes through the log and records them for the audit."""

    def __init__(self, log: LogHandle, proposer: Proposer, send: SendMessage) -> None:
        self.log = log
        self.proposer = proposer
        self.send = send

    def change(self, query: Query) -> None:
        """Start a membership change; reply when the log has completed it."""
        try:
            change = msgspec.json.decode(query.arguments, type=MemberChange)
        except UNDECODABLE as error:
            self._answer(query, "applied", _rejected(str(error)))
            return

        def done(outcome: ProposeOutcome) -> None:
            self.proposer.post(lambda: self._done(query, change, outcome))

        member_id = change["member_id"]
        if change["action"] == "add":
            address = change.get("link_address", "")
            domain = change.get("failure_domain", "")
            self.log.add_member(Member(member_id, address, True, domain), done)
        elif change["action"] == "remove":
            self.log.remove_member(member_id, done)
        else:
            reason = f"action {change['action']!r} is not known; use add or remove"
            self._answer(query, "applied", _rejected(reason))

    def _done(
        self, query: Query, change: MemberChange, outcome: ProposeOutcome
    ) -> None:
        if outcome.status not in ("applied", "rejected"):
            leader_id = outcome.leader_id
            result = QueryResult(query.query_id, outcome.status, leader_id)
            self.send(query.reply_to, result)
            return
        answer = CommandResult(status="ok")
        if outcome.status == "rejected":
            answer = _rejected(outcome.result.decode())
        record = RecordMemberChange(
            change["who"],
            change["action"],
            change["member_id"],
            f"{answer['status']} {answer.get('reason', '')}".strip(),
        )
        self.proposer.propose(f"member/{query.query_id}", record)
        self._answer(query, "applied", answer)

    def _answer(self, query: Query, status: str, answer: CommandResult) -> None:
        body = msgspec.json.encode(answer)
        self.send(query.reply_to, QueryResult(query.query_id, status, result=body))


def _rejected(reason: str) -> CommandResult:
    return CommandResult(status="rejected", reason=reason)
