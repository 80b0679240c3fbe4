"""Targets as a plan sees them: what is free, and what more work would do there."""

from collections.abc import Mapping

from foxspring_model import Resources

from foxspring_jobs._commands import TaskKey
from foxspring_jobs._interference import CORE, FIRST_QUIET, Interference
from foxspring_jobs._specs import StepSpec
from foxspring_jobs._state import TargetState

PERCENT = 100
RISK_SHARE = 0.85
OWN_MARGIN = 0.10
SHORT_WORK_PERCENT = 7
SERVING_USE_PERCENT = 45
LEAST_LIMIT = 0.01
StepPlace = tuple[str, int, int]


def step_place(task: TaskKey) -> StepPlace:
    """Return which step of which occurrence a task belongs to."""
    return task.job_id, task.occurrence, task.step


class Room:
    """A target as the planner sees it; starts of the same plan count.

    ``own`` is the highest own pressure of each serving image, ``paced`` the
    thousandths of cores that paced fills of each image do without. Nothing is
    filled in while the newest look shows a task ``pressed``, over its target.
    """

    def __init__(
        self,
        target: TargetState,
        probation: bool = False,
        limit: int = 0,
        own: Mapping[str, float] | None = None,
        paced: Mapping[str, int] | None = None,
    ) -> None:
        self.own = own or {}
        self.target = target
        self.free = target.free()
        self.probation = probation
        self.limit = limit
        self.started = 0
        self.pressed = False
        self.serving = dict(target.serving)
        self.fills = dict(target.fills)
        self.fill_cores = sum(self.fills.values())
        self.serving_cores = target.serving_cores
        self.of_step: dict[StepPlace, int] = {}
        for image, cores in (paced or {}).items():
            self.fills[image] = self.fills.get(image, 0) - cores
            self.fill_cores -= cores
        self.expected: list[tuple[str, float, float]] = []
        self._images: frozenset[str] | None = None

    def take(self, task: TaskKey, step: StepSpec, sign: int = 1) -> None:
        """Count a start of this plan; ``sign`` -1 undoes it."""
        self.started += sign
        self.expected = []
        self._images = None
        reserved = step.reserved()
        if sign > 0:
            self.free = self.free.minus(reserved)
        else:
            self.free = self.free.plus(reserved)
        cores = sign * step.resources.cores_milli
        if step.latency_target_ms:
            key = (step.image, step.latency_target_ms)
            self.serving[key] = self.serving.get(key, 0) + sign
            self.serving_cores += cores
        if step.fills:
            self.fills[step.image] = self.fills.get(step.image, 0) + cores
            self.fill_cores += cores
        place = step_place(task)
        self.of_step[place] = self.of_step.get(place, 0) + sign

    def accepts(
        self, place: StepPlace, step: StepSpec, reserved: Resources, service: str
    ) -> bool:
        """Tell whether one more task of a step may start here."""
        if not reserved.fits_in(self.free):
            return False
        registered = self.target.registered
        if registered.service != service or registered.draining:
            return False
        if self.limit and self.started >= self.limit:
            return False
        if step.required_label and step.required_label not in registered.labels:
            return False
        if step.fills and self.pressed:
            return False
        bound = step.max_per_target
        return not bound or self.held_of(place) < bound

    def places(self, place: StepPlace, step: StepSpec, reserved: Resources) -> int:
        """Return how many tasks of a step would fit here by size and bound."""
        sizes = [
            have // need
            for have, need in zip(self.free, reserved, strict=True)
            if need > 0
        ]
        fitting = max(0, min(sizes, default=0))
        bound = step.max_per_target
        if bound:
            fitting = min(fitting, max(0, bound - self.held_of(place)))
        return fitting

    def keeps_reserve(self, reserved: Resources) -> bool:
        """Tell whether short work would still find room beside a lasting task."""
        capacity = self.target.registered.capacity.cores_milli
        left = self.free.cores_milli - reserved.cores_milli
        return left * PERCENT >= capacity * SHORT_WORK_PERCENT

    def serving_images(self) -> frozenset[str]:
        """Return the images of the tasks with a latency target here."""
        if self._images is None:
            self._images = frozenset(
                image for (image, _), count in self.serving.items() if count > 0
            )
        return self._images

    def held_of(self, place: StepPlace) -> int:
        """Return how many tasks of a step are here."""
        return self.target.of_step.get(place, 0) + self.of_step.get(place, 0)

    def spare_cores(self) -> int:
        """Return the thousandths of cores that nothing is expected to use.

        Tasks with a latency target use only a part of what they reserve.
        """
        unused = self.serving_cores * (PERCENT - SERVING_USE_PERCENT) // PERCENT
        return self.free.cores_milli + unused - self.fill_cores

    def used_percent(self) -> int:
        """Return the fullest of cores and memory."""
        capacity = self.target.registered.capacity
        return max(
            _percent_used(self.free.cores_milli, capacity.cores_milli),
            _percent_used(self.free.memory_mb, capacity.memory_mb),
        )

    def risk(self, effects: "Effects", image: str, cores: int) -> float:
        """Return the highest pressure to expect, as a share of what is allowed.

        ``image`` is a fill that would come with ``cores`` more.
        """
        if not self.serving:
            return 0.0
        if not self.expected:
            self._expect(effects)
        worst = 0.0
        for serving, held, limit in self.expected:
            added = effects.of(serving, image) * cores
            # What adds nothing is welcome also beside a task that is loaded.
            if added:
                worst = max(worst, (held + added) / limit)
        return worst

    def _expect(self, effects: "Effects") -> None:
        for (serving, target_ms), count in self.serving.items():
            if count <= 0:
                continue
            held = self.own.get(serving, effects.quiet(serving)) + OWN_MARGIN
            for fill, cores in self.fills.items():
                held += effects.of(serving, fill) * cores
            limit = effects.limit(serving, target_ms)
            self.expected.append((serving, held, max(limit, LEAST_LIMIT)))


class Effects:
    """What one plan needs of the interference learnt, looked up once."""

    def __init__(self, table: Interference) -> None:
        self.table = table
        self._per_milli: dict[tuple[str, str], float] = {}
        self._fills = sorted(table.fill_images())
        self._hostility: dict[frozenset[str], float] = {}

    def of(self, serving: str, fill: str) -> float:
        """Return what a thousandth of a core of a fill is taken to add."""
        effect = self._per_milli.get((serving, fill))
        if effect is None:
            effect = self.table.effect(serving, fill) / CORE
            self._per_milli[serving, fill] = effect
        return effect

    def hostility(self, serving: frozenset[str]) -> float:
        """Return how badly serving images together bear fills of any image."""
        held = self._hostility.get(serving)
        if held is None:
            held = sum(
                max((self.of(image, fill) for image in serving), default=0.0)
                for fill in self._fills
            )
            self._hostility[serving] = held
        return held

    def quiet(self, serving: str) -> float:
        """Return a serving image's usual pressure without fills."""
        return self.table.quiet.get(serving, FIRST_QUIET)

    def limit(self, serving: str, target_ms: int) -> float:
        """Return the pressure that a plan may expect at most."""
        return self.table.pressure(serving, target_ms * RISK_SHARE, target_ms)


def _percent_used(free: int, capacity: int) -> int:
    return PERCENT - free * PERCENT // capacity if capacity > 0 else PERCENT
