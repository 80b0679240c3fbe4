"""The status of a member without a leader says who answers it, and who doesn't."""

import threading
import unittest

from foxspring_control.raft import RaftStatus, VoteNote
from foxspring_control.raft._events import Received
from foxspring_control.raft._messages import RequestVote, VoteReply
from foxspring_control.raft._vote_notes import MAX_NOTES, VoteNotes
from foxspring_control.raft.tests.simulated_network import NetworkFaults
from foxspring_control.raft.tests.simulation import Simulation

NO_NETWORK_FAULTS = NetworkFaults(drop_percent=0, duplicate_percent=0, late_percent=0)
WITHOUT_LEADER_MS = 6_000


class VoteNotesTest(unittest.TestCase):
    def start(self, count: int = 3) -> tuple[Simulation, str, list[str]]:
        simulation = Simulation(count, 7, NO_NETWORK_FAULTS)
        self.addCleanup(simulation.__exit__)
        leader = simulation.elect()
        simulation.commit(3)
        followers = [name for name in simulation.nodes if name != leader]
        return simulation, leader, followers

    def status(self, simulation: Simulation, name: str) -> RaftStatus:
        runtime = simulation.nodes[name].runtime
        assert runtime is not None
        return runtime.status()

    # Issue 55: nothing said whether a member without a leader had a quorum.
    def test_member_without_quorum_knows_how_many_voters_answer(self) -> None:
        simulation, leader, followers = self.start(5)
        for name in (leader, *followers[:2]):
            simulation.crash(name)
        simulation.run(WITHOUT_LEADER_MS)
        status = self.status(simulation, followers[3])
        self.assertEqual((status.voters_heard, status.votes_needed), (2, 3))
        self.assertEqual([note.member_id for note in status.votes], [followers[2]])

    # Issue 55: a vote that is denied each time left no trace.
    def test_denied_votes_are_known_to_both_sides(self) -> None:
        simulation, leader, followers = self.start()
        behind, other = followers
        simulation.crash(leader)
        simulation.isolate(behind)
        simulation.isolate(other)
        simulation.run(WITHOUT_LEADER_MS)
        request = RequestVote(99, behind, 1, 1, True)
        simulation.feed(other, Received(behind, request))
        denial = self.status(simulation, other).denials[0]
        self.assertEqual(denial.member_id, behind)
        self.assertIn("holds a newer log up to", denial.denial)
        simulation.feed(behind, Received(other, VoteReply(1, other, True, False)))
        asked = self.status(simulation, behind)
        self.assertEqual([v.denial for v in asked.votes], ["unknown"])
        self.assertEqual(asked.voters_heard, 2)

    # Issue 55: a leader that steps down again and again gave no reason.
    def test_lost_leadership_is_logged_with_the_voters_that_answer(self) -> None:
        simulation, leader, _ = self.start()
        with self.assertLogs("foxspring_control.raft", "WARNING") as logs:
            simulation.isolate(leader)
            simulation.run(WITHOUT_LEADER_MS)
        lost = [line for line in logs.output if "event=leadership_lost" in line]
        self.assertIn(f"member={leader} term=", lost[0])
        self.assertIn("voters=3 reachable=1", lost[0])

    def test_notes_are_bounded(self) -> None:
        notes = VoteNotes()
        for number in range(2 * MAX_NOTES):
            notes.note_given(VoteNote(f"m{number}", number, "is in term 1"))
        notes.note_given(VoteNote(f"m{number}", number, ""))
        self.assertEqual(len(notes.given), MAX_NOTES)
        self.assertEqual(notes.given[-1].denial, "")

    def test_status_can_be_read_while_the_group_runs(self) -> None:
        simulation, leader, followers = self.start()
        finished = threading.Event()
        errors: list[Exception] = []

        def read() -> None:
            while not finished.is_set():
                try:
                    for name in simulation.nodes:
                        self.status(simulation, name)
                except Exception as error:
                    errors.append(error)

        reader = threading.Thread(target=read)
        reader.start()
        try:
            for name in (leader, *followers):
                simulation.isolate(name)
                simulation.run(WITHOUT_LEADER_MS)
                simulation.clear_faults()
                simulation.run(WITHOUT_LEADER_MS)
        finally:
            finished.set()
            reader.join()
        self.assertEqual(errors, [])


if __name__ == "__main__":
    unittest.main()
