"""Controller of tasks: scheduling decisions, messages to owners, task events."""

import logging

from foxspring_model import (
    ENDED_STATES,
    Eviction,
    EvictTasks,
    PlaceTasks,
    RecordTaskEvents,
    ReportedEvent,
    StopTask,
    Task,
    TaskEvents,
    TaskEventsAck,
    TaskState,
    UsageBatch,
    UsageSample,
)

from foxspring_control._replication import ProposeOutcome
from foxspring_control.service._drain_evictions import next_drain_evictions
from foxspring_control.service._end_events import resolve_end_event
from foxspring_control.service._former_leases import FormerLeases
from foxspring_control.service._messages import SendMessage
from foxspring_control.service._pending_messages import (
    PendingMessages,
    is_leaving,
    pending_message_for,
)
from foxspring_control.service._proposer import Proposer
from foxspring_control.service._recent_starts import RecentStarts
from foxspring_control.service._replica_updates import next_replacements
from foxspring_control.service._running_check import RunningCheck
from foxspring_control.service._scheduling import SchedulerHandle
from foxspring_control.service._settings import ServiceSettings
from foxspring_control.service._task_loader import TaskLoader
from foxspring_control.service._view import LeaderView
from foxspring_control.state import (
    ControlState,
    StateChanges,
    StopIntent,
    Tables,
    TaskRecord,
)

_LOG = logging.getLogger(__name__)


_NOT_RUNNING = frozenset({"refused", "stopped"})
REASON_RESTART = "its target restarted while it was being started"


