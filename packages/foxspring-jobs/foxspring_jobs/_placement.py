"""Which tasks start now, and where: pure functions of the state and the time.

Load pattern: a wave of wide steps comes beside short urgent ones and lasting
services. Jobs that can still meet their aim go first, by slack, within their
priority; what can't meet it any more waits for what can. Tasks with a latency
target are packed by image, and fills go where they lengthen no tail and find
processor time that is left.
"""

from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from foxspring_model import Resources

from foxspring_jobs._commands import RunKey, RunStart, TargetLife, TaskKey
from foxspring_jobs._interference import CORE, FIRST_QUIET, Interference
from foxspring_jobs._specs import StepSpec
from foxspring_jobs._state import JobState, State, TargetState

LATE_FACTOR = 3
PERCENT = 100
RISK_SHARE = 0.85
OWN_MARGIN = 0.10
HALF_PERCENT = 50
SHORT_WORK_PERCENT = 7
SERVING_USE_PERCENT = 45
LEAST_LIMIT = 0.01
StepPlace = tuple[str, int, int]
Score = tuple[float, ...]


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

    def take(self, task: TaskKey, step: StepSpec, sign: int = 1) -> None:
        """Count a start of this plan; ``sign`` -1 undoes it."""
        self.started += sign
        self.expected = []
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
        self, task: TaskKey, step: StepSpec, reserved: Resources, service: str
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
        return not bound or self.held_of(step_place(task)) < bound

    def places(self, task: TaskKey, step: StepSpec, reserved: Resources) -> int:
        """Return how many tasks of a step would fit here by size and bound."""
        sizes = [
            have // need
            for have, need in zip(self.free, reserved, strict=True)
            if need > 0
        ]
        fitting = max(0, min(sizes, default=0))
        bound = step.max_per_target
        if bound:
            fitting = min(fitting, max(0, bound - self.held_of(step_place(task))))
        return fitting

    def keeps_reserve(self, reserved: Resources) -> bool:
        """Tell whether short work would still find room beside a lasting task."""
        capacity = self.target.registered.capacity.cores_milli
        left = self.free.cores_milli - reserved.cores_milli
        return left * PERCENT >= capacity * SHORT_WORK_PERCENT

    def serving_images(self) -> frozenset[str]:
        """Return the images of the tasks with a latency target here."""
        return frozenset(
            image for (image, _), count in self.serving.items() if count > 0
        )

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


class Waiting(NamedTuple):
    """A step with tasks to start; sorts as it should be served."""

    priority: int
    lateness: int
    slack_ms: int
    job_id: str
    occurrence: int
    step: int

    def place(self) -> StepPlace:
        """Return which step of which occurrence waits."""
        return self.job_id, self.occurrence, self.step


def chain_ms(job: JobState, occurrence: int) -> int:
    """Return the estimated longest chain of steps that are not done."""
    steps = job.occurrences[occurrence]
    lengths: list[int] = []
    for spec, step in zip(job.spec.steps, steps, strict=True):
        before = max((lengths[n] for n in spec.after), default=0)
        lengths.append(before + (spec.estimated_ms if step.undone else 0))
    return max(lengths)


def aim_ms(job: JobState) -> int:
    """Return how long after its beginning a job should be completed."""
    stretched = int(job.queue.stretch_factor * job.spec.longest_chain_ms())
    return stretched + job.queue.latency_target_ms


def began_ms(job: JobState, occurrence: int) -> int:
    """Return the wall time that an occurrence's aim is counted from."""
    if job.spec.is_timed():
        return job.spec.first_due_ms + occurrence * job.spec.interval_ms
    return job.submitted_ms


def waiting_steps(state: State, wall_ms: int) -> list[Waiting]:
    """Return the steps that may start tasks, in the order to serve them."""
    found: list[Waiting] = []
    for job in state.active.values():
        for occurrence, steps in job.occurrences.items():
            if any(step.idle for step in steps):
                found += _waiting_of(job, occurrence, wall_ms)
    return sorted(found)


def _waiting_of(job: JobState, occurrence: int, wall_ms: int) -> Iterator[Waiting]:
    aim = aim_ms(job)
    age_ms = wall_ms - began_ms(job, occurrence)
    rest_ms = chain_ms(job, occurrence)
    slack_ms = aim - age_ms - rest_ms
    late_slack_ms = LATE_FACTOR * aim - age_ms - rest_ms
    lateness = 0 if slack_ms >= 0 else (1 if late_slack_ms >= 0 else 2)
    if job.spec.lasts():
        # Short work goes first: it gives its room back soon.
        lateness = 1
    for number, step in enumerate(job.occurrences[occurrence]):
        if step.idle and job.step_is_ready(occurrence, number):
            yield Waiting(
                job.queue.priority,
                lateness,
                slack_ms,
                job.job_id,
                occurrence,
                number,
            )


