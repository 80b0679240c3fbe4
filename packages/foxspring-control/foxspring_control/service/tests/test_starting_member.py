"""Messages that reach a control member before its log is started."""

import queue
import tempfile
import unittest
from pathlib import Path
from typing import Any

import msgspec
from foxspring_config import parse_configuration
from foxspring_link import SystemClock
from foxspring_model import (
    EntryHeartbeat,
    EntryInfo,
    HeartbeatRejected,
    Proposal,
    ProposalResult,
    Query,
    QueryResult,
)

from foxspring_control.raft import Member, RaftSettings, ReplicatedLog
from foxspring_control.service import ControlService, ServiceSettings
from foxspring_control.state import ControlState

ANSWER_TIMEOUT_S = 5.0
ENTRY = EntryInfo("entry-1", 1, "10.0.0.9:7", "10.0.0.9:80", "fd-1")
ENTRY_ADDRESS = ENTRY.link_address
MEMBER = Member("control-1", "10.0.0.1:7")


class StartingMemberTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name)
        self.sent: queue.Queue[tuple[str, Any]] = queue.Queue()
        self.state = ControlState(path, parse_configuration)
        self.addCleanup(self.state.close)
        self.log = ReplicatedLog(
            RaftSettings(MEMBER.member_id, MEMBER.link_address, path, (MEMBER,)),
            self.state,
            self.send,
            SystemClock(),
            lambda change: self.service.on_leadership(change),
        )
        self.service = ControlService(
            ServiceSettings(), self.log, self.state, self.send, SystemClock()
        )
        self.addCleanup(self.log.close)
        self.addCleanup(self.service.close)

    def send(self, address: str, message: Any) -> None:
        self.sent.put((address, message))

    def answer_to(self, message: Any) -> Any:
        """Return the member's answer to a message from an entry."""
        with self.assertNoLogs("foxspring_control", "ERROR"):
            self.service.receive(ENTRY_ADDRESS, message)
            address, answer = self.sent.get(timeout=ANSWER_TIMEOUT_S)
        self.assertEqual(address, ENTRY_ADDRESS)
        return answer

    def metrics_query(self) -> Query:
        arguments = msgspec.json.encode({"member_id": MEMBER.member_id})
        return Query("q-1", ENTRY_ADDRESS, "member_metrics", arguments)

    def test_heartbeat_before_the_log_is_started_is_rejected(self) -> None:
        heartbeat = EntryHeartbeat(ENTRY, 1_000, 0, 0)
        expected = HeartbeatRejected(MEMBER.member_id, "")
        self.assertEqual(self.answer_to(heartbeat), expected)

    def test_metrics_query_before_the_log_is_started_is_redirected(self) -> None:
        expected = QueryResult("q-1", "not_leader", "")
        self.assertEqual(self.answer_to(self.metrics_query()), expected)

    def test_other_requests_before_the_log_is_started_are_redirected(self) -> None:
        proposal = Proposal("p-1", ENTRY_ADDRESS, "SubmitJob", b"{}")
        expected = ProposalResult("p-1", "not_leader", "")
        self.assertEqual(self.answer_to(proposal), expected)

    def test_metrics_query_after_the_start_is_answered(self) -> None:
        self.log.start()
        answer = self.answer_to(self.metrics_query())
        self.assertEqual((answer.query_id, answer.status), ("q-1", "applied"))


if __name__ == "__main__":
    unittest.main()
