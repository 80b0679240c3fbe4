"""A member knows the leader's address as soon as its log has it."""

import pathlib
import unittest

from foxspring_control._replication import LogEntry
from foxspring_control.raft._events import LeaderChanged, Received
from foxspring_control.raft._messages import AppendEntries, Membership
from foxspring_control.raft._settings import Member, RaftSettings
from foxspring_control.raft._state import (
    MEMBERS_KIND,
    RaftState,
    StoredState,
    encode_membership,
)
from foxspring_control.raft._step import step
from foxspring_control.raft._terms import TermTable

GROUP = Membership((Member("a", "a:1"), Member("b#2", "b:1", voter=False)))


class LeaderAddressTest(unittest.TestCase):
    def setUp(self) -> None:
        settings = RaftSettings("b#2", "b:1", pathlib.Path("unused"), ())
        self.state = RaftState(settings, StoredState(0, "", 0, TermTable()), 0)

    def append(self, prev_index: int, *entries: LogEntry) -> list[LeaderChanged]:
        message = AppendEntries(
            3, "a", prev_index, 3 * bool(prev_index), 0, 5, False, entries, "b#2"
        )
        _, effects = step(self.state, Received("a:1", message), 10)
        return [effect for effect in effects if isinstance(effect, LeaderChanged)]

    # Issue 55: a member that had just joined declined calls and named no leader.
    def test_new_member_names_the_leader_once_it_holds_the_membership(self) -> None:
        self.assertEqual(self.append(0), [LeaderChanged(False, 3, "a", "")])
        self.append(0, LogEntry(1, 3, MEMBERS_KIND, encode_membership(GROUP), 0))
        self.assertEqual(self.append(1), [LeaderChanged(False, 3, "a", "a:1")])
        self.assertEqual(self.append(1), [])

    def test_leader_that_has_left_the_group_keeps_its_address(self) -> None:
        self.append(0, LogEntry(1, 3, MEMBERS_KIND, encode_membership(GROUP), 0))
        self.append(1)
        left = Membership(GROUP.members[1:])
        self.append(1, LogEntry(2, 3, MEMBERS_KIND, encode_membership(left), 0))
        self.assertEqual(self.append(2), [])


if __name__ == "__main__":
    unittest.main()