Allowed = Mapping[StepPlace, frozenset[str]]


class Planner:
    """One plan over the rooms that may start something now."""

    def __init__(
        self,
        state: State,
        rooms: Iterable[Room],
        table: Interference,
        allowed: Allowed | None = None,
    ) -> None:
        self.state = state
        self.rooms = list(rooms)
        self.effects = Effects(table)
        self.allowed = allowed or {}
        self.busy = _is_busy(self.rooms)
        self.blocked_fills: dict[tuple[str, str], int] = {}

    def plan(self, steps: Iterable[Waiting]) -> list[RunStart]:
        """Return the starts to commit now for steps in their order."""
        starts: list[RunStart] = []
        blocked: set[tuple[str, StepSpec]] = set()
        for waiting in steps:
            job = self.state.active[waiting.job_id]
            step = job.spec.steps[waiting.step]
            kind = (job.queue.service, step._replace(task_count=0, after=()))
            if kind in blocked:
                continue
            rooms = self._usable_rooms(job, waiting)
            if step.gang:
                planned = self._plan_gang(job, waiting, step, rooms)
            else:
                planned = self._plan_tasks(job, waiting, step, rooms)
            starts += planned
            bounded = step.max_per_target or step.gang or step.fills
            if not planned and rooms is self.rooms and not bounded:
                blocked.add(kind)
        return starts

    def plan_copies(self, overdue: Iterable[RunKey]) -> list[RunStart]:
        """Return second runs, on other targets, of tasks that have only one."""
        starts: list[RunStart] = []
        for run in overdue:
            job = self.state.active.get(run.task.job_id)
            task = self.state.task(run.task)
            if job is None or task is None or task.done or len(task.runs) != 1:
                continue
            held = next(iter(task.runs.values()))
            others = [r for r in self.rooms if r.target.life != held]
            step = job.spec.steps[run.task.step]
            room = self._choose(run.task, step, job, others, patient=True)
            if room is not None and not room.probation:
                room.take(run.task, step)
                number = task.last_run + 1
                starts.append(RunStart(RunKey(run.task, number), room.target.life))
        return starts

    def candidates(self, job: JobState, waiting: Waiting) -> list[TargetLife]:
        """Return the targets with room for a step's task, best first."""
        step = job.spec.steps[waiting.step]
        task = TaskKey(*waiting.place(), 0)
        reserved = step.reserved()
        service = job.queue.service
        scored = [
            (self._score(room, step, False), room.target.life)
            for room in self.rooms
            if room.accepts(task, step, reserved, service)
        ]
        return [life for _, life in sorted(scored)]

    def has_place(self, task: TaskKey, step: StepSpec, job: JobState) -> bool:
        """Tell whether a task would find a good target, and count it there."""
        room = self._choose(task, step, job, self.rooms, patient=True)
        if room is not None:
            room.take(task, step)
        return room is not None

    def _usable_rooms(self, job: JobState, waiting: Waiting) -> list[Room]:
        if not job.queue.needs_advice():
            return self.rooms
        names = self.allowed.get(waiting.place(), frozenset())
        return [room for room in self.rooms if room.target.life.target_id in names]

    def _plan_tasks(
        self, job: JobState, waiting: Waiting, step: StepSpec, rooms: list[Room]
    ) -> list[RunStart]:
        starts: list[RunStart] = []
        steps = job.occurrences[waiting.occurrence]
        fill_kind = (job.queue.service, step.image)
        cores = step.resources.cores_milli
        if step.fills and cores >= self.blocked_fills.get(fill_kind, cores + 1):
            return []
        running = any(s.running for s in steps)
        for index, task in enumerate(steps[waiting.step].tasks):
            if task.done or task.runs:
                continue
            key = TaskKey(waiting.job_id, waiting.occurrence, waiting.step, index)
            # While half of all is free, a job gets one task whatever it costs.
            patient = self.busy or running or bool(starts)
            room = self._choose(key, step, job, rooms, patient)
            if room is None:
                if step.fills and rooms is self.rooms:
                    self.blocked_fills[fill_kind] = cores
                break
            room.take(key, step)
            starts.append(RunStart(RunKey(key, task.last_run + 1), room.target.life))
        return starts

    def _plan_gang(
        self, job: JobState, waiting: Waiting, step: StepSpec, rooms: list[Room]
    ) -> list[RunStart]:
        tasks = job.occurrences[waiting.occurrence][waiting.step].tasks
        if any(task.runs for task in tasks):
            return []
        number = max(task.last_run for task in tasks) + 1
        for group in _gang_groups(step, rooms):
            placed: list[tuple[TaskKey, Room]] = []
            for index in range(len(tasks)):
                key = TaskKey(waiting.job_id, waiting.occurrence, waiting.step, index)
                room = self._choose(key, step, job, group, patient=False)
                if room is None:
                    break
                room.take(key, step)
                placed.append((key, room))
            if len(placed) == len(tasks):
                return [RunStart(RunKey(k, number), r.target.life) for k, r in placed]
            for key, room in placed:
                room.take(key, step, sign=-1)
        return []

    def _choose(
        self,
        task: TaskKey,
        step: StepSpec,
        job: JobState,
        rooms: list[Room],
        patient: bool,
    ) -> Room | None:
        if step.lasting:
            rooms = self._rooms_for_lasting(task, step, job, rooms)
        best = None
        best_score: Score = ()
        failed_before = bool(self._attempts(job, task))
        reserved = step.reserved()
        for room in rooms:
            if not room.accepts(task, step, reserved, job.queue.service):
                continue
            score = self._score(room, step, failed_before)
            if best is None or score < best_score:
                best, best_score = room, score
        if best is None or not step.fills or not patient:
            return best
        # The second and third of a fill's score: too risky, too crowded.
        return None if best_score[1] or best_score[2] else best

    def _rooms_for_lasting(
        self, task: TaskKey, step: StepSpec, job: JobState, rooms: list[Room]
    ) -> list[Room]:
        """Return the targets that keep room for short work, if that suffices.

        A task that lasts does not stay idle while two of it would fit.
        """
        reserved = step.reserved()
        service = job.queue.service
        fitting = [r for r in rooms if r.accepts(task, step, reserved, service)]
        sparing = [room for room in fitting if room.keeps_reserve(reserved)]
        if sparing:
            return sparing
        places = sum(room.places(task, step, reserved) for room in fitting)
        return fitting if places > 1 else []

    def _attempts(self, job: JobState, task: TaskKey) -> int:
        return job.occurrences[task.occurrence][task.step].tasks[task.ordinal].attempts

    def _score(self, room: Room, step: StepSpec, failed_before: bool) -> Score:
        rack = room.target.registered.rack
        far = bool(step.data_rack) and rack != step.data_rack
        # A task that has failed must not meet a doubtful target again.
        doubt = room.probation * (2 if failed_before else 1)
        cores = step.resources.cores_milli
        spare = room.spare_cores()
        if step.latency_target_ms:
            return (doubt, self._serving_risk(room, step), *self._packing(room, step))
        if step.fills:
            risk = room.risk(self.effects, step.image, cores)
            # Harmless fills leave the targets that bear all others free.
            hostility = self.effects.hostility(room.serving_images())
            crowded = spare < cores
            return (doubt, risk > 1, crowded, far, risk > 0, -hostility, -spare)
        return (doubt, far, -spare)

    def _serving_risk(self, room: Room, step: StepSpec) -> bool:
        effects = self.effects
        expected = effects.quiet(step.image)
        for fill, cores in room.fills.items():
            expected += effects.of(step.image, fill) * cores
        return expected > effects.limit(step.image, step.latency_target_ms)

    def _packing(self, room: Room, step: StepSpec) -> Score:
        images = room.serving_images()
        more = images | {step.image}
        spoilt = self.effects.hostility(more) - self.effects.hostility(images)
        return len(more), spoilt, -room.used_percent()


def _is_busy(rooms: list[Room]) -> bool:
    capacity = sum(r.target.registered.capacity.cores_milli for r in rooms)
    free = sum(max(0, room.free.cores_milli) for room in rooms)
    return free * PERCENT < capacity * HALF_PERCENT


def _gang_groups(step: StepSpec, rooms: list[Room]) -> Iterator[list[Room]]:
    if step.one_rack:
        racks: dict[str, list[Room]] = {}
        for room in rooms:
            racks.setdefault(room.target.registered.rack, []).append(room)
        preferred = racks.pop(step.data_rack, None)
        if preferred is not None:
            yield preferred
        yield from sorted(racks.values(), key=_free_cores, reverse=True)
    yield rooms


def _free_cores(rooms: list[Room]) -> int:
    return sum(room.free.cores_milli for room in rooms)
