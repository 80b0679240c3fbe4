"""Failure scenarios of the replicated log, in simulated time."""

import unittest
from typing import Any
from unittest import mock

from foxspring_control.raft import Member
from foxspring_control.raft._events import Received
from foxspring_control.raft._messages import AppendEntries, RequestVote
from foxspring_control.raft._state import Progress, RaftState
from foxspring_control.raft.tests import builders
from foxspring_control.raft.tests.simulated_network import NetworkFaults
from foxspring_control.raft.tests.simulation import InvariantViolationError, Simulation

NO_NETWORK_FAULTS = NetworkFaults(drop_percent=0, duplicate_percent=0, late_percent=0)
ELECTION_MS = builders.settings().election_timeout_ms
LEASE_MS = builders.settings().lease_ms()


class FailureTest(unittest.TestCase):
    def start(
        self,
        count: int = 3,
        rates: tuple[int, ...] = (),
        network: NetworkFaults = NO_NETWORK_FAULTS,
        seed: int = 7,
    ) -> Simulation:
        simulation = Simulation(count, seed, network, rates=rates)
        self.addCleanup(simulation.__exit__)
        return simulation

    def followers(self, simulation: Simulation) -> list[str]:
        leader = simulation.leader()
        return [name for name in simulation.nodes if name != leader]

    def state(self, simulation: Simulation, name: str) -> RaftState:
        runtime = simulation.nodes[name].runtime
        assert runtime is not None
        return runtime.state


class LeaderLossTest(FailureTest):
    def test_leader_killed_during_group_commit(self) -> None:
        for crash_at in ("before", "after"):
            with self.subTest(crash_at=crash_at):
                simulation = self.start()
                leader = simulation.elect()
                simulation.commit(10)
                simulation.nodes[leader].disk.crash_at_sync = crash_at
                body = simulation.propose(leader)
                self.assertIsNone(simulation.nodes[leader].runtime)
                self.assertNotIn(body, simulation.acked)
                simulation.commit(5)
                simulation.converge()

    def test_next_commit_comes_within_two_seconds(self) -> None:
        for seed in range(20):
            simulation = self.start(seed=seed)
            leader = simulation.elect()
            simulation.crash(leader)
            killed_ms = simulation.now_ms
            simulation.commit()
            self.assertLess(simulation.now_ms - killed_ms, 2_000)

    def test_split_vote_ends_in_one_leader(self) -> None:
        simulation = self.start(count=4)
        for name, node in simulation.nodes.items():
            self.state(simulation, name).election_due_ms = (
                node.clock.monotonic_ms() + ELECTION_MS
            )
            simulation._schedule_tick(node)
        simulation.run(ELECTION_MS + 100)
        self.assertEqual("", simulation.leader())
        simulation.elect()

    def test_two_candidates_of_one_term_can_not_both_win(self) -> None:
        simulation = self.start()
        simulation.elect()
        voter = self.followers(simulation)[0]
        state = self.state(simulation, voter)
        state.last_leader_contact_ms = 0
        last_entry = (state.log.last_index, state.log.last_term)
        term = state.term + 1
        for candidate in ("m8", "m9"):
            request = RequestVote(term, candidate, *last_entry, False)
            simulation.feed(voter, Received(candidate, request))
        self.assertEqual("m8", state.voted_for)


class PartitionTest(FailureTest):
    def test_old_leader_behind_a_one_way_partition(self) -> None:
        for inbound, outbound in ((True, False), (False, True), (True, True)):
            with self.subTest(inbound=inbound, outbound=outbound):
                simulation = self.start()
                old = simulation.elect()
                simulation.commit(3)
                simulation.isolate(old, inbound, outbound)
                simulation.run(LEASE_MS + 50)
                self.assertFalse(simulation.read(old))
                simulation.await_leader_other_than(old)
                simulation.commit(3)
                self.assertFalse(simulation.read(old))
                simulation.converge()

    def test_a_member_that_returns_does_not_depose_the_leader(self) -> None:
        simulation = self.start()
        leader = simulation.elect()
        isolated = self.followers(simulation)[0]
        term = self.state(simulation, leader).term
        simulation.isolate(isolated)
        simulation.run(60_000)
        simulation.clear_faults()
        simulation.run(5_000)
        self.assertEqual(leader, simulation.leader())
        self.assertEqual(term, self.state(simulation, isolated).term)

    def test_a_member_long_cut_off_catches_up_by_one_snapshot(self) -> None:
        simulation = self.start()
        simulation.elect()
        isolated = self.followers(simulation)[0]
        simulation.isolate(isolated)
        simulation.commit(200)
        simulation.clear_faults()
        with self.assertLogs("foxspring_control.raft", "WARNING") as logs:
            simulation.converge()
        installed = [line for line in logs.output if "snapshot_installed" in line]
        self.assertEqual(1, len(installed))

    def test_a_proposal_without_quorum_is_answered_and_may_be_lost(self) -> None:
        simulation = self.start()
        leader = simulation.elect()
        simulation.isolate(leader)
        simulation.run(LEASE_MS)
        body = simulation.propose(leader)
        simulation.run(2 * ELECTION_MS)
        self.assertEqual({}, simulation.nodes[leader].runtime.pending_callbacks)  # type: ignore[union-attr]
        self.assertNotIn(body, simulation.acked)

    def test_an_unresponsive_member_is_sent_only_heartbeats(self) -> None:
        simulation = self.start()
        leader = simulation.elect()
        isolated = self.followers(simulation)[0]
        simulation.isolate(isolated)
        entry_counts: list[int] = []
        send = simulation.network.send

        def count(now_ms: int, source: str, target: str, message: Any) -> None:
            if target == isolated and isinstance(message, AppendEntries):
                entry_counts.append(len(message.entries))
            send(now_ms, source, target, message)

        with mock.patch.object(simulation.network, "send", count):
            for _ in range(60):
                simulation.propose(leader)
                simulation.run(50)
        self.assertGreater(len(entry_counts), 10)
        self.assertLessEqual(sum(map(bool, entry_counts)), Progress.MAX_IN_FLIGHT + 1)
        simulation.converge()


