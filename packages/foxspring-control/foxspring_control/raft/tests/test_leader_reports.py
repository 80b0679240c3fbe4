"""What a member reports of its leader, in simulated time."""

import unittest

from foxspring_control.raft import LeadershipChange, Member
from foxspring_control.raft.tests.simulated_network import NetworkFaults
from foxspring_control.raft.tests.simulation import Simulation

ORDERED = NetworkFaults(0, 0, 1, 0, 0)


class LeadershipSimulation(Simulation):
    """Records the latest change of leadership that each member reports."""

    def __init__(self) -> None:
        self.latest: dict[str, LeadershipChange] = {}
        self.change_count = 0
        super().__init__(network=ORDERED)

    def on_leadership(self, name: str, change: LeadershipChange) -> None:
        """Record a change."""
        self.latest[name] = change
        self.change_count += 1
        super().on_leadership(name, change)


class LeaderReportsTest(unittest.TestCase):
    """A member hears of its leader before it knows the group."""

    # Issue 55: a member whose disk had been emptied declined calls without naming
    # the leader that it followed, until the next change of leader.
    def test_new_member_names_its_leader(self) -> None:
        group = LeadershipSimulation()
        with group:
            group.commit()
            leader = group.elect()
            member = Member("m4", "m4")
            group.add_node(member, ())
            group.add_member(leader, member)
            group.run_until(lambda: "m4" in group.voter_ids())
            group.run(1_000)
            self.assertEqual(group.latest["m4"].leader_id, leader)
            self.assertEqual(group.latest["m4"].leader_address, leader)

    def test_known_leader_is_reported_once(self) -> None:
        group = LeadershipSimulation()
        with group:
            group.elect()
            group.run(1_000)
            before = group.change_count
            group.run(5_000)
            self.assertEqual(group.change_count, before)


if __name__ == "__main__":
    unittest.main()
