"""The tasks of a stand-in target, which has no admission control."""

import threading

from foxspring_model import (
    Clock,
    RenewAnswerBody,
    RenewBody,
    ReportAnswerBody,
    StartTaskBody,
    StopTaskBody,
    TaskStatusBody,
    ThrottleBody,
)

from foxspring_testing._behaviour import Behaviour
from foxspring_testing._events import EventWriter
from foxspring_testing._task_run import TaskRun

TaskKey = tuple[str, int]


class TaskTable:
    """Runs, renews, throttles and stops tasks; thread-safe.

    The target's clock is ``clock_offset_ms`` ahead of the machine's clock, so
    that a system which mixes up the two clocks fails its tests.
    """

    def __init__(self, clock: Clock, clock_offset_ms: int, events: EventWriter) -> None:
        self._clock = clock
        self._offset_ms = clock_offset_ms
        self._events = events
        self._lock = threading.Lock()
        self._tasks: dict[TaskKey, TaskRun] = {}
        self.behaviour = Behaviour()

    def target_ms(self) -> int:
        """Return the time of the target's own clock."""
        return self._clock.monotonic_ms() + self._offset_ms

    def start(self, body: StartTaskBody) -> TaskStatusBody | None:
        """Start a task and return its status; repeated starts have no effect.

        Returns None for a start that arrives after the end of its lease.
        """
        with self._lock:
            key = (body["task_id"], body["epoch"])
            task = self._tasks.get(key)
            if task is None:
                if body["lease_until_ms"] <= self.target_ms():
                    return None
                task = self._begin(body)
                self._tasks[key] = task
            self._advance(task)
            return task.status(self.behaviour.lie_memory)

    def renew(self, body: RenewBody) -> RenewAnswerBody:
        """Renew the leases of running tasks; return those that are not running."""
        unknown: list[tuple[str, int]] = []
        with self._lock:
            for task_id, epoch in body["tasks"]:
                task = self._tasks.get((task_id, epoch))
                if task is not None:
                    self._advance(task)
                if task is None or not task.running:
                    unknown.append((task_id, epoch))
                    continue
                task.renew(body["lease_until_ms"])
        return RenewAnswerBody(unknown=unknown, target_ms=self.target_ms())

    def stop(self, body: StopTaskBody) -> TaskStatusBody | None:
        """Stop a task and return its final status; None if it is unknown."""
        with self._lock:
            task = self._tasks.get((body["task_id"], body["epoch"]))
            if task is None:
                return None
            self._advance(task)
            if task.running:
                task.stop(body["checkpoint"], self.target_ms())
                self._record_end(task)
            return task.status(self.behaviour.lie_memory)

    def throttle(self, body: ThrottleBody) -> TaskStatusBody | None:
        """Set a task's speed and return its status; None if it is unknown."""
        with self._lock:
            task = self._tasks.get((body["task_id"], body["epoch"]))
            if task is None:
                return None
            task.throttle(body["percent"], self.target_ms())
            return task.status(self.behaviour.lie_memory)

    def advance(self) -> None:
        """Advance every task to the current time."""
        with self._lock:
            for task in self._tasks.values():
                self._advance(task)

    def statuses(self) -> list[TaskStatusBody]:
        """Return the status of every task; ended ones are included until acked."""
        with self._lock:
            return [
                task.status(self.behaviour.lie_memory) for task in self._tasks.values()
            ]

    def remove_acked(self, answer: ReportAnswerBody) -> None:
        """Remove the ended tasks that a report's answer acknowledges."""
        with self._lock:
            for task_id, epoch in answer["acked"]:
                task = self._tasks.get((str(task_id), int(epoch)))
                if task is not None and not task.running:
                    del self._tasks[(task.task_id, task.epoch)]
                    self._events.write(
                        "task_acked",
                        run=task.run,
                        task_id=task.task_id,
                        epoch=task.epoch,
                    )

    def _begin(self, body: StartTaskBody) -> TaskRun:
        task = TaskRun(body, self._events.next_run(), self.target_ms())
        task.fails = self.behaviour.fail_tasks and not task.service
        task.hung = self.behaviour.hang
        self._events.write(
            "task_started",
            run=task.run,
            task_id=task.task_id,
            epoch=task.epoch,
            work_ms=int(task.progress_ms),
            slots=task.resources["slots"],
            memory_mb=task.resources["memory_mb"],
            cores_milli=task.resources["cores_milli"],
            accelerators=task.resources["accelerators"],
            detail=task.service,
        )
        return task

    def _advance(self, task: TaskRun) -> None:
        was_running = task.running
        task.advance(self.target_ms())
        if was_running and not task.running:
            self._record_end(task)

    def _record_end(self, task: TaskRun) -> None:
        self._events.write(
            "task_ended",
            at_ms=task.ended_ms - self._offset_ms,
            run=task.run,
            task_id=task.task_id,
            epoch=task.epoch,
            work_ms=int(task.progress_ms),
            checkpoint_ms=int(task.checkpoint or 0),
            detail=task.state,
        )
