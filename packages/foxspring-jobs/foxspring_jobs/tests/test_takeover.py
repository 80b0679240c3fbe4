"""A leader can begin from every state that commands can produce."""

import random
import unittest

from foxspring_jobs._commands import RunKey, TaskKey, decode_command, encode_command
from foxspring_jobs._orders import ReportedEnd
from foxspring_jobs._snapshot import decode_state, encode_state
from foxspring_jobs._state import EndKind, State
from foxspring_jobs.tests.fake_cluster import FakeCluster
from foxspring_jobs.tests.fake_target import LONG_RUNNING_MS, FakeRun, FakeTarget
from foxspring_jobs.tests.random_states import RandomStates, in_older_shape

LOGGER = "foxspring_jobs"
SEEDS = range(25)
COMMANDS = 150
TAKEOVER_PROBABILITY = 0.03
RESTART_PROBABILITY = 0.2
LED_MS = 1_500
UNKNOWN_RUN = RunKey(TaskKey("ffffffffffffffff", 9, 9, 9), 9)


def lead(test: unittest.TestCase, state: State, rng: random.Random) -> None:
    """Let a leader begin from a state and lead for a while."""
    cluster = FakeCluster()
    cluster.committed = state
    for target in list(state.targets.values()):
        fake = cluster.add(target.registered)
        fake.alive = rng.random() < 0.8
        fake.replies = rng.random() < 0.8
        fake.fails = rng.random() < 0.3
        for run in target.runs:
            put(fake, run, rng)
        if state.jobs and rng.random() < 0.1:
            # No job has so many steps.
            key = TaskKey(rng.choice(list(state.jobs)), 0, 9, 0)
            fake.ends += 1
            kind = rng.choice(list(EndKind)).value
            fake.finished.append(ReportedEnd(fake.ends, RunKey(key, 1), kind, ""))
        if rng.random() < 0.1:
            fake.running[UNKNOWN_RUN] = FakeRun(fake.now() + LONG_RUNNING_MS, "done")
    with test.assertNoLogs(LOGGER, "ERROR"):
        cluster.change_leader()
        cluster.run(LED_MS)


def put(target: FakeTarget, run: RunKey, rng: random.Random) -> None:
    """Let a run be at work on a target, or over, or let the target not know it."""
    kind = rng.choice(list(EndKind)).value
    match rng.randrange(3):
        case 0:
            target.running[run] = FakeRun(target.now() + rng.randint(0, 3_000), kind)
        case 1:
            target.ends += 1
            target.finished.append(ReportedEnd(target.ends, run, kind, "saved"))
        case _:
            pass


class TakeoverTest(unittest.TestCase):
    # Issue 55: a state that no member can take over is an outage without end.
    def test_every_state_that_commands_produce_can_be_taken_over(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.play(seed)

    def play(self, seed: int) -> None:
        states = RandomStates(seed)
        rng = random.Random(seed)
        for _ in range(COMMANDS):
            kind, body = encode_command(states.command())
            states.apply(decode_command(kind, body))
            if rng.random() < TAKEOVER_PROBABILITY:
                self.take_over(states.state, rng)
        self.take_over(states.state, rng)

    # Members that restart at different entries would differ for good.
    def test_state_read_from_a_snapshot_changes_as_the_one_it_was_taken_of(
        self,
    ) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.compare_replicas(seed)

    def compare_replicas(self, seed: int) -> None:
        states = RandomStates(seed)
        rng = random.Random(seed)
        replica, _ = decode_state(encode_state(states.state, 0))
        for _ in range(COMMANDS):
            command = states.command()
            states.apply(command)
            replica.apply(command, states.at_ms)
            data = encode_state(states.state, 0)
            self.assertEqual(encode_state(replica, 0), data)
            if rng.random() < RESTART_PROBABILITY:
                replica, _ = decode_state(data)

    def take_over(self, state: State, rng: random.Random) -> None:
        data = encode_state(state, 0)
        copy, _ = decode_state(data)
        self.assertEqual(encode_state(copy, 0), data)
        lead(self, copy, rng)
        older, _ = decode_state(in_older_shape(data, rng))
        lead(self, older, rng)


if __name__ == "__main__":
    unittest.main()
