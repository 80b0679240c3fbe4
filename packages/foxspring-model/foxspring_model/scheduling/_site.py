"""Everything that the scheduler's decisions read and change."""

import random

from foxspring_model._commands import Eviction
from foxspring_model._configuration import Configuration, Service
from foxspring_model._job import TaskState
from foxspring_model._resources import Resources
from foxspring_model.scheduling._blame import FailureLedger
from foxspring_model.scheduling._book import TaskBook
from foxspring_model.scheduling._interference import PairModel
from foxspring_model.scheduling._latency_window import LatencyWindow
from foxspring_model.scheduling._pressure import (
    PressureLimits,
    PressureState,
    evictions_a_minute,
    limits_for,
)
from foxspring_model.scheduling._records import TaskGroup, TaskRecord
from foxspring_model.scheduling._reserve import UrgentReserve, reserve_decay_ms
from foxspring_model.scheduling._rooms import Room, Rooms
from foxspring_model.scheduling._samples import SampleOrder, ShapeMemory
from foxspring_model.scheduling._settings import SchedulerSettings
from foxspring_model.scheduling._sizes import corrected_size
from foxspring_model.scheduling._trials import Trials

_US_PER_MS = 1_000


class TargetLoad:
    """What the newest samples of one target say of the services there.

    ``resend`` counts the times its throttles are still to be sent again.
    """

    __slots__ = (
        "levels",
        "order",
        "pressures",
        "resend",
        "state",
        "trials",
        "windows",
    )

    def __init__(self, remembered_samples: int) -> None:
        self.order = SampleOrder(remembered_samples)
        self.state = PressureState()
        self.levels: dict[str, int] = {}
        self.pressures: dict[str, float] = {}
        self.resend = 0
        self.trials = Trials()
        self.windows: dict[str, LatencyWindow] = {}


class Site:
    """The aggregate of rooms, tasks, failures and learnt interference."""

    def __init__(self, settings: SchedulerSettings) -> None:
        self.settings = settings
        self.rng = random.Random(settings.seed)
        self.rooms = Rooms(self.rng, settings.starting_per_target)
        self.book = TaskBook(self.rooms, self.size_of)
        self.failures = FailureLedger(settings, self.rng)
        self.model = PairModel()
        self.shapes = ShapeMemory(settings.remembered_shapes)
        self.reserve = UrgentReserve(settings.reserve_decay_ms)
        self.loads: dict[str, TargetLoad] = {}
        self.limits: PressureLimits = limits_for(settings, Configuration().weights)
        self.configuration = Configuration()
        self._objectives: dict[str, int] = {}

    def set_configuration(self, configuration: Configuration) -> None:
        """Take quotas, objectives and weights of a new configuration."""
        self.configuration = configuration
        self.book.quotas.set_teams(configuration.teams)
        self.limits = limits_for(self.settings, configuration.weights)
        decay_ms = reserve_decay_ms(self.settings, configuration.weights)
        self.reserve.decay_ms = decay_ms
        self._objectives = {
            service.name: service.objective_ms * _US_PER_MS
            for service in configuration.services
        }
        self.rooms.set_request_room(
            {
                service.name: self._request_room(service)
                for service in configuration.services
            }
        )

    def _request_room(self, service: Service) -> Resources:
        count = self.settings.requests_per_replica
        return Resources(*(count * amount for amount in service.per_request))

    def objective_us(self, service: str) -> int:
        """Return the latency objective of ``service``, 0 if it is not known."""
        return self._objectives.get(service, 0)

    def load_of(self, target_id: str) -> TargetLoad:
        """Return what is known of a target's load, made if it is new."""
        load = self.loads.get(target_id)
        if load is None:
            load = TargetLoad(self.settings.seen_samples)
            self.loads[target_id] = load
        return load

    def size_of(self, group: TaskGroup) -> Resources:
        """Return what a task of ``group`` holds where it is placed."""
        return corrected_size(group, self.rooms.largest, self.settings)

    def shares_on(self, room: Room) -> dict[str, float]:
        """Return the part of a target's cores that each work class holds."""
        if room.info is None or not room.info.capacity.cores_milli:
            return {}
        capacity = room.info.capacity.cores_milli
        return {name: cores / capacity for name, cores in room.class_cores.items()}

    def eviction_rate(self) -> float:
        """Return the evictions a minute that interference may cause."""
        weights = self.configuration.weights
        return evictions_a_minute(self.settings, weights, self.rooms.known)

    def evict(self, record: TaskRecord, reason: str, now_ms: int) -> Eviction:
        """Mark a task as being evicted and return the command's part for it."""
        record.evicting_until_ms = now_ms + self.settings.command_timeout_ms
        return Eviction(record.task_id, record.epoch, reason)

    def end_reason(self, record: TaskRecord) -> str:
        """Return why a queued task is to be given up, or ``""``."""
        settings, failures = self.settings, self.failures
        if not record.attempts:
            if failures.job_blamed(record.group.shape.job_id):
                return self._blame(record.group.shape.job_id)
            return ""
        excused = len(record.failed_targets) - failures.fair_failures(
            record.failed_targets
        )
        fair = record.attempts - excused
        if fair < settings.tries_per_task and record.attempts < settings.runs_per_task:
            return ""
        return (
            f"failed {record.attempts} times, {fair} of them on targets that are"
            " not to blame; fix the job and submit it again"
        )

    def begin_probe(self, record: TaskRecord) -> None:
        """Let a task that was placed on an isolated target probe it."""
        target = self.failures.targets[record.target_id]
        target.probe = record.task_id
        self.sync_quarantine(record.target_id)

    def sync_quarantine(self, target_id: str) -> None:
        """Open or close a target's room as its failures call for."""
        room = self.rooms.by_id.get(target_id)
        if room is None:
            return
        room.quarantine = self._quarantine_reason(target_id)
        self.rooms.refresh(room)

    def check_probes(self, now_ms: int) -> None:
        """Begin due probes, and end those whose task has run for long enough."""
        for target_id in self.failures.due_probes(now_ms):
            self.sync_quarantine(target_id)
        for target_id in sorted(self.failures.isolated):
            record = self.book.records.get(self.failures.targets[target_id].probe)
            if record is None or record.state is not TaskState.RUNNING:
                continue
            if now_ms - record.since_ms >= self.settings.probe_ms:
                self.failures.succeeded(record.group.shape.job_id, target_id)
                self.sync_quarantine(target_id)

    def _quarantine_reason(self, target_id: str) -> str:
        if target_id not in self.failures.isolated:
            return ""
        target = self.failures.targets[target_id]
        if not target.probing:
            return f"it is quarantined after {target.count} failures in a row"
        record = self.book.records.get(target.probe)
        if record is not None and record.target_id == target_id:
            return f"it is being probed by {target.probe}"
        return ""

    def _blame(self, job_id: str) -> str:
        count = len(self.failures.jobs[job_id].failed_on)
        return (
            f"job {job_id} failed on {count} targets and never succeeded;"
            " fix the job and submit it again"
        )
