"""The state that the scheduler's decisions read and change."""

import random

from foxspring_model._commands import Eviction
from foxspring_model._configuration import Configuration, Service
from foxspring_model._job import TaskState
from foxspring_model._resources import Resources
from foxspring_model.scheduling._failures import FailureTracker
from foxspring_model.scheduling._interference import InterferenceModel
from foxspring_model.scheduling._latency_window import LatencyWindow
from foxspring_model.scheduling._pressure import (
    PressureLimits,
    PressureState,
    eviction_budget_per_minute,
    limits_for,
)
from foxspring_model.scheduling._records import TaskGroup, TaskRecord
from foxspring_model.scheduling._reserve import UrgentReserve, reserve_decay_ms
from foxspring_model.scheduling._samples import RecentShapes, SampleHistory
from foxspring_model.scheduling._settings import SchedulerSettings
from foxspring_model.scheduling._sizes import corrected_size
from foxspring_model.scheduling._target_table import TargetRecord, TargetTable
from foxspring_model.scheduling._task_table import TaskTable
from foxspring_model.scheduling._trials import TrialLimits

_US_PER_MS = 1_000


class TargetLoad:
    """The load of one target's services, from its newest measurements.

    ``levels`` holds the load level of each service, ``windows`` its accumulated
    measurements and ``state`` the hysteresis of the throttle steps. ``resend`` is
    how many more times the throttles are to be sent.
    """

    __slots__ = (
        "history",
        "levels",
        "resend",
        "state",
        "trials",
        "windows",
    )

    def __init__(self, remembered_samples: int) -> None:
        self.history = SampleHistory(remembered_samples)
        self.state = PressureState()
        self.levels: dict[str, int] = {}
        self.resend = 0
        self.trials = TrialLimits()
        self.windows: dict[str, LatencyWindow] = {}


