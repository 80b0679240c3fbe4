"""Catching up with a log of large entries, in simulated time."""

import itertools
import unittest
from typing import Any

from foxspring_control.raft import Member
from foxspring_control.raft._events import Propose
from foxspring_control.raft._messages import AppendEntries, AppendReply
from foxspring_control.raft.tests.simulated_network import NetworkFaults
from foxspring_control.raft.tests.simulation import Simulation

# Links keep the order of messages, so each takes 1 ms.
ORDERED = NetworkFaults(0, 0, 1, 0, 0)
# Two of these fit into one message.
BODY_BYTES = 100_000
# Together they are smaller than the log that makes a snapshot due.
ENTRIES = 80
NEVER = 5_000
# Five round trips for each message, and one heartbeat interval to begin.
CATCH_UP_MS = ENTRIES // 2 * 5 * 2 + 200


class RecordingSimulation(Simulation):
    """Counts the bytes of entries sent to a member and the replies that reject any."""

    def __init__(self, watched: str) -> None:
        super().__init__(network=ORDERED, snapshot_every=NEVER)
        self.watched = watched
        self.sent_bytes = 0
        self.rejections = 0

    def send(self, source: str, target: str, message: Any) -> None:
        """Record a message and send it."""
        if target == self.watched and isinstance(message, AppendEntries):
            self.sent_bytes += sum(len(entry.body) for entry in message.entries)
        if source == self.watched and isinstance(message, AppendReply):
            self.rejections += not message.success
        super().send(source, target, message)


class CatchUpTest(unittest.TestCase):
    """A member is behind by more entries than fit into one message."""

    def propose_large_entries(self, group: RecordingSimulation) -> None:
        leader = group.elect()
        tokens = itertools.count(ENTRIES)
        for number in range(ENTRIES):
            body = b"%d" % number + b"x" * BODY_BYTES
            group.feed(leader, Propose(next(tokens), "Test", body, 0))
            group.run(20)

    # Issue 55: a member with an emptied disk didn't vote 6 s after its return, since
    # the leader took entries for sent that its message had no room for.
    def test_new_member_gets_each_large_entry_about_once(self) -> None:
        group = RecordingSimulation("m4")
        with group:
            self.propose_large_entries(group)
            member = Member("m4", "m4")
            group.add_node(member, ())
            group.add_member(group.elect(), member)
            node = group.nodes["m4"]
            began_ms = group.now_ms
            group.run_until(lambda: len(node.state_machine.bodies) >= ENTRIES)
            self.assertLess(group.now_ms - began_ms, CATCH_UP_MS)
            self.assertLess(group.sent_bytes, 1.1 * ENTRIES * BODY_BYTES)
            self.assertLessEqual(group.rejections, 2)

    # Issue 55: the same for a member that was away for some time.
    def test_returning_member_gets_each_large_entry_about_once(self) -> None:
        group = RecordingSimulation("m3")
        with group:
            leader = group.elect()
            watched = next(m for m in group.member_ids() if m != leader)
            group.watched = watched
            group.crash(watched)
            self.propose_large_entries(group)
            group.sent_bytes = group.rejections = 0
            group.restart(watched)
            node = group.nodes[watched]
            began_ms = group.now_ms
            group.run_until(lambda: len(node.state_machine.bodies) >= ENTRIES)
            self.assertLess(group.now_ms - began_ms, CATCH_UP_MS)
            self.assertLess(group.sent_bytes, 1.1 * ENTRIES * BODY_BYTES)
            self.assertLessEqual(group.rejections, 2)


if __name__ == "__main__":
    unittest.main()
