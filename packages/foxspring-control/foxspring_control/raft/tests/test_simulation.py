"""Randomised simulations: the log's safety invariants under mixed faults."""

import unittest
from typing import Any
from unittest import mock

from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

from foxspring_control.raft._state import RaftState
from foxspring_control.raft._storage import Storage
from foxspring_control.raft.tests.simulation import InvariantViolationError, Simulation

REPLACE_EVERY_ACTIONS = 50
MEMBER_IDS = ("m1", "m2", "m3")
ACTIONS = st.one_of(
    st.tuples(st.just("run"), st.integers(20, 900)),
    st.tuples(st.just("propose"), st.integers(1, 8)),
    st.tuples(
        st.sampled_from(("crash", "crash_before_sync", "crash_after_sync")),
        st.sampled_from(MEMBER_IDS),
    ),
    st.tuples(st.just("restart"), st.sampled_from(MEMBER_IDS)),
    st.tuples(
        st.sampled_from(("block_inbound", "block_outbound", "isolate")),
        st.sampled_from(MEMBER_IDS),
    ),
    st.tuples(st.sampled_from(("pause", "resume")), st.sampled_from(MEMBER_IDS)),
    st.tuples(st.sampled_from(("transfer", "read")), st.sampled_from(MEMBER_IDS)),
    st.tuples(st.just("heal"), st.just(0)),
)


def perform(simulation: Simulation, action: str, value: Any) -> None:
    """Perform one action of a randomised run."""
    nodes = simulation.nodes
    match action:
        case "run":
            simulation.run(value)
        case "propose":
            for name in [simulation.leader() or next(iter(nodes))] * value:
                simulation.propose(name)
        case "crash_before_sync":
            nodes[value].disk.crash_at_sync = "before"
        case "crash_after_sync":
            nodes[value].disk.crash_at_sync = "after"
        case "block_inbound":
            simulation.isolate(value, outbound=False)
        case "block_outbound":
            simulation.isolate(value, inbound=False)
        case "isolate":
            simulation.isolate(value)
        case "heal":
            simulation.clear_faults()
        case _:
            getattr(simulation, action)(value)


def run_random(run_seed: int, actions: int = 200, members: int = 3) -> Simulation:
    """Run random faults drawn from ``run_seed``; raise on an invariant violation."""
    simulation = Simulation(members, run_seed, rates=(100, 90, 110))
    with simulation:
        simulation.elect()
        rng = simulation.rng
        fault_actions = (
            "crash",
            "crash_before_sync",
            "crash_after_sync",
            "block_inbound",
            "block_outbound",
            "isolate",
            "pause",
            "transfer",
        )
        for position in range(1, actions + 1):
            member_ids = list(simulation.nodes)
            if position % REPLACE_EVERY_ACTIONS == 0:
                simulation.replace(rng.choice(member_ids), f"n{position}")
                member_ids = list(simulation.nodes)
            if rng.randrange(3) == 0:
                simulation.recover()
            perform(simulation, "propose", rng.randint(1, 4))
            simulation.run(rng.randint(1, 700))
            perform(simulation, rng.choice(fault_actions), rng.choice(member_ids))
            perform(simulation, "read", rng.choice(member_ids))
        simulation.converge()
    return simulation


class RandomRunTest(unittest.TestCase):
    @seed(20261203)
    @settings(
        max_examples=40,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(st.integers(0, 1_000), st.lists(ACTIONS, min_size=20, max_size=80))
    def test_no_mix_of_faults_violates_an_invariant(
        self, run_seed: int, actions: list[tuple[str, Any]]
    ) -> None:
        with Simulation(3, run_seed, rates=(90, 100, 110)) as simulation:
            simulation.elect()
            for action, value in actions:
                perform(simulation, action, value)
            simulation.converge()

    def test_thousands_of_steps_with_three_and_five_members(self) -> None:
        for run_seed, members in ((1, 3), (2, 3), (3, 5), (4, 5)):
            with self.subTest(seed=run_seed, members=members):
                simulation = run_random(run_seed, members=members)
                self.assertGreater(simulation.steps, 2_000)
                self.assertGreater(len(simulation.acked), 50)


def save_without_vote(storage: Storage, term: int, vote: str, *rest: Any) -> bool:
    """Save the entries without the vote or the current term."""
    return ORIGINAL_SAVE(storage, max((e.term for e in rest[1]), default=0), "", *rest)


ORIGINAL_SAVE = Storage.save


class InjectedFaultDetectionTest(unittest.TestCase):
    """The simulation detects faults that are injected into the code."""

    def assert_caught(self, detail: str, seed_count: int = 30) -> None:
        failures = []
        for run_seed in range(seed_count):
            try:
                run_random(run_seed, actions=60)
            except InvariantViolationError as error:
                failures.append(str(error))
                if detail in str(error):
                    return
            except AssertionError as error:
                failures.append(str(error))
        self.fail(f"no run of {seed_count} saw {detail!r}, only {failures}")

    def test_votes_that_are_not_synced(self) -> None:
        with mock.patch.object(Storage, "save", save_without_vote):
            self.assert_caught("lead in term")

    def test_commit_without_a_majority(self) -> None:
        with mock.patch.object(RaftState, "commit_quorum", return_value=1):
            self.assert_caught("entry")

    def test_a_lease_longer_than_the_election_timeout(self) -> None:
        path = "foxspring_control.raft.RaftSettings.lease_ms"
        with mock.patch(path, return_value=1_500):
            self.assert_caught("hold a lease")
