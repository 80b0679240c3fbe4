"""Targets as seen by one plan: free capacity and the expected effect of more work."""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from foxspring_model import Resources

from foxspring_jobs._commands import TaskKey
from foxspring_jobs._crash_counts import Suspicion
from foxspring_jobs._interference import (
    INITIAL_BASELINE,
    MILLICORES_PER_CORE,
    Interference,
)
from foxspring_jobs._specs import MAX_TASKS_PER_OCCURRENCE, StepSpec
from foxspring_jobs._state import TargetState

PERCENT = 100
RISK_SHARE = 0.85
OWN_PRESSURE_MARGIN = 0.10
SHORT_TASK_RESERVE_PERCENT = 7
SERVING_USE_PERCENT = 45
MIN_LIMIT = 0.01
# The version of a candidate that differs from its target by starts of a plan.
CHANGED = -1
StepKey = tuple[str, int, int]


def step_key_of(task: TaskKey) -> StepKey:
    """Return the key of the step, within its occurrence, that a task belongs to."""
    return task.job_id, task.occurrence, task.step


class Candidate:
    """A target as the planner sees it, including the starts of the current plan.

    ``own_pressure`` is the highest pressure that tasks of each serving image cause by
    themselves. ``paced`` gives, by image, the millicores that paced best-effort tasks
    do not use. ``max_starts`` limits the starts of one plan; 0 means no limit. No
    best-effort task starts while ``any_over_target``: in the newest poll a serving task
    exceeded its latency target. ``suspicion`` is that of the runs under which other
    targets have crashed, see :mod:`foxspring_jobs._isolation`.
    """

    def __init__(
        self,
        target: TargetState,
        on_probation: bool = False,
        max_starts: int = 0,
        own_pressure: Mapping[str, float] | None = None,
        paced: Mapping[str, int] | None = None,
    ) -> None:
        self.own_pressure = {} if own_pressure is None else own_pressure
        self.target = target
        self.version = target.version
        self.is_paced = bool(paced)
        self.free = target.free()
        self.on_probation = on_probation
        self.max_starts = max_starts
        self.started = 0
        self.any_over_target = False
        self.suspicion = Suspicion.NONE
        self.serving = dict(target.serving)
        self.best_effort_cores = dict(target.best_effort_cores)
        self.total_best_effort_cores = sum(self.best_effort_cores.values())
        self.serving_cores = target.serving_cores
        self.long_running_count = target.long_running_count
        self.runs_per_step: dict[StepKey, int] = {}
        for image, cores in (paced or {}).items():
            self.best_effort_cores[image] = self.best_effort_cores.get(image, 0) - cores
            self.total_best_effort_cores -= cores
        self.expected: Expected | None = None
        self._images: frozenset[str] | None = None

    def is_current(self, target: TargetState) -> bool:
        """Return whether this is a target as it is now, without starts of a plan."""
        return self.target is target and self.version == target.version

    def begin_plan(
        self,
        max_starts: int,
        any_over_target: bool,
        suspicion: Suspicion = Suspicion.NONE,
    ) -> None:
        """Set what only limits starts and has no part in an index of targets."""
        self.suspicion = suspicion
        self.max_starts = max_starts
        self.any_over_target = any_over_target

    def reserve(self, task: TaskKey, step: StepSpec, sign: int = 1) -> None:
        """Count a start of this plan, or undo it with ``sign`` -1."""
        self.version = CHANGED
        self.started += sign
        self.expected = None
        self._images = None
        reserved = step.reserved()
        if sign > 0:
            self.free = self.free.minus(reserved)
        else:
            self.free = self.free.plus(reserved)
        cores = sign * step.resources.cores_milli
        self.long_running_count += sign * step.long_running
        if step.latency_target_ms:
            key = (step.image, step.latency_target_ms)
            self.serving[key] = self.serving.get(key, 0) + sign
            self.serving_cores += cores
        if step.best_effort:
            self.best_effort_cores[step.image] = (
                self.best_effort_cores.get(step.image, 0) + cores
            )
            self.total_best_effort_cores += cores
        step_key = step_key_of(task)
        self.runs_per_step[step_key] = self.runs_per_step.get(step_key, 0) + sign

    def note_suspect(self, suspicion: Suspicion) -> None:
        """Note that this plan starts a suspect here."""
        self.suspicion = max(self.suspicion, suspicion)

    def accepts(
        self, step_key: StepKey, step: StepSpec, reserved: Resources, service: str
    ) -> bool:
        """Return whether one more task of a step may start on this target."""
        return reserved.fits_in(self.free) and self.suits(step_key, step, service)

    def suits(self, step_key: StepKey, step: StepSpec, service: str) -> bool:
        """Return whether a task of a step may start here, apart from its size."""
        registered = self.target.registered
        if registered.service != service or registered.draining:
            return False
        if self.max_starts and self.started >= self.max_starts:
            return False
        if self.suspicion is Suspicion.ISOLATED:
            return False
        if step.required_label and step.required_label not in registered.labels:
            return False
        if step.best_effort and self.any_over_target:
            return False
        bound = step.max_per_target
        return not bound or self.run_count(step_key) < bound

    def free_without_short_tasks(self) -> Resources:
        """Return the capacity that will be free once the running short tasks end."""
        free = self.free
        for step in self.target.runs.values():
            if not step.long_running:
                free = free.plus(step.reserved())
        return free

    def hold(self, reserved: Resources) -> None:
        """Keep capacity from the rest of this plan, also if it is still in use."""
        self.version = CHANGED
        self.free = self.free.minus(reserved)

    def fitting_tasks(
        self, step_key: StepKey, step: StepSpec, reserved: Resources
    ) -> int:
        """Return how many tasks of a step fit here by size and ``max_per_target``."""
        sizes = [
            have // need
            for have, need in zip(self.free, reserved, strict=True)
            if need > 0
        ]
        fitting = max(0, min(sizes, default=MAX_TASKS_PER_OCCURRENCE))
        bound = step.max_per_target
        if bound:
            fitting = min(fitting, max(0, bound - self.run_count(step_key)))
        return fitting

    def leaves_short_task_reserve(self, reserved: Resources) -> bool:
        """Return whether short tasks would still fit beside a new long-running task."""
        capacity = self.target.registered.capacity.cores_milli
        left = self.free.cores_milli - reserved.cores_milli
        return left * PERCENT >= capacity * SHORT_TASK_RESERVE_PERCENT

    def serving_images(self) -> frozenset[str]:
        """Return the images of the serving tasks on this target."""
        if self._images is None:
            self._images = frozenset(
                image for (image, _), count in self.serving.items() if count > 0
            )
        return self._images

    def effect_of_adding(self, effects: "Effects", image: str) -> tuple[int, float]:
        """Return the number of serving images with one more, and what it adds.

        The second value is the added sensitivity to best-effort tasks.
        """
        images = self.serving_images()
        more = images | {image}
        return len(more), effects.sensitivity(more) - effects.sensitivity(images)

    def run_count(self, step_key: StepKey) -> int:
        """Return the number of runs of a step on this target."""
        return self.target.runs_per_step.get(step_key, 0) + self.runs_per_step.get(
            step_key, 0
        )

    def unused_cores(self) -> int:
        """Return the millicores that no task is expected to use.

        Serving tasks use only a part of the cores that they reserve.
        """
        unused = self.serving_cores * (PERCENT - SERVING_USE_PERCENT) // PERCENT
        return self.free.cores_milli + unused - self.total_best_effort_cores

    def is_crowded(self, step: StepSpec) -> bool:
        """Return whether a task of a step would use cores that others may need."""
        return self.unused_cores() < step.resources.cores_milli

    def used_percent(self) -> int:
        """Return the used share of cores or memory, whichever is higher."""
        capacity = self.target.registered.capacity
        return max(
            _percent_used(self.free.cores_milli, capacity.cores_milli),
            _percent_used(self.free.memory_mb, capacity.memory_mb),
        )

    def risk(self, effects: "Effects", image: str, cores: int) -> float:
        """Return the highest expected pressure as a share of the allowed pressure.

        ``image`` is that of a best-effort task that would add ``cores`` millicores.
        """
        if not self.serving:
            return 0.0
        worst = 0.0
        for serving, pressure, limit in self._expected_pressures(effects):
            added = effects.per_millicore(serving, image) * cores
            # An image without effect is harmless even beside a loaded task.
            if added:
                worst = max(worst, (pressure + added) / limit)
        return worst

    def pressure_reserves(self, effects: "Effects") -> list[tuple[str, float]]:
        """Return how much more pressure is allowed, by serving image."""
        expected = self._expected_pressures(effects)
        return [(image, limit - pressure) for image, pressure, limit in expected]

    def _expected_pressures(self, effects: "Effects") -> list[tuple[str, float, float]]:
        """Return serving images with their expected and their allowed pressure."""
        if self.expected is None or self.expected.effects is not effects:
            pressures = list(self._compute_expected(effects))
            self.expected = Expected(effects, pressures)
        return self.expected.pressures

    def _compute_expected(
        self, effects: "Effects"
    ) -> Iterator[tuple[str, float, float]]:
        for (serving, target_ms), count in self.serving.items():
            if count <= 0:
                continue
            pressure = (
                self.own_pressure.get(serving, effects.baseline(serving))
                + OWN_PRESSURE_MARGIN
            )
            for best_effort, cores in self.best_effort_cores.items():
                pressure += effects.per_millicore(serving, best_effort) * cores
            limit = effects.limit(serving, target_ms)
            yield serving, pressure, max(limit, MIN_LIMIT)


