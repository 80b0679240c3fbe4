"""Property-based tests with generated inputs, and a wave of cancellations."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from foxspring_model import Priority, Resources, Task, TaskState
from foxspring_model.scheduling import Scheduler, SchedulerSettings
from foxspring_model.scheduling._fit_tree import FitTree
from foxspring_model.scheduling.tests.builders import (
    a_configuration,
    a_target,
    a_task,
)
from foxspring_model.scheduling.tests.consistency import count_mismatches

AMOUNTS = st.builds(
    Resources,
    st.integers(0, 3),
    st.just(0),
    st.integers(0, 4),
    st.integers(0, 4),
    st.integers(0, 1),
)
PUTS = st.lists(
    st.tuples(st.integers(0, 20), st.one_of(st.none(), AMOUNTS, st.just("remove"))),
    max_size=60,
)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ("queue", "decide", "start", "run", "stop", "fail", "cancel", "lose", "add")
        ),
        st.integers(0, 9),
    ),
    max_size=80,
)


class FitTreeProperty(unittest.TestCase):
    @settings(max_examples=150, deadline=None, derandomize=True, database=None)
    @given(PUTS, AMOUNTS, st.floats(0, 0.99))
    def test_finds_what_a_full_scan_finds(
        self, puts: list[tuple[int, object]], need: Resources, start: float
    ) -> None:
        tree = FitTree()
        expected: dict[str, Resources | None] = {}
        for number, free in puts:
            name = f"t{number}"
            if free == "remove":
                tree.remove(name)
                expected.pop(name, None)
            else:
                amount = free if isinstance(free, Resources) else None
                tree.put(name, amount)
                expected[name] = amount
        fitting = {n for n, free in expected.items() if free and need.fits_in(free)}
        self.assertEqual(fitting, set(tree.find(need, start, 100, 10_000)))
        one = tree.find(need, start, 1, 10_000)
        self.assertEqual(bool(fitting), bool(one))
        self.assertLessEqual(set(one), fitting)


class ReplicatedLog:
    """Applies generated steps to a scheduler like the replicated log."""

    def __init__(self) -> None:
        self.scheduler = Scheduler(SchedulerSettings())
        self.scheduler.set_configuration(a_configuration())
        self.tasks: dict[int, Task] = {}
        self.now_ms = 0
        for number in range(3):
            self.scheduler.upsert_target(a_target(number), False)

    def step(self, kind: str, number: int) -> None:
        self.now_ms += 100
        task = self.tasks.get(number)
        if kind == "decide":
            self.decide()
        elif kind == "lose":
            self.scheduler.remove_target(f"t{number % 3}")
        elif kind == "add":
            self.scheduler.upsert_target(a_target(number % 3), False)
        elif kind == "queue" and task is None:
            priority = list(Priority)[number % 3]
            self.put(number, a_task(number, f"j{number}", priority=priority))
        elif task is not None:
            self.change(kind, number, task)

    def change(self, kind: str, number: int, task: Task) -> None:
        placed = task.state in (TaskState.STARTING, TaskState.RUNNING)
        if kind == "run" and task.state is TaskState.STARTING:
            self.put(number, task._replace(state=TaskState.RUNNING))
        elif kind == "stop" and placed:
            self.put(number, task._replace(state=TaskState.STOPPING))
        elif kind == "fail" and placed:
            failed = task._replace(
                state=TaskState.QUEUED,
                target_id="",
                attempts=task.attempts + 1,
                failed_targets=(*task.failed_targets, task.target_id),
            )
            self.put(number, failed)
        elif kind == "start" and task.state is TaskState.STOPPING:
            queued = task._replace(state=TaskState.QUEUED, target_id="")
            self.put(number, queued._replace(evictions=task.evictions + 1))
        elif kind == "cancel":
            self.put(number, task._replace(state=TaskState.CANCELLED, target_id=""))
            del self.tasks[number]

    def put(self, number: int, task: Task) -> None:
        self.tasks[number] = task
        self.scheduler.upsert_task(task, self.now_ms)
        self.scheduler.upsert_task(task, self.now_ms)

    def decide(self) -> None:
        for placement in self.scheduler.decide(self.now_ms).placements:
            number = int(placement.task_id.rpartition("/")[2])
            task = self.tasks[number]
            assert task.state is TaskState.QUEUED and placement.epoch == task.epoch + 1
            if number % 4:
                resumed = task.resumed + (task.evictions > task.resumed)
                placed = task._replace(
                    state=TaskState.STARTING,
                    epoch=placement.epoch,
                    target_id=placement.target_id,
                    resumed=resumed,
                )
                self.put(number, placed)


class SchedulerProperty(unittest.TestCase):
    @settings(max_examples=150, deadline=None, derandomize=True, database=None)
    @given(STEPS)
    def test_any_order_of_changes_keeps_every_count(
        self, steps: list[tuple[str, int]]
    ) -> None:
        log = ReplicatedLog()
        for kind, number in steps:
            log.step(kind, number)
            self.assertEqual([], count_mismatches(log.scheduler), (kind, number))


class CancellationTest(unittest.TestCase):
    def test_ten_thousand_cancellations_leave_nothing(self) -> None:
        scheduler = Scheduler(SchedulerSettings())
        scheduler.set_configuration(a_configuration())
        for number in range(200):
            scheduler.upsert_target(a_target(number), False)
        tasks = [a_task(number, "wave") for number in range(10_000)]
        for task in tasks:
            scheduler.upsert_task(task, 0)
        first = {each.task_id: each for each in scheduler.decide(1).placements}
        for task in tasks:
            placement = first.get(task.task_id)
            epoch = placement.epoch if placement else 0
            ended = task._replace(state=TaskState.CANCELLED, epoch=epoch)
            scheduler.upsert_task(ended, 2)
        scheduler.upsert_task(a_task(0, "next"), 3)
        placed = [each.task_id for each in scheduler.decide(3).placements]
        self.assertEqual(["next/0"], placed)
        self.assertEqual([], count_mismatches(scheduler))
        self.assertEqual({"next/0"}, set(scheduler.site.task_table.records))
