"""Which waiting tasks start now, and where: pure functions of the state.

Load pattern: a wave of wide steps comes beside short urgent ones and lasting
services. Tasks with a latency target are packed by image, and fills go where they
lengthen no tail and find processor time that is left.
"""

from collections.abc import Iterable, Iterator, Mapping

from foxspring_jobs._commands import RunKey, RunStart, TargetLife, TaskKey
from foxspring_jobs._interference import Interference
from foxspring_jobs._ranking import Ranking, Score
from foxspring_jobs._rooms import PERCENT, Effects, Room, StepPlace, step_place
from foxspring_jobs._specs import StepSpec
from foxspring_jobs._state import JobState, State, StepState, TaskState
from foxspring_jobs._waiting import Waiting

HALF_PERCENT = 50
SUSPECT_FAILURES = 2
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
        reserved = step.reserved()
        service = job.queue.service
        scored = [
            (self._score(room, step), room.target.life)
            for room in self.rooms
            if room.accepts(waiting.place(), step, reserved, service)
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
        ranking = self._rank(waiting.place(), step, job, rooms)
        for index, task in startable_tasks(steps[waiting.step], step):
            # While half of all is free, a job gets one task whatever it costs.
            patient = self.busy or running or bool(starts)
            room = self._pick(ranking, waiting.place(), step, patient)
            if room is None:
                if step.fills and rooms is self.rooms:
                    self.blocked_fills[fill_kind] = cores
                break
            key = TaskKey(*waiting.place(), index)
            room.take(key, step)
            ranking.rescore_best()
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
        place = step_place(task)
        return self._pick(self._rank(place, step, job, rooms), place, step, patient)

    def _rank(
        self, place: StepPlace, step: StepSpec, job: JobState, rooms: list[Room]
    ) -> Ranking:
        reserved = step.reserved()
        service = job.queue.service

        def accepts(room: Room) -> bool:
            return room.accepts(place, step, reserved, service)

        def score(room: Room) -> Score:
            return self._score(room, step)

        def score_lasting(room: Room) -> Score:
            return (not room.keeps_reserve(reserved), *self._score(room, step))

        return Ranking(rooms, accepts, score_lasting if step.lasting else score)

    def _pick(
        self, ranking: Ranking, place: StepPlace, step: StepSpec, patient: bool
    ) -> Room | None:
        """Return the target for one more task of a step, or none for now.

        A task that lasts leaves room for short work, unless it would stay idle
        while two of it fit. A fill waits for a target that is neither too risky
        nor too crowded, if it may be ``patient``.
        """
        best = ranking.best()
        if best is None:
            return None
        room, score = best
        if step.lasting and score[0]:
            reserved = step.reserved()
            places = sum(r.places(place, step, reserved) for r in ranking.rooms())
            return room if places > 1 else None
        if step.fills and patient:
            _, too_risky, crowded, *_ = score
            return None if too_risky or crowded else room
        return room

    def _score(self, room: Room, step: StepSpec) -> Score:
        rack = room.target.registered.rack
        far = bool(step.data_rack) and rack != step.data_rack
        doubt = room.probation
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


def startable_tasks(state: StepState, step: StepSpec) -> list[tuple[int, TaskState]]:
    """Return the tasks of a step to start now, with their numbers.

    Load pattern: jobs come that can never be done, some of them wide. Where some
    tasks have failed and none was done, one is tried at a time, the one nearest to
    its last attempt first, until one is done or the job has failed.
    """
    idle = [
        (index, task)
        for index, task in enumerate(state.tasks)
        if not task.done and not task.runs
    ]
    failed = sum(task.attempts > 0 for task in state.tasks)
    done = state.undone < len(state.tasks)
    if step.lasting or done or failed < SUSPECT_FAILURES or not idle:
        return idle
    if state.running:
        return []
    return [max(idle, key=lambda numbered: numbered[1].attempts)]


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