class TaskController:
    """Updates the scheduler, proposes its decisions and sends them to owners."""

    def __init__(
        self,
        settings: ServiceSettings,
        view: LeaderView,
        proposer: Proposer,
        send: SendMessage,
        scheduler: SchedulerHandle,
        now_ms: int,
    ) -> None:
        self.settings = settings
        self.view = view
        self.proposer = proposer
        self.send = send
        self.scheduler = scheduler
        self.pending_messages = PendingMessages()
        self.former_leases = FormerLeases()
        self.recent_starts = RecentStarts(now_ms, settings.start_retention_ms)
        self.running_check = RunningCheck(settings.missing_run_timeout_ms)
        self._suspects: frozenset[str] = frozenset()
        self._replicas_outdated = True
        self._next_replica_check_ms = now_ms
        self._next_drain_ms = now_ms
        self._proposal_number = 0
        self._loader = TaskLoader(settings.task_page_size)
        self._load_fleet()

    @property
    def state(self) -> ControlState:
        """The applied state."""
        return self.view.state

    def state_changed(self, changes: StateChanges, now_ms: int) -> None:
        """Handle the changes made by a batch of log entries."""
        with self.state.reading() as tables:
            if changes.configuration:
                self._replicas_outdated = True
                self.scheduler.set_configuration(self.state.configuration(tables))
            for target_id in changes.targets:
                self._update_target(target_id)
            moved_targets = self.view.pop_owner_changes()
            for target_id in moved_targets:
                self._begin_waits(tables, target_id, now_ms)
            for task_id in changes.tasks:
                self._update_task(tables, task_id, now_ms)
            for target_id in moved_targets:
                self.running_check.begin(target_id)
                for record in tables.tasks.on_target(target_id):
                    self._update_pending_message(tables, record)

    def is_loaded(self) -> bool:
        """Return whether all open tasks are loaded; scheduling starts after that."""
        return self._loader.done

    def set_suspects(self, suspects: frozenset[str]) -> None:
        """Exclude ``suspects``, targets without recent reports, from placement."""
        changed, self._suspects = self._suspects ^ suspects, suspects
        for target_id in changed:
            self._update_target(target_id)

    def handle_events(self, sender: str, batch: TaskEvents) -> None:
        """Commit the task events that an owner reports, then acknowledge them."""
        possibly_running = [
            event for event in batch.events if self._may_still_run(event)
        ]
        if possibly_running:
            self._evict_possibly_running(possibly_running)
        with self.state.reading() as tables:
            events = tuple(
                self._resolve_end(tables, event, batch.entry_id)
                for event in batch.events
                if event not in possibly_running
            )
        command = RecordTaskEvents(
            tuple(event.logged() for event in events), batch.entry_id
        )

        def done(outcome: ProposeOutcome) -> None:
            if outcome.status != "applied":
                return
            self.send(sender, TaskEventsAck(batch.batch_id))

        self._report_refusals(batch)
        self.proposer.propose(f"events/{batch.batch_id}", command, done)

    def handle_usage(self, batch: UsageBatch, now_ms: int) -> None:
        """Pass usage samples to the scheduler and check the tasks they list."""
        for sample in batch.samples:
            self.scheduler.record_sample(sample, now_ms)
            if self.running_check.is_open(sample.target_id):
                self._check_running(sample, now_ms)

    def tick(self, now_ms: int) -> None:
        """Propose the scheduler's decisions and send pending messages."""
        self.recent_starts.discard_expired(now_ms)
        if not self._loader.done:
            self._load_page(now_ms)
            self._send_pending_messages(now_ms)
            return
        decisions = self.scheduler.decide(now_ms)
        size = self.settings.placements_per_command
        for first in range(0, len(decisions.placements), size):
            self._propose(PlaceTasks(decisions.placements[first : first + size]))
        if decisions.evictions:
            self._propose(EvictTasks(decisions.evictions))
        for ended in decisions.ended:
            self._propose(ended)
        for throttle in decisions.throttles:
            self._send_to_owner(throttle.target_id, throttle)
        self._send_pending_messages(now_ms)
        if now_ms >= self._next_drain_ms:
            self._evict_from_draining(now_ms)
        if self._replicas_outdated and now_ms >= self._next_replica_check_ms:
            self._replace_replicas(now_ms)

    def _load_fleet(self) -> None:
        with self.state.reading() as tables:
            self.scheduler.set_configuration(self.state.configuration(tables))
            for target_id in self.view.targets:
                self._update_target(target_id)
                self.running_check.begin(target_id)
        self.view.pop_owner_changes()

    def _load_page(self, now_ms: int) -> None:
        """Load one page of tasks; scheduling waits until all pages are loaded."""
        with self.state.reading() as tables:
            for record in self._loader.next_page(tables):
                self.scheduler.upsert_task(record.task, now_ms)
                self._update_pending_message(tables, record)

    def _update_target(self, target_id: str) -> None:
        record = self.view.targets.get(target_id)
        if record is None:
            self.scheduler.remove_target(target_id)
            self.running_check.discard(target_id)
            return
        # A target without an owner has no entry that could start a task on it.
        closed = record.draining or not record.owner or target_id in self._suspects
        self.scheduler.upsert_target(record.info, closed)

    def _update_task(self, tables: Tables, task_id: str, now_ms: int) -> None:
        record = tables.tasks.get(task_id)
        if record is None:
            self.scheduler.remove_task(task_id)
            self.pending_messages.set(task_id, None)
            self.former_leases.discard(task_id)
            return
        self.scheduler.upsert_task(record.task, now_ms)
        if record.task.state in ENDED_STATES:
            self.scheduler.remove_task(task_id)
        if record.task.state is not TaskState.STOPPING:
            self.former_leases.discard(task_id)
        self._update_pending_message(tables, record)

    def _update_pending_message(self, tables: Tables, record: TaskRecord) -> None:
        task = record.task
        target = self.view.targets.get(task.target_id)
        owner_epoch = target.owner_epoch if target is not None else 0
        spec = None
        if task.state is TaskState.STARTING:
            self.recent_starts.record_start(
                task.task_id, self.proposer.clock.monotonic_ms()
            )
            job = tables.jobs.get(task.job_id)
            spec = job.spec if job is not None else None
        keep = record.intent is StopIntent.REQUEUE
        self.pending_messages.set(
            task.task_id, pending_message_for(task, spec, owner_epoch, keep)
        )

    def _may_still_run(self, event: ReportedEvent) -> bool:
        return self.recent_starts.may_still_run(
            event,
            self.view.incarnation_since_ms.get(event.target_id),
            self.settings.task_lease_expiry_ms(),
            self.proposer.clock.monotonic_ms(),
        )

    def _evict_possibly_running(self, events: list[ReportedEvent]) -> None:
        """Evict the tasks of these events; the owner will report their loss again."""
        evictions = tuple(Eviction(e.task_id, e.epoch, REASON_RESTART) for e in events)
        self._propose(EvictTasks(evictions))

    def _resolve_end(
        self, tables: Tables, event: ReportedEvent, entry_id: str
    ) -> ReportedEvent:
        target = self.view.targets.get(event.target_id)
        record = tables.tasks.get(event.task_id)
        now_ms = self.proposer.clock.monotonic_ms()
        since_ms = self.view.owner_since_ms.get(event.target_id, now_ms)
        owns = target is not None and target.owner == entry_id
        if record is not None and owns and event.kind in _NOT_RUNNING:
            since_ms = self._wait_since(record.task, event, since_ms)
        ended = now_ms - since_ms >= self.settings.target_leases_expiry_ms()
        return resolve_end_event(event, record, target, ended)

    def _wait_since(self, task: Task, event: ReportedEvent, owner_since_ms: int) -> int:
        """Return since when no one may start a task that its owner does not run.

        An owner that says ``stopped`` has sent no start that may still arrive, so
        the wait goes on when the target changes owner; after ``refused`` an
        earlier start without an answer may.
        """
        same = task.epoch == event.epoch and task.target_id == event.target_id
        if not same or task.state is not TaskState.STOPPING:
            return owner_since_ms
        if event.kind == "stopped":
            self.former_leases.begin(task, owner_since_ms)
        return self.former_leases.since_ms(task, owner_since_ms)

    def _begin_waits(self, tables: Tables, target_id: str, now_ms: int) -> None:
        """Begin the waits of tasks that were stopping before their owner changed."""
        for record in tables.tasks.on_target(target_id):
            task = record.task
            pending = self.pending_messages.by_task.get(task.task_id)
            if pending is None or not isinstance(pending.message, StopTask):
                continue
            if pending.message.epoch == task.epoch:
                self.former_leases.begin(task, now_ms)

    def _check_running(self, sample: UsageSample, now_ms: int) -> None:
        with self.state.reading() as tables:
            placed = tables.tasks.on_target(sample.target_id)
        findings = self.running_check.compare(sample, placed, now_ms)
        if findings.missing:
            self._propose(EvictTasks(findings.missing))
        for stop in findings.stale_runs:
            self._send_to_owner(stop.target_id, stop)

    def _evict_from_draining(self, now_ms: int) -> None:
        self._next_drain_ms = now_ms + self.settings.drain_interval_ms
        draining_targets = [
            target_id
            for target_id, record in self.view.targets.items()
            if is_leaving(record.info, record.draining)
        ]
        if not draining_targets:
            return
        with self.state.reading() as tables:
            placed = [
                record
                for target_id in draining_targets
                for record in tables.tasks.on_target(target_id)
            ]
            evictions = next_drain_evictions(
                placed, tables.tasks.of_job, self.settings.drain_evictions_per_round
            )
        if evictions:
            self._propose(EvictTasks(evictions))

    def _replace_replicas(self, now_ms: int) -> None:
        self._next_replica_check_ms = now_ms + self.settings.replica_check_interval_ms
        with self.state.reading() as tables:
            services = self.state.configuration(tables).services
            sizes = {service.name: service.replica for service in services}
            replicas = tables.tasks.replicas()
        evictions, left = next_replacements(replicas, sizes)
        self._replicas_outdated = left
        if evictions:
            self._propose(EvictTasks(evictions))

    def _report_refusals(self, batch: TaskEvents) -> None:
        """Pass refusals to the scheduler before the log queues their tasks again.

        A repeated refusal is skipped because its task may be queued already.
        """
        refusals = [event for event in batch.events if event.kind == "refused"]
        if not refusals:
            return
        now_ms = self.proposer.clock.monotonic_ms()
        with self.state.reading() as tables:
            for event in refusals:
                record = tables.tasks.get(event.task_id)
                if record is not None and _is_starting_run(record.task, event):
                    self.scheduler.task_refused(event.task_id, event.target_id, now_ms)

    def _send_pending_messages(self, now_ms: int) -> None:
        due = self.pending_messages.due(
            now_ms, self.settings.resend_interval_ms, self.settings.resends_per_tick
        )
        for pending in due:
            self._send_to_owner(pending.target_id, pending.message)

    def _send_to_owner(self, target_id: str, message: object) -> None:
        address = self.view.owner_address(target_id)
        if address:
            self.send(address, message)

    def _propose(self, command: object) -> None:
        self._proposal_number += 1
        self.proposer.propose(f"decision/{self._proposal_number}", command)


def _is_starting_run(task: Task, event: ReportedEvent) -> bool:
    return task.state is TaskState.STARTING and task.epoch == event.epoch