class ClockTest(FailureTest):
    def test_a_resumed_leader_has_no_lease(self) -> None:
        simulation = self.start()
        old = simulation.elect()
        simulation.pause(old)
        simulation.await_leader_other_than(old)
        simulation.commit(2)
        node = simulation.nodes[old]
        node.paused_inbox = None
        self.assertFalse(simulation.read(old))
        simulation.converge()

    def test_a_clock_off_by_ten_percent_keeps_one_lease(self) -> None:
        for rates in ((90, 100, 100), (110, 100, 100), (90, 110, 110)):
            with self.subTest(rates=rates):
                simulation = self.start(rates=rates)
                for _ in range(12):
                    leader = simulation.elect()
                    simulation.isolate(leader)
                    simulation.run(1_500)
                    simulation.clear_faults()
                    simulation.commit()

    def restart_voter_beside_candidate(self) -> Simulation:
        """Restart a follower repeatedly while the other one can't reach the leader."""
        simulation = self.start()
        leader = simulation.elect()
        voter, candidate = self.followers(simulation)
        simulation.network.blocked |= {(leader, candidate), (candidate, leader)}
        for _ in range(40):
            simulation.run(400)
            simulation.crash(voter)
            simulation.restart(voter)
        return simulation

    def test_a_restarted_member_does_not_vote_within_an_election_timeout(self) -> None:
        simulation = self.restart_voter_beside_candidate()
        self.assertEqual(1, len(simulation.leader_of_term))

    def test_a_vote_right_after_a_restart_is_detected(self) -> None:
        class StateWithoutLeaderContact(RaftState):
            def __init__(self, *arguments: Any) -> None:
                super().__init__(*arguments)
                self.last_leader_contact_ms = 0

        path = "foxspring_control.raft.tests.simulation.RaftState"
        with (
            mock.patch(path, StateWithoutLeaderContact),
            self.assertRaises(InvariantViolationError),
        ):
            self.restart_voter_beside_candidate()


class DiskTest(FailureTest):
    def test_a_full_disk_ends_the_process_and_the_others_go_on(self) -> None:
        for victim in ("leader", "follower"):
            with self.subTest(victim=victim):
                simulation = self.start()
                leader = simulation.elect()
                name = leader if victim == "leader" else self.followers(simulation)[0]
                simulation.nodes[name].disk.fail_syncs = True
                simulation.propose(leader)
                simulation.run(50)
                self.assertIsNone(simulation.nodes[name].runtime)
                simulation.commit(5)
                simulation.converge()

    def test_a_wiped_member_rejoins_only_under_a_new_id(self) -> None:
        simulation = self.start()
        leader = simulation.elect()
        simulation.commit(3)
        wiped = self.followers(simulation)[0]
        simulation.wipe(wiped)
        simulation.restart(wiped)
        simulation.run(2_000)
        self.assertIn("new member id", self.state(simulation, wiped).refusal_reason)
        other = next(n for n in self.followers(simulation) if n != wiped)
        simulation.crash(leader)
        simulation.run(10_000)
        self.assertEqual("", simulation.leader(), "a member with an emptied disk voted")
        simulation.crash(wiped)
        simulation.restart(wiped)
        simulation.restart(leader)
        simulation.run(5_000)
        self.assertIn("new member id", self.state(simulation, wiped).refusal_reason)
        simulation.replace(wiped, "m4")
        self.assertEqual({leader, other, "m4"}, set(simulation.voter_ids()))

    def test_a_member_that_missed_the_first_entry_takes_part(self) -> None:
        simulation = self.start()
        simulation.run_until(lambda: simulation.leader_of_term)
        first_leader = simulation.leader_of_term[max(simulation.leader_of_term)]
        follower = next(name for name in simulation.nodes if name != first_leader)
        simulation.isolate(follower)
        simulation.commit(3)
        self.assertFalse(self.state(simulation, follower).has_log())
        simulation.crash(follower)
        simulation.restart(follower)
        simulation.converge()
        self.assertEqual(3, len(simulation.serving()))

    def test_a_crash_of_the_first_leader_elects_another(self) -> None:
        simulation = self.start()
        simulation.crash(simulation.elect())
        simulation.commit(3)

    def test_two_wiped_members_do_not_bootstrap_a_second_group(self) -> None:
        simulation = self.start()
        simulation.elect()
        simulation.commit(3)
        for name in self.followers(simulation):
            simulation.wipe(name)
            simulation.restart(name)
        simulation.run(20_000)
        self.assertEqual("", simulation.leader())
        self.assertEqual(1, len(simulation.leader_of_term))


