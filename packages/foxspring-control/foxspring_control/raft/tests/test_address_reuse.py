"""Address reuse: messages to the former member at an address are ignored."""

import pathlib
import tempfile
import unittest

from foxspring_control.raft._events import Received, RenewIdentity, StoreIdentity
from foxspring_control.raft._messages import AppendEntries, Membership, SnapshotChunk
from foxspring_control.raft._settings import RaftSettings
from foxspring_control.raft._state import RaftState, StoredState
from foxspring_control.raft._step import step
from foxspring_control.raft._storage import Storage, WrongMemberError
from foxspring_control.raft._terms import TermTable

NEW_ID = "b#2"


def joining_member_state() -> RaftState:
    """Return the state of a new member with an empty disk."""
    settings = RaftSettings(NEW_ID, "b:1", pathlib.Path("unused"), ())
    return RaftState(settings, StoredState(0, "", 0, TermTable()), 0)


def heartbeat(to_member: str, to_voter: bool) -> AppendEntries:
    return AppendEntries(3, "a", 0, 0, 0, 5, to_voter, to_member=to_member)


def chunk(to_member: str) -> SnapshotChunk:
    members = Membership()
    return SnapshotChunk(3, "a", 9, 2, 9, members, 0, 8, 5, True, b"1234", to_member)


class AddressReuseTest(unittest.TestCase):
    def test_messages_to_the_earlier_member_change_nothing(self) -> None:
        for message in (heartbeat("b", True), chunk("b")):
            with self.subTest(kind=type(message).__name__):
                state = joining_member_state()
                _, effects = step(state, Received("a:1", message), 10)
                self.assertEqual(
                    (state.refusal_reason, state.term, effects), ("", 0, [])
                )

    def test_messages_to_the_new_learner_are_accepted(self) -> None:
        state = joining_member_state()
        step(state, Received("a:1", heartbeat(NEW_ID, False)), 10)
        self.assertEqual((state.refusal_reason, state.leader_id), ("", "a"))

    def test_wiped_member_under_its_own_id_is_still_refused(self) -> None:
        state = joining_member_state()
        step(state, Received("a:1", heartbeat(NEW_ID, True)), 10)
        self.assertNotEqual(state.refusal_reason, "")

    # Issue 55: a voter without data refused for good.
    def test_member_that_lost_its_data_takes_part_under_a_new_id(self) -> None:
        state = joining_member_state()
        step(state, Received("a:1", heartbeat(NEW_ID, True)), 10)
        _, effects = step(state, RenewIdentity("b#3"), 20)
        self.assertIn(StoreIdentity("b#3"), effects)
        step(state, Received("a:1", heartbeat(NEW_ID, True)), 30)
        self.assertEqual((state.refusal_reason, state.leader_id), ("", ""))
        step(state, Received("a:1", heartbeat("b#3", False)), 40)
        self.assertEqual((state.member_id, state.leader_id), ("b#3", "a"))

    def test_member_that_holds_its_data_keeps_its_id(self) -> None:
        state = joining_member_state()
        step(state, Received("a:1", heartbeat(NEW_ID, False)), 10)
        _, effects = step(state, RenewIdentity("b#3"), 20)
        self.assertEqual((state.member_id, effects), (NEW_ID, []))

    def test_renewed_id_is_the_one_of_the_folder(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name) / "log"
            storage = Storage(folder, NEW_ID, 1_000, 1_000)
            storage.open()
            storage.renew_identity("b#3")
            storage.close()
            former = Storage(folder, NEW_ID, 1_000, 1_000)
            with self.assertRaises(WrongMemberError):
                former.open()
            former.close()
            storage = Storage(folder, "b#3", 1_000, 1_000)
            storage.open()
            storage.close()


if __name__ == "__main__":
    unittest.main()
