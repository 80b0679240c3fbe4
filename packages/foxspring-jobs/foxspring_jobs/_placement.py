"""Which tasks start now, and where: pure functions of the state and the time.

Load pattern: a wave of wide steps comes beside short urgent ones and lasting
services. Jobs that can still meet their aim go first, by slack, within their
priority; what can't meet it any more waits for what can. Filling work keeps
away from tasks with a latency target, since it lengthens their tail.
"""

from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from foxspring_jobs._commands import RunKey, RunStart, TaskKey
from foxspring_jobs._specs import StepSpec
from foxspring_jobs._state import JobState, State, TargetState

LATE_FACTOR = 3
PERCENT = 100


class Room:
    """A target as the planner sees it; starts of the same plan count."""

    def __init__(
        self, target: TargetState, probation: bool = False, limit: int = 0
    ) -> None:
        self.target = target
        self.free = target.free()
        self.probation = probation
        self.limit = limit
        self.started = 0
        self.serving = 0
        self.filling = 0
        self.of_step: dict[tuple[str, int, int], int] = {}
        for run, step in target.runs.items():
            self._count(run.task, step)

    def _count(self, task: TaskKey, step: StepSpec) -> None:
        if step.latency_target_ms:
            self.serving += 1
        if step.fills:
            self.filling += 1
        place = (task.job_id, task.occurrence, task.step)
        self.of_step[place] = self.of_step.get(place, 0) + 1

    def take(self, task: TaskKey, step: StepSpec) -> None:
        """Count a start of this plan."""
        self.started += 1
        self.free = self.free.minus(step.reserved())
        self._count(task, step)

    def give_back(self, task: TaskKey, step: StepSpec) -> None:
        """Undo :meth:`take`."""
        self.started -= 1
        self.free = self.free.plus(step.reserved())
        self.serving -= bool(step.latency_target_ms)
        self.filling -= step.fills
        self.of_step[(task.job_id, task.occurrence, task.step)] -= 1

    def accepts(self, task: TaskKey, step: StepSpec, service: str) -> bool:
        """Tell whether one more task of a step may start here."""
        registered = self.target.registered
        if registered.service != service or registered.draining:
            return False
        if self.limit and self.started >= self.limit:
            return False
        if step.required_label and step.required_label not in registered.labels:
            return False
        place = (task.job_id, task.occurrence, task.step)
        bound = step.max_per_target
        if bound and self.of_step.get(place, 0) >= bound:
            return False
        return step.reserved().fits_in(self.free)

    def used_percent(self) -> int:
        """Return the fullest of cores and memory."""
        capacity = self.target.registered.capacity
        return max(
            _percent_used(self.free.cores_milli, capacity.cores_milli),
            _percent_used(self.free.memory_mb, capacity.memory_mb),
        )


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


def chain_ms(job: JobState, occurrence: int) -> int:
    """Return the estimated longest chain of steps that are not done."""
    steps = job.occurrences[occurrence]
    lengths: list[int] = []
    for spec, step in zip(job.spec.steps, steps, strict=True):
        before = max((lengths[n] for n in spec.after), default=0)
        lengths.append(before + (spec.estimated_ms if step.undone else 0))
    return max(lengths)


def _whole_chain_ms(job: JobState) -> int:
    lengths: list[int] = []
    for spec in job.spec.steps:
        before = max((lengths[n] for n in spec.after), default=0)
        lengths.append(before + spec.estimated_ms)
    return max(lengths)


def aim_ms(job: JobState) -> int:
    """Return how long after its beginning a job should be completed."""
    stretched = int(job.queue.stretch_factor * _whole_chain_ms(job))
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
        for occurrence in job.occurrences:
            found += _waiting_of(job, occurrence, wall_ms)
    return sorted(found)


def _waiting_of(job: JobState, occurrence: int, wall_ms: int) -> Iterator[Waiting]:
    steps = job.occurrences[occurrence]
    if all(step.undone == 0 for step in steps):
        return
    aim = aim_ms(job)
    age_ms = wall_ms - began_ms(job, occurrence)
    rest_ms = chain_ms(job, occurrence)
    slack_ms = aim - age_ms - rest_ms
    late_slack_ms = LATE_FACTOR * aim - age_ms - rest_ms
    lateness = 0 if slack_ms >= 0 else (1 if late_slack_ms >= 0 else 2)
    if job.spec.lasts():
        lateness = 0
    for number, step in enumerate(steps):
        idle = any(not task.done and not task.runs for task in step.tasks)
        if idle and job.step_is_ready(occurrence, number):
            yield Waiting(
                job.queue.priority,
                lateness,
                slack_ms,
                job.job_id,
                occurrence,
                number,
            )


