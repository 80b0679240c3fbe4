"""The scheduler: entry point for state changes, measurements and decisions."""

from foxspring_model._commands import EndTasks
from foxspring_model._configuration import Configuration, Team
from foxspring_model._job import ENDED_STATES, JobSpec, Task, TaskKind, TaskState
from foxspring_model._messages import UsageSample
from foxspring_model._target import TargetInfo
from foxspring_model.scheduling import _explain
from foxspring_model.scheduling._decisions import Decisions
from foxspring_model.scheduling._dispatch import Dispatcher
from foxspring_model.scheduling._failures import backoff_ms
from foxspring_model.scheduling._placement import SelectorFactory, interference_aware
from foxspring_model.scheduling._records import TaskRecord, job_key
from foxspring_model.scheduling._relief import Relief
from foxspring_model.scheduling._samples import ShapeSummary
from foxspring_model.scheduling._settings import SchedulerSettings
from foxspring_model.scheduling._site import Site

_LEAVING = "it is leaving"
_DRAINING = "it is draining"


class Scheduler:
    """Decides which tasks to place, evict, throttle and end.

    It performs no input or output. Pass it every change of the replicated state,
    call :meth:`decide` a few times a second and propose the commands that it
    returns. A decision that is not committed within ``command_timeout_ms`` is
    made again. Not thread-safe.
    """

    def __init__(
        self,
        settings: SchedulerSettings,
        selector_factory: SelectorFactory = interference_aware,
    ) -> None:
        """Create a scheduler.

        ``selector_factory`` is replaced only to compare placement policies.
        """
        self.settings = settings
        self.site = Site(settings)
        self._dispatcher = Dispatcher(self.site, selector_factory(self.site))
        self._relief = Relief(self.site)

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply a new configuration; running tasks are not affected."""
        self.site.set_configuration(configuration)

    def upsert_target(self, info: TargetInfo, draining: bool) -> None:
        """Record a target's announcement and whether an operator is draining it."""
        closed_reason = _LEAVING if info.leaving else _DRAINING if draining else ""
        self.site.target_table.announce(info, closed_reason)

    def remove_target(self, target_id: str) -> None:
        """Remove a target; its tasks hold resources until the log releases them."""
        self.site.target_table.remove(target_id)
        self.site.loads.pop(target_id, None)
        self.site.failures.remove_target(target_id)

    def upsert_task(self, task: Task, now_ms: int) -> None:
        """Apply a task's state from the replicated log; idempotent."""
        before = self.site.task_table.records.get(task.task_id)
        if before is not None and task.epoch < before.epoch:
            return
        was_at = before.target_id if before is not None else ""
        failed = self._record_outcome(task, before, now_ms)
        wait_ms = 0
        if failed and task.state is TaskState.QUEUED:
            wait_ms = self._retry_delay(task)
        if before is not None and task.state in ENDED_STATES:
            self._remember_shape(before)
        self.site.task_table.upsert(task, wait_ms, now_ms)
        if was_at in self.site.failures.isolated:
            self.site.sync_quarantine(was_at)
        self._remove_finished_job(task)

    def remove_task(self, task_id: str) -> None:
        """Remove a task that is no longer part of the replicated state."""
        self.site.task_table.remove(task_id)

    def record_sample(self, sample: UsageSample, now_ms: int) -> None:
        """Learn from a measurement of one target; it may be late or out of order."""
        self._relief.observe(sample)

    def task_refused(self, task_id: str, target_id: str, now_ms: int) -> None:
        """Requeue a task that the owner of its target refused for lack of capacity."""
        record = self.site.task_table.records.get(task_id)
        if record is None:
            return
        record.not_before_ms = now_ms + self.settings.refusal_delay_ms
        if record.state is TaskState.QUEUED and record.target_id in ("", target_id):
            self._dispatcher.requeue(record, now_ms)

    def decide(self, now_ms: int) -> Decisions:
        """Return the decisions at ``now_ms``; the work of one call is bounded."""
        self.site.check_probes(now_ms)
        self._relief.run(now_ms)
        self._dispatcher.run(now_ms)
        ended = self._dispatcher.ended.items()
        return Decisions(
            tuple(self._dispatcher.placements),
            tuple(self._relief.evictions + self._dispatcher.evictions),
            tuple(self._relief.throttles),
            tuple(EndTasks(tuple(task_ids), reason) for reason, task_ids in ended),
        )

    def explain(self, task_id: str, now_ms: int) -> tuple[str, ...]:
        """Return why a queued task is waiting, each reason with its figures."""
        record = self.site.task_table.records.get(task_id)
        if record is None or record.state is not TaskState.QUEUED:
            return ()
        if record.pending_until_ms:
            return (f"is being placed on {record.target_id}",)
        if record.claim_until_ms:
            return (f"waits for capacity that is being freed on {record.target_id}",)
        size = self.site.size_of(record.group)
        reasons = _explain.delay_reasons(record, now_ms)
        reasons.append(self._dispatcher.quota_refusal(record.group))
        reasons.append(self._dispatcher.reserve_refusal(record.group, size))
        reasons.append(self._dispatcher.headroom_refusal(record, size))
        reasons += _explain.unproven_reasons(record, self.site)
        reasons += _explain.capacity_reasons(record, self.site)
        return tuple(reason for reason in reasons if reason)

    def quarantined(self, now_ms: int) -> tuple[str, ...]:
        """Return the targets that get no new tasks because tasks keep failing there."""
        failures = self.site.failures
        return tuple(
            target_id
            for target_id in sorted(failures.isolated)
            if failures.is_quarantined(target_id)
        )

    def never_fits(self, spec: JobSpec) -> str:
        """Return why a job can never run on this site, or ``""`` if it may."""
        teams = self.site.configuration.teams
        team = next((each for each in teams if each.name == spec.team), Team(spec.team))
        return _explain.never_fits(spec, self.site.target_table, team)

    def _record_outcome(
        self, task: Task, before: TaskRecord | None, now_ms: int
    ) -> bool:
        job_id = job_key(task)
        if before is None:
            if task.state not in ENDED_STATES:
                for target_id in task.failed_targets:
                    self._record_failure(job_id, target_id, now_ms)
            return task.attempts > 0
        if task.attempts > before.attempts:
            last = task.failed_targets[-1] if task.failed_targets else ""
            self._record_failure(job_id, before.target_id or last, now_ms)
            return True
        saved = hash(task.checkpoint) != before.checkpoint_hash
        if (task.state is TaskState.FINISHED or saved) and before.target_id:
            self._record_success(job_id, before.target_id)
        return False

    def _record_success(self, job_id: str, target_id: str) -> None:
        if self.site.failures.record_success(job_id, target_id):
            self.site.sync_quarantine(target_id)

    def _record_failure(self, job_id: str, target_id: str, now_ms: int) -> None:
        if not target_id:
            return
        failures, target_table = self.site.failures, self.site.target_table
        if failures.record_failure(
            job_id, target_id, now_ms, target_table.announced_count
        ):
            self.site.sync_quarantine(target_id)

    def _retry_delay(self, task: Task) -> int:
        """Return the delay before a task's next run, 0 if it is to be ended."""
        settings = self.settings
        if task.kind is not TaskKind.SERVICE and self.site.tries_used_reason(
            task.attempts, task.failed_targets
        ):
            return 0
        return backoff_ms(
            settings.retry_delay_ms,
            settings.retry_delay_max_ms,
            task.attempts,
            self.site.rng,
        )

    def _remember_shape(self, record: TaskRecord) -> None:
        shape = record.group.shape
        summary = ShapeSummary(
            shape.kind, shape.work_class, shape.resources.cores_milli
        )
        self.site.recent_shapes.remember(shape.job_id, summary)

    def _remove_finished_job(self, task: Task) -> None:
        if task.state in ENDED_STATES:
            job_id = job_key(task)
            if not self.site.task_table.has_job(job_id):
                self.site.failures.remove_job(job_id)
