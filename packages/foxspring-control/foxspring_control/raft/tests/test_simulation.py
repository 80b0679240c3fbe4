"""Long randomised runs: the promises of the log under any mix of faults."""

import unittest
from typing import Any
from unittest import mock

from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

from foxspring_control.raft._state import RaftState
from foxspring_control.raft._storage import Storage
from foxspring_control.raft.tests.simulation import BrokenPromiseError, Simulation

REPLACE_EVERY = 50
NAMES = ("m1", "m2", "m3")
ACTIONS = st.one_of(
    st.tuples(st.just("run"), st.integers(20, 900)),
    st.tuples(st.just("propose"), st.integers(1, 8)),
    st.tuples(st.sampled_from(("crash", "tear", "lose")), st.sampled_from(NAMES)),
    st.tuples(st.just("restart"), st.sampled_from(NAMES)),
    st.tuples(st.sampled_from(("deaf", "mute", "cut")), st.sampled_from(NAMES)),
    st.tuples(st.sampled_from(("pause", "resume")), st.sampled_from(NAMES)),
    st.tuples(st.sampled_from(("transfer", "read")), st.sampled_from(NAMES)),
    st.tuples(st.just("heal"), st.just(0)),
)


def act(simulation: Simulation, action: str, value: Any) -> None:
    """Carry out one action of a randomised run."""
    nodes = simulation.nodes
    match action:
        case "run":
            simulation.run(value)
        case "propose":
            for name in [simulation.leader() or next(iter(nodes))] * value:
                simulation.propose(name)
        case "tear":
            nodes[value].disk.crash_at_sync = "before"
        case "lose":
            nodes[value].disk.crash_at_sync = "after"
        case "deaf":
            simulation.isolate(value, outbound=False)
        case "mute":
            simulation.isolate(value, inbound=False)
        case "cut":
            simulation.isolate(value)
        case "heal":
            simulation.heal()
        case _:
            getattr(simulation, action)(value)


def run_random(run_seed: int, actions: int = 200, members: int = 3) -> Simulation:
    """Run a mix of faults drawn from ``run_seed``; raise on a broken promise."""
    simulation = Simulation(members, run_seed, rates=(100, 90, 110))
    with simulation:
        simulation.elect()
        draw = simulation.chance
        kinds = ("crash", "tear", "lose", "deaf", "mute", "cut", "pause", "transfer")
        for position in range(1, actions + 1):
            names = list(simulation.nodes)
            if position % REPLACE_EVERY == 0:
                simulation.replace(draw.choice(names), f"n{position}")
                names = list(simulation.nodes)
            if draw.randrange(3) == 0:
                simulation.recover()
            act(simulation, "propose", draw.randint(1, 4))
            simulation.run(draw.randint(1, 700))
            act(simulation, draw.choice(kinds), draw.choice(names))
            act(simulation, "read", draw.choice(names))
        simulation.settle()
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
    def test_no_mix_of_faults_breaks_a_promise(
        self, run_seed: int, actions: list[tuple[str, Any]]
    ) -> None:
        with Simulation(3, run_seed, rates=(90, 100, 110)) as simulation:
            simulation.elect()
            for action, value in actions:
                act(simulation, action, value)
            simulation.settle()

    def test_thousands_of_steps_with_three_and_five_members(self) -> None:
        for run_seed, members in ((1, 3), (2, 3), (3, 5), (4, 5)):
            with self.subTest(seed=run_seed, members=members):
                simulation = run_random(run_seed, members=members)
                self.assertGreater(simulation.steps, 2_000)
                self.assertGreater(len(simulation.acked), 50)


def forget_votes(storage: Storage, term: int, vote: str, *rest: Any) -> bool:
    """Save the entries but neither the term nor the vote."""
    return SAVE(storage, max((e.term for e in rest[1]), default=0), "", *rest)


SAVE = Storage.save


class BrokenOnPurposeTest(unittest.TestCase):
    """Each deliberate fault in the program is seen by the checks."""

    def assert_caught(self, detail: str, tries: int = 30) -> None:
        seen = []
        for run_seed in range(tries):
            try:
                run_random(run_seed, actions=60)
            except BrokenPromiseError as error:
                seen.append(str(error))
                if detail in str(error):
                    return
            except AssertionError as error:
                seen.append(str(error))
        self.fail(f"no run of {tries} saw {detail!r}, only {seen}")

    def test_votes_that_are_not_synced(self) -> None:
        with mock.patch.object(Storage, "save", forget_votes):
            self.assert_caught("lead in term")

    def test_commit_without_a_majority(self) -> None:
        with mock.patch.object(RaftState, "commit_quorum", return_value=1):
            self.assert_caught("entry")

    def test_a_lease_longer_than_the_promise_it_rests_on(self) -> None:
        path = "foxspring_control.raft.RaftSettings.lease_ms"
        with mock.patch(path, return_value=1_500):
            self.assert_caught("hold a lease")
