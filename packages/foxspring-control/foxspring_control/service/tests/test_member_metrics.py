"""Tests of metrics queries: they are forwarded to the member concerned."""

import unittest
from typing import Any

import msgspec
from foxspring_model import Query, QueryResult

from foxspring_control.raft import Member, MemberStatus, RaftStatus
from foxspring_control.service._member_metrics import answer_member_metrics

_MEMBERS = tuple(
    MemberStatus(Member(f"control-{number}", f"10.0.0.{number}:7"), False, 9, True)
    for number in (1, 2)
)


def _status(member_id: str) -> RaftStatus:
    return RaftStatus(
        member_id=member_id,
        role="leader" if member_id == "control-1" else "follower",
        term=3,
        leader_id="control-1",
        leader_address="10.0.0.1:7",
        commit_index=9,
        applied_index=8,
        last_index=9,
        snapshot_index=0,
        first_index=1,
        members=_MEMBERS,
        lease_valid=True,
        elections=1,
        sync_count=4,
        disk_bytes=100,
        refusal_reason="",
    )


def _answer(receiver_id: str, requested_id: str) -> tuple[str, str]:
    sent: list[tuple[str, Any]] = []
    arguments = msgspec.json.encode({"member_id": requested_id})
    query = Query("q", "entry:1", "member_metrics", arguments)
    answer_member_metrics(
        query,
        _status(receiver_id),
        receiver_id == "control-1",
        lambda address, message: sent.append((address, message)),
    )
    address, message = sent[0]
    return address, "passed on" if message is query else message.status


class MemberMetricsTest(unittest.TestCase):
    def test_the_queried_member_answers(self) -> None:
        cases = [
            ("control-1", "control-1", ("entry:1", "applied")),
            ("control-1", "control-2", ("10.0.0.2:7", "passed on")),
            ("control-2", "control-2", ("entry:1", "applied")),
            ("control-2", "control-1", ("entry:1", "not_leader")),
            ("control-1", "control-9", ("entry:1", "applied")),
        ]
        for receiver_id, requested_id, expected in cases:
            with self.subTest(receiver_id=receiver_id, requested_id=requested_id):
                self.assertEqual(_answer(receiver_id, requested_id), expected)

    def test_metrics_are_of_the_answering_member(self) -> None:
        sent: list[QueryResult] = []
        arguments = msgspec.json.encode({"member_id": "control-2"})
        query = Query("q", "entry:1", "member_metrics", arguments)
        answer_member_metrics(
            query, _status("control-2"), False, lambda _, message: sent.append(message)
        )
        figures = msgspec.json.decode(sent[0].result)
        self.assertEqual(figures["applied_index"], 8)
        self.assertEqual(figures["is_leader"], 0)