class Site:
    """The aggregate of targets, tasks, failures and learned interference."""

    def __init__(self, settings: SchedulerSettings) -> None:
        self.settings = settings
        self.rng = random.Random(settings.seed)
        self.target_table = TargetTable(self.rng, settings.starting_per_target)
        self.task_table = TaskTable(self.target_table, self.size_of)
        self.failures = FailureTracker(settings, self.rng)
        self.model = InterferenceModel()
        self.recent_shapes = RecentShapes(settings.remembered_shapes)
        self.reserve = UrgentReserve(settings.reserve_decay_ms)
        self.loads: dict[str, TargetLoad] = {}
        self.limits: PressureLimits = limits_for(settings, Configuration().weights)
        self.configuration = Configuration()
        self._objectives: dict[str, int] = {}

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply quotas, objectives and weights of a new configuration."""
        self.configuration = configuration
        self.task_table.quotas.set_teams(configuration.teams)
        self.limits = limits_for(self.settings, configuration.weights)
        decay_ms = reserve_decay_ms(self.settings, configuration.weights)
        self.reserve.decay_ms = decay_ms
        self._objectives = {
            service.name: service.objective_ms * _US_PER_MS
            for service in configuration.services
        }
        self.target_table.set_request_headroom(
            {
                service.name: self._request_headroom(service)
                for service in configuration.services
            }
        )

    def _request_headroom(self, service: Service) -> Resources:
        count = self.settings.requests_per_replica
        return Resources(*(count * amount for amount in service.per_request))

    def objective_us(self, service: str) -> int:
        """Return the latency objective of ``service`` in microseconds, 0 if unknown."""
        return self._objectives.get(service, 0)

    def load_of(self, target_id: str) -> TargetLoad:
        """Return the load of a target, creating it if it does not exist."""
        load = self.loads.get(target_id)
        if load is None:
            load = TargetLoad(self.settings.remembered_samples)
            self.loads[target_id] = load
        return load

    def size_of(self, group: TaskGroup) -> Resources:
        """Return the resources that a task of ``group`` holds on its target."""
        return corrected_size(group, self.target_table.largest, self.settings)

    def shares_on(self, target: TargetRecord) -> dict[str, float]:
        """Return the fraction of a target's cores that each work class holds."""
        if target.info is None or not target.info.capacity.cores_milli:
            return {}
        capacity = target.info.capacity.cores_milli
        return {name: cores / capacity for name, cores in target.class_cores.items()}

    def eviction_rate(self) -> float:
        """Return the budget of evictions per minute for relieving interference."""
        weights = self.configuration.weights
        return eviction_budget_per_minute(
            self.settings, weights, self.target_table.announced_count
        )

    def evict(self, record: TaskRecord, reason: str, now_ms: int) -> Eviction:
        """Mark a task as being evicted and return the eviction to propose."""
        record.evicting_until_ms = now_ms + self.settings.command_timeout_ms
        return Eviction(record.task_id, record.epoch, reason)

    def end_reason(self, record: TaskRecord) -> str:
        """Return why a queued task is to be ended as failed, or ``""``.

        A replica is never ended, since its service needs it.
        """
        if record.group.service:
            return ""
        if record.attempts:
            return self.tries_used_reason(record.attempts, record.failed_targets)
        if self.failures.is_job_at_fault(record.group.shape.job_id):
            return self._job_fault_reason(record.group.shape.job_id)
        return ""

    def tries_used_reason(self, attempts: int, failed_targets: tuple[str, ...]) -> str:
        """Return why a task gets no run after ``attempts`` failed ones, or ``""``."""
        settings, failures = self.settings, self.failures
        target_caused = len(failed_targets) - failures.job_caused_failures(
            failed_targets
        )
        job_caused = attempts - target_caused
        if job_caused < settings.tries_per_task and attempts < settings.runs_per_task:
            return ""
        return (
            f"failed {attempts} times, {job_caused} of them not caused by the"
            " targets; fix the job and submit it again"
        )

    def is_held_back(self, group: TaskGroup) -> bool:
        """Return whether as many tasks are placed as an unproven job may run.

        A service is not held back: its replicas never count as a success.
        """
        if group.service or not self.failures.is_unproven(group.shape.job_id):
            return False
        return group.placed >= self.settings.tasks_per_unproven_job

    def begin_probe(self, record: TaskRecord) -> None:
        """Make a task that was placed on an isolated target its probe."""
        target = self.failures.targets[record.target_id]
        target.probe_task_id = record.task_id
        self.sync_quarantine(record.target_id)

    def sync_quarantine(self, target_id: str) -> None:
        """Open or close a target according to its recorded failures."""
        target = self.target_table.by_id.get(target_id)
        if target is None:
            return
        target.quarantine_reason = self._quarantine_reason(target_id)
        self.target_table.refresh(target)

    def check_probes(self, now_ms: int) -> None:
        """Begin the probes that are due and end those running for ``probe_ms``."""
        for target_id in self.failures.begin_due_probes(now_ms):
            self.sync_quarantine(target_id)
        for target_id in sorted(self.failures.isolated):
            record = self.task_table.records.get(
                self.failures.targets[target_id].probe_task_id
            )
            if record is None or record.target_id != target_id:
                continue
            if record.state is not TaskState.RUNNING:
                continue
            if now_ms - record.since_ms >= self.settings.probe_ms:
                self.failures.record_success(record.group.shape.job_id, target_id)
                self.sync_quarantine(target_id)

    def _quarantine_reason(self, target_id: str) -> str:
        if target_id not in self.failures.isolated:
            return ""
        target = self.failures.targets[target_id]
        if not target.probing:
            return f"it is quarantined after {target.count} failures in a row"
        record = self.task_table.records.get(target.probe_task_id)
        if record is not None and record.target_id == target_id:
            return f"it is being probed by {target.probe_task_id}"
        return ""

    def _job_fault_reason(self, job_id: str) -> str:
        count = len(self.failures.jobs[job_id].failed_on)
        return (
            f"job {job_id} failed on {count} targets and never succeeded;"
            " fix the job and submit it again"
        )
