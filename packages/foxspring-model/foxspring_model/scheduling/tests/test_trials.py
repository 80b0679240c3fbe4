"""Tasks of an unknown work class are added gradually to targets with services."""

import unittest

from foxspring_model import Resources, TaskState, UsageSample
from foxspring_model.scheduling import Scheduler, SchedulerSettings
from foxspring_model.scheduling.tests.builders import (
    a_configuration,
    a_replica,
    a_target,
    a_task,
)

_TASKS = 12
_SMALL = Resources(memory_mb=1, cores_milli=1)
_ROUND_MS = 500
_OBJECTIVE_US = 100_000


def _placed_after(rounds: int, p99_us: int, requests: int) -> int:
    """Place tasks on one target with a replica and return how many run there."""
    scheduler = Scheduler(SchedulerSettings(starting_per_target=64))
    scheduler.set_configuration(a_configuration())
    scheduler.upsert_target(a_target(), False)
    replica = a_replica()._replace(state=TaskState.RUNNING, epoch=1, target_id="t0")
    scheduler.upsert_task(replica, 0)
    tasks = {}
    for number in range(_TASKS):
        task = a_task(number, resources=_SMALL)
        tasks[task.task_id] = task
        scheduler.upsert_task(task, 0)
    for number in range(rounds):
        now_ms = number * _ROUND_MS
        for placement in scheduler.decide(now_ms).placements:
            running = tasks[placement.task_id]._replace(
                state=TaskState.RUNNING,
                epoch=placement.epoch,
                target_id=placement.target_id,
            )
            tasks[placement.task_id] = running
            scheduler.upsert_task(running, now_ms)
        latencies = (("register", p99_us // 2, p99_us, requests),) if requests else ()
        running_ids = tuple((t.task_id, t.epoch) for t in tasks.values() if t.target_id)
        sample = UsageSample("t0", 1, now_ms + 1, 0, 0, latencies, running_ids)
        scheduler.record_sample(sample, now_ms + 1)
    return sum(1 for task in tasks.values() if task.target_id)


class TrialsTest(unittest.TestCase):
    def test_number_of_tasks_of_an_unknown_class(self) -> None:
        cases = [
            ("one task at first", 1, 0, 0, 1),
            ("no limit with idle services", 6, 0, 0, _TASKS),
            ("little traffic without pressure", 200, _OBJECTIVE_US // 10, 3, _TASKS),
            ("one task under pressure", 6, 3 * _OBJECTIVE_US, 50, 1),
        ]
        for name, rounds, p99_us, requests, expected in cases:
            with self.subTest(name):
                self.assertEqual(_placed_after(rounds, p99_us, requests), expected)

    def test_pressure_is_detected_with_little_traffic(self) -> None:
        self.assertLess(_placed_after(20, 3 * _OBJECTIVE_US, 5), _TASKS)