class Expected(NamedTuple):
    """The pressures expected on a candidate, computed from these effects."""

    effects: "Effects"
    pressures: list[tuple[str, float, float]]


class Effects:
    """Caches the learned interference values until more is learned."""

    def __init__(self, interference: Interference) -> None:
        self.interference = interference
        self.version = interference.version
        self._per_milli: dict[tuple[str, str], float] = {}
        self._best_effort_images = sorted(interference.best_effort_images())
        self._sensitivity: dict[frozenset[str], float] = {}
        self._limits: dict[tuple[str, int], float] = {}

    def are_current(self) -> bool:
        """Return whether nothing was learned since these values were cached."""
        return self.version == self.interference.version

    def per_millicore(self, serving: str, best_effort: str) -> float:
        """Return the pressure assumed per millicore of a best-effort image."""
        effect = self._per_milli.get((serving, best_effort))
        if effect is None:
            effect = (
                self.interference.effect(serving, best_effort) / MILLICORES_PER_CORE
            )
            self._per_milli[serving, best_effort] = effect
        return effect

    def sensitivity(self, serving: frozenset[str]) -> float:
        """Return how much serving images together suffer from best-effort tasks."""
        total = self._sensitivity.get(serving)
        if total is None:
            total = sum(
                max(
                    (self.per_millicore(image, best_effort) for image in serving),
                    default=0.0,
                )
                for best_effort in self._best_effort_images
            )
            self._sensitivity[serving] = total
        return total

    def baseline(self, serving: str) -> float:
        """Return a serving image's usual pressure without best-effort tasks."""
        return self.interference.baseline.get(serving, INITIAL_BASELINE)

    def limit(self, serving: str, target_ms: int) -> float:
        """Return the highest pressure that a plan may expect for a serving image."""
        key = (serving, target_ms)
        limit = self._limits.get(key)
        if limit is None:
            tail_ms = target_ms * RISK_SHARE
            limit = self.interference.pressure(serving, tail_ms, target_ms)
            self._limits[key] = limit
        return limit


def _percent_used(free: int, capacity: int) -> int:
    return PERCENT - free * PERCENT // capacity if capacity > 0 else PERCENT
