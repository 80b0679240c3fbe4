"""Tests of each task state with each event and each kind of reporter."""

import unittest

from foxspring_model import Priority, Task, TaskEvent, TaskKind, TaskState

from foxspring_control.state import StopIntent, TaskRecord
from foxspring_control.state import _task_rules as rules
from foxspring_control.state.tests.builders import SMALL

OWNER = rules.Reporter(owns=True, owner_epoch=3)
NEXT_OWNER = rules.Reporter(owns=True, owner_epoch=4)
FORMER_OWNER = rules.Reporter(owns=False, owner_epoch=4)
EVENTS = ("started", "refused", "finished", "failed", "checkpointed", "stopped", "lost")


def record(state: str, kind: TaskKind = TaskKind.BATCH) -> TaskRecord:
    """Return a task at epoch 5; ``evicting`` and ``cancelling`` are stopping."""
    intent = StopIntent.CANCEL if state == "cancelling" else StopIntent.REQUEUE
    stopping = state in ("evicting", "cancelling")
    actual = TaskState.STOPPING if stopping else TaskState(state)
    placed = actual in (TaskState.STARTING, TaskState.RUNNING, TaskState.STOPPING)
    task = Task("j/0", "j", kind, "pipes", SMALL, Priority.NORMAL, "w", actual, 5)
    return TaskRecord(task._replace(target_id="t" if placed else ""), intent, 3)


def after(
    state: str, kind: str, reporter: rules.Reporter = OWNER, epoch: int = 5
) -> str:
    """Return the state after an event, with the state names of ``record``."""
    happened = TaskEvent("j/0", epoch, "t", kind, checkpoint="c9", result="r")
    result = rules.apply_event(record(state), happened, reporter, 7)
    if result.task.state is TaskState.STOPPING:
        return "cancelling" if result.intent is StopIntent.CANCEL else "evicting"
    return str(result.task.state)


class EventTest(unittest.TestCase):
    def test_every_state_with_every_event_of_the_owner(self) -> None:
        table = {
            "starting": "running queued finished queued starting queued queued",
            "running": "running running finished queued running queued queued",
            "evicting": "evicting queued finished queued evicting queued queued",
            "cancelling": (
                "cancelling cancelled cancelled cancelled"
                " cancelling cancelled cancelled"
            ),
            "queued": "queued queued finished queued queued queued queued",
            "finished": "finished " * 7,
            "failed": "failed " * 7,
            "cancelled": "cancelled " * 7,
        }
        for state, outcomes in table.items():
            for kind, expected in zip(EVENTS, outcomes.split(), strict=True):
                with self.subTest(state=state, event=kind):
                    self.assertEqual(after(state, kind), expected)

    def test_a_late_stop_of_a_queued_task_keeps_its_checkpoint(self) -> None:
        cases = ((5, "stopped", "c9"), (4, "stopped", ""), (5, "lost", ""))
        for epoch, kind, checkpoint in cases:
            with self.subTest(epoch=epoch, event=kind):
                late = TaskEvent("j/0", epoch, "t", kind, checkpoint="c9")
                result = rules.apply_event(record("queued"), late, OWNER, 7)
                self.assertEqual(result.task.checkpoint, checkpoint)
                self.assertIs(result.task.state, TaskState.QUEUED)

    def test_an_event_of_another_epoch_or_target_changes_nothing(self) -> None:
        for state in ("starting", "running", "evicting", "cancelling"):
            for kind in EVENTS:
                with self.subTest(state=state, event=kind):
                    held = record(state)
                    for happened in (
                        TaskEvent("j/0", 4, "t", kind, "c"),
                        TaskEvent("j/0", 6, "t", kind, "c"),
                        TaskEvent("j/0", 5, "elsewhere", kind, "c"),
                    ):
                        self.assertEqual(
                            rules.apply_event(held, happened, OWNER, 7), held
                        )

    def test_an_end_reported_after_an_owner_change_has_to_be_confirmed(self) -> None:
        cases = (
            ("starting", "refused", NEXT_OWNER, "evicting"),
            ("starting", "refused", FORMER_OWNER, "evicting"),
            ("running", "stopped", FORMER_OWNER, "evicting"),
            ("running", "lost", FORMER_OWNER, "evicting"),
            ("cancelling", "stopped", FORMER_OWNER, "cancelling"),
            ("cancelling", "refused", NEXT_OWNER, "cancelling"),
            ("evicting", "lost", FORMER_OWNER, "evicting"),
            ("running", "lost", NEXT_OWNER, "queued"),
            ("running", "finished", FORMER_OWNER, "finished"),
        )
        for state, kind, reporter, expected in cases:
            with self.subTest(state=state, event=kind):
                self.assertEqual(after(state, kind, reporter), expected)

    def test_a_replica_that_exits_is_queued_again(self) -> None:
        held = record("running", TaskKind.SERVICE)
        happened = TaskEvent("j/0", 5, "t", "finished")
        again = rules.apply_event(held, happened, OWNER, 7).task
        self.assertEqual((again.state, again.attempts), (TaskState.QUEUED, 1))


class TaskLifecycleTest(unittest.TestCase):
    def test_an_eviction_is_resumed_once_even_if_its_placements_are_refused(
        self,
    ) -> None:
        held = rules.evict(record("running"), 5, "noisy", 1)
        stopped = TaskEvent("j/0", 5, "t", "stopped", checkpoint="c1")
        held = rules.apply_event(held, stopped, OWNER, 2)
        for epoch in (6, 7, 8):
            placed = rules.place(held, "t", epoch, 3, 3)
            self.assertIsNotNone(placed)
            refused = TaskEvent("j/0", epoch, "t", "refused")
            held = rules.apply_event(placed or held, refused, OWNER, 4)
        task = held.task
        self.assertEqual((task.evictions, task.resumed), (1, 1))
        self.assertEqual(task.checkpoint, "c1")

    def test_a_cancelled_task_is_never_placed_again(self) -> None:
        for state in ("queued", "starting", "running", "evicting"):
            with self.subTest(state=state):
                held = rules.cancel(record(state), 1)
                epoch = held.task.epoch
                held = rules.evict(held, epoch, "noisy", 2)
                lost = TaskEvent("j/0", epoch, "t", "lost")
                held = rules.apply_event(held, lost, OWNER, 3)
                self.assertIs(held.task.state, TaskState.CANCELLED)
                self.assertIsNone(rules.place(held, "t", epoch + 1, 3, 4))

    def test_only_a_queued_task_is_placed_and_only_at_its_next_epoch(self) -> None:
        cases = [(state, 6) for state in ("starting", "running", "evicting")]
        cases += [("finished", 6), ("queued", 5), ("queued", 7)]
        for state, epoch in cases:
            with self.subTest(state=state, epoch=epoch):
                self.assertIsNone(rules.place(record(state), "t", epoch, 3, 1))
        self.assertIsNotNone(rules.place(record("queued"), "t", 6, 3, 1))

    def test_only_queued_batch_tasks_can_fail_as_unplaceable(self) -> None:
        failed = rules.fail_unplaceable(record("queued"), "never fits", 1).task
        self.assertEqual((failed.state, failed.reason), ("failed", "never fits"))
        for held in (record("running"), record("queued", TaskKind.SERVICE)):
            self.assertEqual(rules.fail_unplaceable(held, "x", 1), held)
