"""Usage samples omit the list of running tasks only if the leader has it."""

import random
import unittest

from foxspring_control.service._running_task_lists import RunningTaskLists
from foxspring_entry._usage_samples import USAGE_INTERVAL_MS, UsageSamples
from foxspring_model import UsageBatch, UsageSample

_STEPS = 2_000
_TASKS = 200


def _sample(target_id: str, measured_ms: int, running: list[int]) -> UsageSample:
    tasks = tuple((f"job/{number}", 1) for number in running)
    usage = tuple((task_id, 1, 1) for task_id, _ in tasks)
    return UsageSample(target_id, 1, measured_ms, 0, 0, (), tasks, usage)


class UsageSamplesTest(unittest.TestCase):
    def test_leader_never_uses_a_wrong_list(self) -> None:
        rng = random.Random(11)
        entry, leaders = UsageSamples(1_000), [RunningTaskLists(), RunningTaskLists()]
        running = list(range(_TASKS))
        sent, with_list, completed = 0, 0, 0
        for step in range(_STEPS):
            if rng.random() < 0.05:
                running[rng.randrange(_TASKS)] = step + _TASKS
            expected = _sample("target-1", step, running)
            entry.add(expected)
            leader = step // 500 % 2
            samples = entry.pop_due(f"leader-{leader}", step * USAGE_INTERVAL_MS)
            sent += len(samples)
            with_list += sum(sample.has_running for sample in samples)
            if rng.random() < 0.1:
                continue
            batch = leaders[leader].with_running_lists(UsageBatch("entry-1", samples))
            completed += len(batch.samples)
            for sample in batch.samples:
                self.assertEqual(sample.running, expected.running)
        self.assertEqual(sent, _STEPS)
        self.assertLess(with_list, _STEPS // 5)
        self.assertGreater(completed, _STEPS // 2)

    def test_list_of_another_entry_is_not_used(self) -> None:
        lists = RunningTaskLists()
        full_sample = _sample("target-1", 1, [1])._replace(running_version=5)
        lists.with_running_lists(UsageBatch("entry-1", (full_sample,)))
        without_list = full_sample._replace(running=(), has_running=False)
        for entry_id, version, expected in (
            ("entry-1", 5, 1),
            ("entry-2", 5, 0),
            ("entry-1", 6, 0),
        ):
            with self.subTest(entry=entry_id, version=version):
                sample = without_list._replace(running_version=version)
                batch = lists.with_running_lists(UsageBatch(entry_id, (sample,)))
                self.assertEqual(len(batch.samples), expected)
