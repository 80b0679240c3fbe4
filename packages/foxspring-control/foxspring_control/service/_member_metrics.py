"""Metrics of a control member, served through the leader.

A control member has no HTTP server. An entry queries the leader, which forwards
the query to the member concerned; that member replies to the entry directly.
"""

from collections.abc import Callable, Mapping
from typing import TypedDict

import msgspec
from foxspring_model import INVARIANT_CHECKS, UNDECODABLE, Query, QueryResult

from foxspring_control.raft import RaftStatus
from foxspring_control.service._messages import SendMessage

MEMBER_METRICS = "member_metrics"


ReadMetrics = Callable[[], Mapping[str, int]]


class _About(TypedDict):
    member_id: str


def answer_member_metrics(
    query: Query,
    status: RaftStatus,
    leading: bool,
    send: SendMessage,
    extra_metrics: ReadMetrics = dict,
) -> None:
    """Answer a query for this member's metrics, or forward it to another member.

    ``extra_metrics`` returns metrics from outside the log, such as link counters.
    """
    try:
        requested_id = msgspec.json.decode(query.arguments, type=_About)["member_id"]
    except UNDECODABLE:
        requested_id = ""
    if requested_id == status.member_id:
        result = msgspec.json.encode({**member_metrics(status), **extra_metrics()})
        send(query.reply_to, QueryResult(query.query_id, "applied", "", result))
        return
    address = _address_of(requested_id, status)
    if leading and address:
        send(address, query)
        return
    if leading:
        reason = {"status": "unknown", "reason": f"no control member {requested_id!r}"}
        result = msgspec.json.encode(reason)
        send(query.reply_to, QueryResult(query.query_id, "applied", "", result))
        return
    send(query.reply_to, QueryResult(query.query_id, "not_leader", status.leader_id))


def member_metrics(status: RaftStatus) -> dict[str, int]:
    """Return a member's metrics by name."""
    return {
        "is_leader": int(status.role == "leader"),
        "lease_valid": int(status.lease_valid),
        "term": status.term,
        "elections_total": status.elections,
        "commit_index": status.commit_index,
        "applied_index": status.applied_index,
        "last_index": status.last_index,
        "snapshot_index": status.snapshot_index,
        "syncs_total": status.sync_count,
        "disk_bytes": status.disk_bytes,
        "members": len(status.members),
        "members_reachable": sum(member.reachable for member in status.members),
        "invariant_checks_total": sum(INVARIANT_CHECKS.checked.values()),
        "violations_total": sum(INVARIANT_CHECKS.violated.values()),
    }


def _address_of(member_id: str, status: RaftStatus) -> str:
    for each in status.members:
        if each.member.member_id == member_id:
            return each.member.link_address
    return ""