class MembershipTest(FailureTest):
    def test_a_member_lost_during_a_snapshot(self) -> None:
        simulation = self.start()
        simulation.elect()
        isolated = self.followers(simulation)[0]
        simulation.isolate(isolated)
        simulation.commit(120)
        simulation.clear_faults()
        node = simulation.nodes[isolated]
        runtime = node.runtime
        assert runtime is not None
        simulation.run_until(lambda: runtime.state.snapshot is not None)
        simulation.crash(isolated)
        simulation.restart(isolated)
        simulation.converge()

    def test_a_member_lost_between_snapshot_file_and_install(self) -> None:
        simulation = self.start()
        simulation.elect()
        isolated = self.followers(simulation)[0]
        simulation.isolate(isolated)
        simulation.commit(120)
        simulation.clear_faults()
        simulation.nodes[isolated].disk.crash_at_sync = "after"
        simulation.run_until(lambda: simulation.nodes[isolated].runtime is None)
        simulation.restart(isolated)
        simulation.converge()

    def test_a_second_member_lost_right_after_a_replacement(self) -> None:
        for lost in ("leader", "follower"):
            with self.subTest(lost=lost):
                simulation = self.start()
                simulation.elect()
                simulation.commit(60)
                simulation.replace(self.followers(simulation)[0], "m4")
                leader = simulation.elect()
                others = [n for n in self.followers(simulation) if n != "m4"]
                simulation.wipe(leader if lost == "leader" else others[0])
                simulation.commit(5)
                simulation.await_acked_changes()

    def test_a_learner_does_not_vote_before_it_is_caught_up(self) -> None:
        simulation = self.start()
        leader = simulation.elect()
        simulation.commit(100)
        member = Member("m4", "m4")
        simulation.add_node(member, ())
        simulation.isolate("m4", inbound=False)
        simulation.add_member(leader, member)
        simulation.run(5_000)
        self.assertNotIn("m4", simulation.voter_ids())
        simulation.clear_faults()
        simulation.run_until(lambda: "m4" in simulation.voter_ids())

    def test_rejected_member_changes_give_a_reason(self) -> None:
        simulation = self.start()
        leader = simulation.elect()
        cases = (
            (Member("m2", "x"), b"is already a member"),
            (Member("m9", "m2"), b"has the address"),
        )
        for member, reason in cases:
            with self.subTest(member=member):
                outcome = simulation.add_member(leader, member)[0]
                self.assertEqual("rejected", outcome.status)
                self.assertIn(reason, outcome.result)
        outcome = simulation.remove_member(leader, "m7")[0]
        self.assertIn(b"is not a member", outcome.result)

    def test_a_leader_that_removes_itself_steps_down(self) -> None:
        simulation = self.start()
        leader = simulation.elect()
        simulation.remove_member(leader, leader)
        simulation.await_leader_other_than(leader)
        self.assertNotIn(leader, simulation.voter_ids())

    # Issue 55: two members that could not serve handed the leadership to each other.
    def test_repeated_transfers_reach_every_member(self) -> None:
        simulation = self.start(5)
        leaders = {simulation.elect()}
        for _ in range(4):
            leader = simulation.elect()
            simulation.commit(1)
            simulation.run(500)
            simulation.transfer(leader)
            leaders.add(simulation.await_leader_other_than(leader))
        self.assertEqual(set(simulation.voter_ids()), leaders)

    def test_a_leadership_transfer_is_faster_than_an_election(self) -> None:
        simulation = self.start()
        leader = simulation.elect()
        simulation.commit(5)
        start_ms = simulation.now_ms
        outcomes = simulation.transfer(leader)
        simulation.await_leader_other_than(leader)
        self.assertLess(simulation.now_ms - start_ms, ELECTION_MS)
        simulation.run(500)
        self.assertEqual(["applied"], [o.status for o in outcomes])
