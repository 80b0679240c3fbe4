"""Tasks of one owned target: starts, leases, stops and end events."""

from foxspring_model import (
    INVARIANT_CHECKS,
    Invariant,
    ReportedEvent,
    Resources,
    RunTask,
    StopTask,
    TaskStatusBody,
    ThrottleTask,
)

from foxspring_entry._ended_tasks import EndedTasks
from foxspring_entry._ledger import ReservationKind, TargetLedger
from foxspring_entry._task_calls import start_call, stop_call, throttle_call
from foxspring_entry._task_state import (
    EVENT_OF_STATE,
    READING_MAX_AGE_MS,
    RETRY_CALL_MS,
    START_LIMIT_MS,
    STOP_LIMIT_MS,
    OwnedTask,
    TargetClock,
    TaskCall,
    TaskPhase,
    measured_usage,
    supersedes_inferred_end,
    task_reservation_id,
)


class TargetTasks:
    """Tasks that occupy capacity of one target, and those that ended recently.

    ``now_ms`` is always the owner's time. Events are collected in ``events``
    until ``pop_events`` is called. Task statuses are those of ``incarnation``.
    """

    def __init__(self, ledger: TargetLedger, lease_ms: int, incarnation: int) -> None:
        self.ledger = ledger
        self.lease_ms = lease_ms
        self.incarnation = incarnation
        self.tasks: dict[str, OwnedTask] = {}
        self.ended = EndedTasks()
        self.events: list[ReportedEvent] = []
        self.stale_runs: dict[str, int] = {}
        self.throttles: dict[str, ThrottleTask] = {}

    def offer(self, run: RunTask, refusal: str, now_ms: int) -> None:
        """Accept or refuse a task that control offers.

        ``refusal`` is the reason why the target admits no new work; it is empty
        if the target does. A repeated offer gets the same answer as before.
        """
        if self._handle_repeated_offer(run, now_ms):
            return
        if not refusal and not all(t.size_known for t in self.tasks.values()):
            refusal = "sizes of tasks started by the previous owner are not known yet"
        reserved = not refusal and self.ledger.reserve(
            task_reservation_id(run.task_id), ReservationKind.TASK, run.resources
        )
        if not reserved:
            detail = refusal or f"not enough free capacity; free: {self.ledger.free}"
            self._end(run.task_id, run.epoch, "refused", now_ms, detail)
            return
        self.tasks[run.task_id] = OwnedTask(
            run.task_id,
            run.epoch,
            TaskPhase.STARTING,
            run.resources,
            run,
            next_call_ms=now_ms,
            offered_ms=now_ms,
            checkpoint=run.checkpoint,
        )

    def stop(self, stop: StopTask, known_absent: bool, now_ms: int) -> None:
        """Start to stop a task.

        ``known_absent`` is true if all tasks on the target are known, so an
        unknown task cannot be running there.
        """
        task = self.tasks.get(stop.task_id)
        if task is not None and task.epoch == stop.epoch:
            self._begin_stop(task, stop, now_ms)
            return
        ended = self.ended.at_or_after(stop.task_id, stop.epoch)
        if ended is not None:
            self._resend_event(ended, stop.epoch)
            return
        if known_absent and task is None:
            self._end(stop.task_id, stop.epoch, "stopped", now_ms)

    def throttle(self, throttle: ThrottleTask) -> None:
        """Set a task's CPU share with the next calls."""
        task = self.tasks.get(throttle.task_id)
        if task is not None and task.epoch == throttle.epoch:
            self.throttles[throttle.task_id] = throttle

    def next_calls(
        self, clock: TargetClock, max_calls: int, now_ms: int
    ) -> list[TaskCall]:
        """Return at most ``max_calls`` calls that are due."""
        calls: list[TaskCall] = []
        for task in list(self.tasks.values()):
            if len(calls) >= max_calls:
                return calls
            if task.call_in_flight or now_ms < task.next_call_ms:
                continue
            call = self._call_for(task, clock, now_ms)
            if call is not None:
                calls.append(call)
        calls.extend(self._stale_run_stops(max_calls - len(calls)))
        return calls

    def on_start(
        self, call: TaskCall, status: int | None, sent: bool, now: int
    ) -> None:
        """Process the response to a start call.

        ``status`` is ``None`` if there was no response; ``sent`` is false if no
        byte of the call left for the target.
        """
        task = self._task_of_call(call)
        if task is None:
            return
        self.tasks[task.task_id] = task._replace(
            call_in_flight=False,
            next_call_ms=now + RETRY_CALL_MS,
            maybe_sent=task.maybe_sent or sent,
        )
        if task.phase is not TaskPhase.STARTING:
            return
        if status is not None and 200 <= status < 300:
            self._mark_running(task.task_id)
        elif status is not None and 400 <= status < 500:
            kind = "refused" if status in (409, 429) else "failed"
            self._end(
                task.task_id,
                task.epoch,
                kind,
                now,
                f"target answered {status}",
            )
        elif not sent and not task.maybe_sent:
            self._end(task.task_id, task.epoch, "refused", now, "target unreachable")

    def on_stop(self, call: TaskCall, status: TaskStatusBody | None, now: int) -> None:
        """Process the response to a stop call.

        ``status`` is the task's last status, or ``None`` without a response.
        """
        task = self._task_of_call(call)
        if task is None:
            return
        self.tasks[task.task_id] = task._replace(
            call_in_flight=False, next_call_ms=now + RETRY_CALL_MS
        )
        if status is not None:
            self._apply_status(status, now)

    def renewals(self, now_ms: int) -> list[OwnedTask]:
        """Return the tasks whose leases should be renewed."""
        return [
            task
            for task in self.tasks.values()
            if task.phase is TaskPhase.RUNNING
            or (task.phase is TaskPhase.STOPPING and now_ms < task.stop_by_ms)
        ]

    def record_renewal_sent(self, tasks: list[OwnedTask], lease_end_ms: int) -> None:
        """Extend the recorded lease ends of tasks whose renewal is being sent."""
        for renewed in tasks:
            task = self.tasks.get(renewed.task_id)
            if task is not None and task.epoch == renewed.epoch:
                end_ms = max(task.lease_end_ms, lease_end_ms)
                self.tasks[task.task_id] = task._replace(lease_end_ms=end_ms)

    def record_unknown(self, task_id: str, epoch: int, reading_ms: int) -> None:
        """Record that the target does not know a task that was renewed.

        The task may have ended with a result, so the next report decides.
        """
        task = self.tasks.get(task_id)
        if task and task.epoch == epoch and task.unknown_since_ms is None:
            self.tasks[task_id] = task._replace(unknown_since_ms=reading_ms)

    def on_report(
        self, statuses: list[TaskStatusBody], report_time_ms: int, now_ms: int
    ) -> None:
        """Process the task statuses of a report.

        ``report_time_ms`` is the target's time at which the report was made.
        """
        for status in statuses:
            self._apply_status(status, now_ms)
        listed = {(status["task_id"], status["epoch"]) for status in statuses}
        for task in list(self.tasks.values()):
            if task.unknown_since_ms is None or report_time_ms < task.unknown_since_ms:
                continue
            if (task.task_id, task.epoch) in listed:
                self.tasks[task.task_id] = task._replace(unknown_since_ms=None)
                continue
            detail = "target does not run it"
            self._end(task.task_id, task.epoch, "lost", now_ms, detail)

    def expire(self, now_ms: int) -> None:
        """End tasks whose leases have definitely expired; prune old end events."""
        for task in list(self.tasks.values()):
            if task.lease_end_ms and now_ms >= task.lease_end_ms:
                self._end(task.task_id, task.epoch, "lost", now_ms, "lease ended")
        self.ended.prune(now_ms)

    def pop_events(self) -> list[ReportedEvent]:
        """Remove and return the events since the previous call."""
        events, self.events = self.events, []
        return events

    def _handle_repeated_offer(self, run: RunTask, now_ms: int) -> bool:
        ended = self.ended.at_or_after(run.task_id, run.epoch)
        if ended is not None:
            self._resend_event(ended, run.epoch)
            return True
        task = self.tasks.get(run.task_id)
        if task is None:
            return False
        if task.epoch < run.epoch:
            detail = f"epoch {task.epoch} still occupies the target"
            event = self._emit(run.task_id, run.epoch, "refused", detail=detail)
            self.ended.add(event, now_ms)
        elif task.epoch == run.epoch:
            self._confirm_task(task, run)
        return True

    def _confirm_task(self, task: OwnedTask, run: RunTask) -> None:
        if not task.size_known:
            self.ledger.release(task_reservation_id(task.task_id))
            self.ledger.reserve_existing(
                task_reservation_id(task.task_id), ReservationKind.TASK, run.resources
            )
            self.tasks[task.task_id] = task._replace(
                resources=run.resources, run=run, size_known=True
            )
        if task.phase is TaskPhase.RUNNING:
            self._emit(task.task_id, task.epoch, "started")

    def _begin_stop(self, task: OwnedTask, stop: StopTask, now_ms: int) -> None:
        if not task.maybe_sent and not task.call_in_flight:
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
            self.tasks[task.task_id] = task._replace(call_in_flight=True)
            return stop_call(task.task_id, task.epoch, task.save_checkpoint)
        throttle = self.throttles.pop(task.task_id, None)
        return throttle_call(throttle) if throttle is not None else None

    def _start_call(
        self, task: OwnedTask, clock: TargetClock, now_ms: int
    ) -> TaskCall | None:
        if now_ms - task.offered_ms > START_LIMIT_MS:
            self._abort_start(task, now_ms)
            return None
        if task.run is None or not clock.is_fresh(now_ms, READING_MAX_AGE_MS):
            return None
        end_ms = max(task.lease_end_ms, clock.lease_end_ms(self.lease_ms))
        self.tasks[task.task_id] = task._replace(
            call_in_flight=True, lease_end_ms=end_ms
        )
        return start_call(task.run, clock.reading_ms + self.lease_ms)

    def _abort_start(self, task: OwnedTask, now_ms: int) -> None:
        if not task.maybe_sent:
            detail = "the start could not be sent in time"
            self._end(task.task_id, task.epoch, "refused", now_ms, detail)
            return
        stop = StopTask(task.task_id, task.epoch, self.ledger.target_id, False)
        self._begin_stop(task, stop, now_ms)

    def _stale_run_stops(self, max_calls: int) -> list[TaskCall]:
        stale_runs = list(self.stale_runs.items())[: max(0, max_calls)]
        for task_id, _ in stale_runs:
            del self.stale_runs[task_id]
        return [stop_call(task_id, epoch, True) for task_id, epoch in stale_runs]

    def _apply_status(self, status: TaskStatusBody, now_ms: int) -> None:
        task = self.tasks.get(status["task_id"])
        if task is None:
            self._apply_unknown(status, now_ms)
        elif status["epoch"] < task.epoch:
            if status["state"] == "running":
                self.stale_runs[status["task_id"]] = status["epoch"]
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
                self._record_checkpoint(task.task_id, checkpoint)
            return
        self._end_as_reported(status, checkpoint, now_ms)

    def _apply_unknown(self, status: TaskStatusBody, now_ms: int) -> None:
        task_id, epoch = status["task_id"], status["epoch"]
        ended = self.ended.at_or_after(task_id, epoch)
        if ended is not None:
            if status["state"] == "running":
                self.stale_runs[task_id] = epoch
            elif supersedes_inferred_end(ended, status):
                self._end_as_reported(status, status["checkpoint"], now_ms)
            return
        if status["state"] != "running":
            self._end_as_reported(status, status["checkpoint"], now_ms)
            return
        self._adopt(status, now_ms)

    def _end_as_reported(
        self, status: TaskStatusBody, checkpoint: str, now_ms: int
    ) -> None:
        self._end(
            status["task_id"],
            status["epoch"],
            EVENT_OF_STATE[status["state"]],
            now_ms,
            status["detail"],
            checkpoint,
            status["result"],
            self.incarnation,
        )

    def _adopt(self, status: TaskStatusBody, now_ms: int) -> None:
        declared = status.get("resources")
        size = Resources(**declared) if declared is not None else measured_usage(status)
        task_id = status["task_id"]
        self.ledger.reserve_existing(
            task_reservation_id(task_id), ReservationKind.TASK, size
        )
        self.tasks[task_id] = OwnedTask(
            task_id,
            status["epoch"],
            TaskPhase.RUNNING,
            size,
            size_known=declared is not None,
            maybe_sent=True,
            lease_end_ms=TargetClock(1, now_ms).lease_end_ms(self.lease_ms),
            checkpoint=status["checkpoint"],
        )
        self._emit(task_id, status["epoch"], "started")

    def _mark_running(self, task_id: str) -> None:
        task = self.tasks[task_id]
        self.tasks[task_id] = task._replace(phase=TaskPhase.RUNNING)
        self._emit(task_id, task.epoch, "started")

    def _record_checkpoint(self, task_id: str, checkpoint: str) -> None:
        task = self.tasks[task_id]
        self.tasks[task_id] = task._replace(checkpoint=checkpoint)
        self._emit(task_id, task.epoch, "checkpointed", checkpoint)

    def _task_of_call(self, call: TaskCall) -> OwnedTask | None:
        task = self.tasks.get(call.task_id)
        return task if task is not None and task.epoch == call.epoch else None

    def _resend_event(self, event: ReportedEvent, epoch: int) -> None:
        if event.epoch == epoch:
            self.events.append(event)

    def _end(
        self,
        task_id: str,
        epoch: int,
        kind: str,
        now_ms: int,
        detail: str = "",
        checkpoint: str = "",
        result: str = "",
        ended_in: int | None = None,
    ) -> None:
        task = self.tasks.pop(task_id, None)
        last = task.checkpoint if task is not None else ""
        self.ledger.release(task_reservation_id(task_id))
        self.throttles.pop(task_id, None)
        saved = checkpoint or last
        event = self._emit(task_id, epoch, kind, saved, result, detail, ended_in)
        self.ended.add(event, now_ms)
        INVARIANT_CHECKS.check(
            Invariant.ONE_PLACE,
            task_reservation_id(task_id) not in self.ledger.reservations,
            f"task={task_id} ended but still has a reservation",
        )

    def _emit(
        self,
        task_id: str,
        epoch: int,
        kind: str,
        checkpoint: str = "",
        result: str = "",
        detail: str = "",
        ended_in: int | None = None,
    ) -> ReportedEvent:
        event = ReportedEvent(
            task_id,
            epoch,
            self.ledger.target_id,
            kind,
            checkpoint,
            result,
            detail,
            ended_in,
        )
        self.events.append(event)
        return event
