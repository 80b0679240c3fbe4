"""The tasks of one owned target: starts, leases, stops and what became of them."""

import msgspec
from foxspring_model import (
    CHECKS,
    Invariant,
    Resources,
    ResourcesBody,
    RunTask,
    StartTaskBody,
    StopTask,
    StopTaskBody,
    TaskEvent,
    TaskStatusBody,
    ThrottleBody,
    ThrottleTask,
)

from foxspring_entry._ledger import HoldKind, TargetLedger
from foxspring_entry._task_state import (
    EndedTask,
    OwnedTask,
    TargetClock,
    TaskCall,
    TaskCallKind,
    TaskPhase,
)

RETRY_CALL_MS = 300
STOP_LIMIT_MS = 60_000
ENDED_KEPT_MS = 120_000
READING_MAX_AGE_MS = 2_500

_EVENT_OF_STATE = {
    "finished": "finished",
    "failed": "failed",
    "stopped": "stopped",
    "expired": "lost",
}


def hold_id(task_id: str) -> str:
    """Return the ledger's id of a task."""
    return f"task:{task_id}"


class TargetTasks:
    """Tasks that hold a part of one target, and those that ended lately.

    Every method takes the owner's clock as ``now_ms``. Events gather in
    ``events`` until the owner takes them.
    """

    def __init__(self, ledger: TargetLedger, lease_ms: int) -> None:
        self.ledger = ledger
        self.lease_ms = lease_ms
        self.tasks: dict[str, OwnedTask] = {}
        self.ended: dict[str, EndedTask] = {}
        self.events: list[TaskEvent] = []
        self.strays: dict[str, int] = {}
        self.throttles: dict[str, ThrottleTask] = {}

    def offer(self, run: RunTask, refusal: str, now_ms: int) -> None:
        """Take on a task offered by control, or refuse it.

        ``refusal`` says why the target takes nothing new, empty if it does.
        An offer that was made before is answered as it was then.
        """
        if self._answer_again(run, now_ms):
            return
        if not refusal and any(task.run is None for task in self.tasks.values()):
            refusal = "sizes of tasks that the last owner started are not known yet"
        room = not refusal and self.ledger.admit(
            hold_id(run.task_id), HoldKind.TASK, run.resources
        )
        if not room:
            detail = refusal or f"no room; free is {self.ledger.free}"
            self._end(run.task_id, run.epoch, "refused", now_ms, detail)
            return
        self.tasks[run.task_id] = OwnedTask(
            run.task_id,
            run.epoch,
            TaskPhase.STARTING,
            run.resources,
            run,
            next_call_ms=now_ms,
            checkpoint=run.checkpoint,
        )

    def stop(self, stop: StopTask, surely_absent: bool, now_ms: int) -> None:
        """Begin to stop a task; ``surely_absent`` if the target lacks it."""
        task = self.tasks.get(stop.task_id)
        if task is not None and task.epoch == stop.epoch:
            self._begin_stop(task, stop, now_ms)
            return
        ended = self.ended.get(stop.task_id)
        if ended is not None and ended.event.epoch >= stop.epoch:
            if ended.event.epoch == stop.epoch:
                self.events.append(ended.event)
            return
        if surely_absent and task is None:
            self._end(stop.task_id, stop.epoch, "stopped", now_ms)

    def throttle(self, throttle: ThrottleTask) -> None:
        """Set a running task's processor share at the next call."""
        task = self.tasks.get(throttle.task_id)
        if task is not None and task.epoch == throttle.epoch:
            self.throttles[throttle.task_id] = throttle

    def next_calls(self, clock: TargetClock, room: int, now_ms: int) -> list[TaskCall]:
        """Return at most ``room`` calls that are due."""
        calls: list[TaskCall] = []
        for task in list(self.tasks.values()):
            if len(calls) >= room:
                return calls
            if task.calling or now_ms < task.next_call_ms:
                continue
            call = self._call_for(task, clock, now_ms)
            if call is not None:
                calls.append(call)
        calls.extend(self._stray_calls(room - len(calls)))
        return calls

    def on_start(
        self, call: TaskCall, status: int | None, sent: bool, now: int
    ) -> None:
        """Take the answer to a start; ``status`` is ``None`` without one.

        ``sent`` is false when no byte of the call left for the target.
        """
        task = self._current(call)
        if task is None:
            return
        self.tasks[task.task_id] = task._replace(
            calling=False,
            next_call_ms=now + RETRY_CALL_MS,
            maybe_sent=task.maybe_sent or sent,
        )
        if task.phase is not TaskPhase.STARTING:
            return
        if status is not None and 200 <= status < 300:
            self._mark_running(task.task_id)
        elif status is not None and 400 <= status < 500:
            kind = "refused" if status in (409, 429) else "failed"
            self._end(task.task_id, task.epoch, kind, now, f"target answered {status}")
        elif not sent and not task.maybe_sent:
            self._end(task.task_id, task.epoch, "refused", now, "target unreachable")

    def on_stop(self, call: TaskCall, status: TaskStatusBody | None, now: int) -> None:
        """Take the answer to a stop: the task's last status, or ``None``."""
        if self.strays.get(call.task_id) == call.epoch:
            del self.strays[call.task_id]
        task = self._current(call)
        if task is None:
            return
        self.tasks[task.task_id] = task._replace(
            calling=False, next_call_ms=now + RETRY_CALL_MS
        )
        if status is not None:
            self._apply_status(status, now)

    def renewals(self, now_ms: int) -> list[OwnedTask]:
        """Return the tasks whose leases go on."""
        return [
            task
            for task in self.tasks.values()
            if task.phase is TaskPhase.RUNNING
            or (task.phase is TaskPhase.STOPPING and now_ms < task.stop_by_ms)
        ]

    def note_renewal_sent(self, tasks: list[OwnedTask], lease_end_ms: int) -> None:
        """Count the leases from when their renewal was sent."""
        for renewed in tasks:
            task = self.tasks.get(renewed.task_id)
            if task is not None and task.epoch == renewed.epoch:
                end_ms = max(task.lease_end_ms, lease_end_ms)
                self.tasks[task.task_id] = task._replace(lease_end_ms=end_ms)

    def note_unknown(self, task_id: str, epoch: int, reading_ms: int) -> None:
        """Note that the target answered not to run a task.

        It may have ended with a result, so the next report decides.
        """
        task = self.tasks.get(task_id)
        if task is not None and task.epoch == epoch and task.missing_ms is None:
            self.tasks[task_id] = task._replace(missing_ms=reading_ms)

    def on_report(
        self, statuses: list[TaskStatusBody], taken_ms: int, now_ms: int
    ) -> None:
        """Take the tasks of a report taken at the target's ``taken_ms``."""
        for status in statuses:
            self._apply_status(status, now_ms)
        listed = {(status["task_id"], status["epoch"]) for status in statuses}
        for task in list(self.tasks.values()):
            if task.missing_ms is None or taken_ms < task.missing_ms:
                continue
            if (task.task_id, task.epoch) in listed:
                self.tasks[task.task_id] = task._replace(missing_ms=None)
                continue
            detail = "target does not run it"
            self._end(task.task_id, task.epoch, "lost", now_ms, detail)

    def expire(self, now_ms: int) -> None:
        """End tasks whose leases have surely ended; forget old endings."""
        for task in list(self.tasks.values()):
            if task.lease_end_ms and now_ms >= task.lease_end_ms:
                self._end(task.task_id, task.epoch, "lost", now_ms, "lease ended")
        for task_id, ended in list(self.ended.items()):
            if ended.committed and now_ms - ended.ended_ms > ENDED_KEPT_MS:
                del self.ended[task_id]

    def end_all(self, detail: str, now_ms: int) -> None:
        """End every task because the target's process has started anew."""
        for task in list(self.tasks.values()):
            self._end(task.task_id, task.epoch, "lost", now_ms, detail)

    def commit(self, event: TaskEvent) -> None:
        """Note that the replicated log has an event."""
        ended = self.ended.get(event.task_id)
        if ended is not None and ended.event == event:
            self.ended[event.task_id] = ended._replace(committed=True)

    def acknowledged(self, statuses: list[TaskStatusBody]) -> list[list[str | int]]:
        """Return the reported endings that the target may forget."""
        return [
            [status["task_id"], status["epoch"]]
            for status in statuses
            if status["state"] != "running" and self._is_committed(status)
        ]

    def take_events(self) -> list[TaskEvent]:
        """Return the events since the last call."""
        events, self.events = self.events, []
        return events

    def _answer_again(self, run: RunTask, now_ms: int) -> bool:
        ended = self.ended.get(run.task_id)
        if ended is not None and ended.event.epoch >= run.epoch:
            if ended.event.epoch == run.epoch:
                self.events.append(ended.event)
            return True
        task = self.tasks.get(run.task_id)
        if task is None:
            return False
        if task.epoch < run.epoch:
            detail = f"epoch {task.epoch} still holds its place"
            event = self._emit(run.task_id, run.epoch, "refused", detail=detail)
            self.ended[run.task_id] = EndedTask(event, now_ms)
        elif task.epoch == run.epoch:
            self._know_again(task, run)
        return True

    def _know_again(self, task: OwnedTask, run: RunTask) -> None:
        if task.run is None:
            self.ledger.release(hold_id(task.task_id))
            self.ledger.inherit(hold_id(task.task_id), HoldKind.TASK, run.resources)
            self.tasks[task.task_id] = task._replace(resources=run.resources, run=run)
        if task.phase is TaskPhase.RUNNING:
            self._emit(task.task_id, task.epoch, "started")

    def _begin_stop(self, task: OwnedTask, stop: StopTask, now_ms: int) -> None:
        if not task.maybe_sent and not task.calling:
            self._end(task.task_id, task.epoch, "stopped", now_ms, "never sent")
            return
        if task.phase is TaskPhase.STOPPING:
            return
        self.tasks[task.task_id] = task._replace(
            phase=TaskPhase.STOPPING,
            save_checkpoint=stop.checkpoint,
            next_call_ms=now_ms,
            stop_by_ms=now_ms + STOP_LIMIT_MS,
        )

    def _call_for(
        self, task: OwnedTask, clock: TargetClock, now_ms: int
    ) -> TaskCall | None:
        if task.phase is TaskPhase.STARTING:
            return self._start_call(task, clock, now_ms)
        if task.phase is TaskPhase.STOPPING:
            self.tasks[task.task_id] = task._replace(calling=True)
            body = StopTaskBody(
                task_id=task.task_id,
                epoch=task.epoch,
                checkpoint=task.save_checkpoint,
            )
            return _call(TaskCallKind.STOP, task, body)
        throttle = self.throttles.pop(task.task_id, None)
        if throttle is None:
            return None
        share = ThrottleBody(
            task_id=task.task_id, epoch=task.epoch, percent=throttle.percent
        )
        return _call(TaskCallKind.THROTTLE, task, share)

    def _start_call(
        self, task: OwnedTask, clock: TargetClock, now_ms: int
    ) -> TaskCall | None:
        if task.run is None or not clock.is_fresh(now_ms, READING_MAX_AGE_MS):
            return None
        end_ms = clock.lease_end_ms(self.lease_ms)
        self.tasks[task.task_id] = task._replace(
            calling=True, lease_end_ms=max(task.lease_end_ms, end_ms)
        )
        body = StartTaskBody(
            task_id=task.task_id,
            epoch=task.epoch,
            lease_until_ms=clock.reading_ms + self.lease_ms,
            service=task.run.service,
            resources=_resources_body(task.resources),
            payload=task.run.payload,
            checkpoint=task.run.checkpoint,
        )
        return _call(TaskCallKind.START, task, body)

    def _stray_calls(self, room: int) -> list[TaskCall]:
        calls = []
        for task_id, epoch in list(self.strays.items())[: max(0, room)]:
            body = StopTaskBody(task_id=task_id, epoch=epoch, checkpoint=False)
            encoded = msgspec.json.encode(body)
            calls.append(TaskCall(TaskCallKind.STOP, task_id, epoch, encoded))
            del self.strays[task_id]
        return calls

    def _apply_status(self, status: TaskStatusBody, now_ms: int) -> None:
        task = self.tasks.get(status["task_id"])
        if task is None:
            self._apply_unknown(status, now_ms)
        elif status["epoch"] < task.epoch:
            if status["state"] == "running":
                self.strays[status["task_id"]] = status["epoch"]
        elif status["epoch"] == task.epoch:
            self._apply_known(task, status, now_ms)

    def _apply_known(
        self, task: OwnedTask, status: TaskStatusBody, now_ms: int
    ) -> None:
        checkpoint = status["checkpoint"] or task.checkpoint
        if status["state"] == "running":
            if task.phase is TaskPhase.STARTING:
                self._mark_running(task.task_id)
            if checkpoint != task.checkpoint:
                self._note_checkpoint(task.task_id, checkpoint)
            return
        kind = _EVENT_OF_STATE[status["state"]]
        self._end(
            task.task_id,
            task.epoch,
            kind,
            now_ms,
            status["detail"],
            checkpoint,
            status["result"],
        )

    def _apply_unknown(self, status: TaskStatusBody, now_ms: int) -> None:
        task_id, epoch = status["task_id"], status["epoch"]
        ended = self.ended.get(task_id)
        if ended is not None and ended.event.epoch >= epoch:
            if status["state"] == "running":
                self.strays[task_id] = epoch
            return
        if status["state"] != "running":
            kind = _EVENT_OF_STATE[status["state"]]
            self._end(
                task_id,
                epoch,
                kind,
                now_ms,
                status["detail"],
                status["checkpoint"],
                status["result"],
            )
            return
        self._adopt(status, now_ms)

    def _adopt(self, status: TaskStatusBody, now_ms: int) -> None:
        used = Resources(
            cores_milli=status["cores_milli"], memory_mb=status["memory_mb"]
        )
        task_id = status["task_id"]
        self.ledger.inherit(hold_id(task_id), HoldKind.TASK, used)
        self.tasks[task_id] = OwnedTask(
            task_id,
            status["epoch"],
            TaskPhase.RUNNING,
            used,
            maybe_sent=True,
            lease_end_ms=TargetClock(1, now_ms).lease_end_ms(self.lease_ms),
            checkpoint=status["checkpoint"],
        )
        self._emit(task_id, status["epoch"], "started")

    def _mark_running(self, task_id: str) -> None:
        task = self.tasks[task_id]
        self.tasks[task_id] = task._replace(phase=TaskPhase.RUNNING)
        self._emit(task_id, task.epoch, "started")

    def _note_checkpoint(self, task_id: str, checkpoint: str) -> None:
        task = self.tasks[task_id]
        self.tasks[task_id] = task._replace(checkpoint=checkpoint)
        self._emit(task_id, task.epoch, "checkpointed", checkpoint)

    def _current(self, call: TaskCall) -> OwnedTask | None:
        task = self.tasks.get(call.task_id)
        return task if task is not None and task.epoch == call.epoch else None

    def _is_committed(self, status: TaskStatusBody) -> bool:
        ended = self.ended.get(status["task_id"])
        if ended is None:
            return False
        if ended.event.epoch > status["epoch"]:
            return True
        return ended.committed and ended.event.epoch == status["epoch"]

    def _end(
        self,
        task_id: str,
        epoch: int,
        kind: str,
        now_ms: int,
        detail: str = "",
        checkpoint: str = "",
        result: str = "",
    ) -> None:
        task = self.tasks.pop(task_id, None)
        last = task.checkpoint if task is not None else ""
        self.ledger.release(hold_id(task_id))
        self.throttles.pop(task_id, None)
        event = self._emit(task_id, epoch, kind, checkpoint or last, result, detail)
        earlier = self.ended.get(task_id)
        if earlier is None or earlier.event.epoch <= epoch:
            self.ended[task_id] = EndedTask(event, now_ms)
        CHECKS.check(
            Invariant.ONE_PLACE,
            hold_id(task_id) not in self.ledger.holds,
            f"task={task_id} ended but still holds its place",
        )

    def _emit(
        self,
        task_id: str,
        epoch: int,
        kind: str,
        checkpoint: str = "",
        result: str = "",
        detail: str = "",
    ) -> TaskEvent:
        event = TaskEvent(
            task_id, epoch, self.ledger.target_id, kind, checkpoint, result, detail
        )
        self.events.append(event)
        return event


def _call(
    kind: TaskCallKind,
    task: OwnedTask,
    body: StopTaskBody | ThrottleBody | StartTaskBody,
) -> TaskCall:
    return TaskCall(kind, task.task_id, task.epoch, msgspec.json.encode(body))


def _resources_body(amount: Resources) -> ResourcesBody:
    return ResourcesBody(
        slots=amount.slots,
        connections=amount.connections,
        cores_milli=amount.cores_milli,
        memory_mb=amount.memory_mb,
        accelerators=amount.accelerators,
    )