def plan_starts(
    state: State, rooms: Iterable[Room], wall_ms: int, allowed: "Allowed | None" = None
) -> list[RunStart]:
    """Return the starts to commit now, in order."""
    held = list(rooms)
    starts: list[RunStart] = []
    blocked: set[tuple[str, StepSpec]] = set()
    for waiting in waiting_steps(state, wall_ms):
        job = state.active[waiting.job_id]
        step = job.spec.steps[waiting.step]
        kind = (job.queue.service, step._replace(count=0, after=()))
        if kind in blocked:
            continue
        usable = _allowed_rooms(job, waiting, held, allowed)
        planned, complete = _plan_step(job, waiting, step, usable)
        starts += planned
        if not complete and usable is held and not step.max_per_target:
            blocked.add(kind)
    return starts


Allowed = Mapping[tuple[str, int, int], frozenset[str]]


def _allowed_rooms(
    job: JobState, waiting: Waiting, rooms: list[Room], allowed: Allowed | None
) -> list[Room]:
    if allowed is None or not job.queue.needs_advice():
        return rooms
    names = allowed.get((waiting.job_id, waiting.occurrence, waiting.step), frozenset())
    return [room for room in rooms if room.target.life.target_id in names]


def _plan_step(
    job: JobState, waiting: Waiting, step: StepSpec, rooms: list[Room]
) -> tuple[list[RunStart], bool]:
    if step.gang:
        return _plan_gang(job, waiting, step, rooms)
    starts: list[RunStart] = []
    tasks = job.occurrences[waiting.occurrence][waiting.step].tasks
    for index, task in enumerate(tasks):
        if task.done or task.runs:
            continue
        key = TaskKey(waiting.job_id, waiting.occurrence, waiting.step, index)
        room = choose_room(key, step, job.queue.service, rooms, task.attempts)
        if room is None:
            return starts, False
        room.take(key, step)
        starts.append(RunStart(RunKey(key, task.last_run + 1), room.target.life))
    return starts, True


def _plan_gang(
    job: JobState, waiting: Waiting, step: StepSpec, rooms: list[Room]
) -> tuple[list[RunStart], bool]:
    tasks = job.occurrences[waiting.occurrence][waiting.step].tasks
    if any(task.runs for task in tasks):
        return [], True
    number = max(task.last_run for task in tasks) + 1
    for group in _gang_groups(step, rooms):
        placed: list[tuple[TaskKey, Room]] = []
        for index in range(len(tasks)):
            key = TaskKey(waiting.job_id, waiting.occurrence, waiting.step, index)
            room = choose_room(key, step, job.queue.service, group, 0)
            if room is None:
                break
            room.take(key, step)
            placed.append((key, room))
        if len(placed) == len(tasks):
            return [
                RunStart(RunKey(key, number), room.target.life) for key, room in placed
            ], True
        for key, room in placed:
            room.give_back(key, step)
    return [], False


def _gang_groups(step: StepSpec, rooms: list[Room]) -> Iterator[list[Room]]:
    if step.one_rack:
        racks: dict[str, list[Room]] = {}
        for room in rooms:
            racks.setdefault(room.target.registered.rack, []).append(room)
        preferred = racks.pop(step.data_rack, None)
        if preferred is not None:
            yield preferred
        yield from sorted(racks.values(), key=lambda r: -_free_cores(r))
    yield rooms


def _free_cores(rooms: list[Room]) -> int:
    return sum(room.free.cores_milli for room in rooms)


def choose_room(
    task: TaskKey, step: StepSpec, service: str, rooms: list[Room], attempts: int
) -> Room | None:
    """Return the best target for one task, or none if it fits nowhere."""
    best = None
    best_score: tuple[int, ...] = ()
    for room in rooms:
        if not room.accepts(task, step, service):
            continue
        score = _score(room, step, attempts)
        if best is None or score < best_score:
            best, best_score = room, score
    return best


def _score(room: Room, step: StepSpec, attempts: int) -> tuple[int, ...]:
    far = int(bool(step.data_rack) and room.target.registered.rack != step.data_rack)
    # A task that has failed must not meet a doubtful target again.
    doubt = int(room.probation) * (2 if attempts else 1)
    used = room.used_percent()
    if step.latency_target_ms:
        return (doubt, room.filling, room.serving, far, used)
    if step.fills:
        return (doubt, room.serving, far, room.filling, used)
    return (doubt, far, used, room.filling)
