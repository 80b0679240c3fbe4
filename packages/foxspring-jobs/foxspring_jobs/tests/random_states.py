"""Random series of commands, with odd but accepted values, and the states they make."""

import random
from collections.abc import Callable
from typing import Any

import msgspec
from foxspring_model import MAX_AMOUNT, MAX_INT64, Resources

from foxspring_jobs._commands import (
    Advance,
    CancelJob,
    RegisterTarget,
    ReplaceTable,
    RunEnd,
    RunKey,
    RunStart,
    SubmitJob,
    TargetIncarnation,
    TargetLoss,
    TaskKey,
)
from foxspring_jobs._due_occurrences import OpenLimits, due_occurrences
from foxspring_jobs._specs import (
    MAX_TASKS_PER_OCCURRENCE,
    JobSpec,
    Queue,
    QueueTable,
    ServicePool,
    StepSpec,
    job_problem,
)
from foxspring_jobs._state import EndKind, JobState, State

DAY_MS = 86_400_000
TARGET_IDS = tuple(f"t{n}" for n in range(12))
SERVICES = ("pool", "other", "gone")
ODD_AMOUNTS = (0, 1, 500, 1_000, 4_000, MAX_AMOUNT)
ODD_TIMES_MS = (0, 1, DAY_MS, -DAY_MS, 4_000 * DAY_MS, MAX_INT64, -MAX_INT64)
ODD_COUNTS = (1, 1, 2, 3, 7, 300)
UNLIMITED = OpenLimits(2**63, 2**63)
MAX_OPENED = 3
SMALL_TASK = Resources(cores_milli=500, memory_mb=50)
# As large as the users' largest one.
LARGE_TABLE_ROUTES = 1_400
LARGE_TABLE_BYTES = 250_000


class RandomStates:
    """A state that random commands change; what they name may be gone or unknown."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.state = State()
        self.at_ms = self.rng.choice((0, DAY_MS, 20_000 * DAY_MS))
        self.table_version = 0
        self.job_number = 0
        self.apply(self.table())

    def apply(self, command: Any) -> None:
        """Apply a command as the log does, at a clock that may be set back."""
        self.at_ms += self.rng.choice((0, 20, 700, 4_000, 130_000, -3_000))
        self.state.apply(command, self.at_ms)
        self.state.obsolete_runs.clear()
        self.state.given_up.clear()

    def command(self) -> Any:
        """Return a random command."""
        makers: tuple[tuple[int, Callable[[], Any]], ...] = (
            (1, self.table),
            (6, self.submission),
            (1, self.cancellation),
            (6, self.registration),
            (24, self.advance),
        )
        weights, choices = zip(*makers, strict=True)
        return self.rng.choices(choices, weights)[0]()

    def table(self) -> ReplaceTable:
        """Return a configuration, some of whose queues were in no earlier one."""
        self.table_version += 1
        names = self.rng.sample(("a", "b", "c", "d"), self.rng.randint(1, 4))
        document = b"{}"
        if self.rng.random() < 0.05:
            names += [f"q{number}" for number in range(LARGE_TABLE_ROUTES - len(names))]
            document = b"x" * LARGE_TABLE_BYTES
        queues = tuple(self.queue(name) for name in names)
        pools = tuple(ServicePool(name) for name in SERVICES[:2])
        return ReplaceTable(QueueTable(self.table_version, queues, pools, document))

    def queue(self, name: str) -> Queue:
        """Return a queue."""
        rng = self.rng
        return Queue(
            name,
            "jobs.example",
            f"/{name}/",
            rng.choice(SERVICES),
            rng.choice((1, 3_000, MAX_INT64)),
            rng.choice((0, 250, MAX_AMOUNT)),
            rng.choice((0, 5, -MAX_INT64, MAX_INT64)),
            rng.choice((1, 2, MAX_INT64)),
            rng.choice((1.0, 0.0, -1_000.0, 1_000.0, 1.5)),
            rng.choice((-1, -1, 0, 40, MAX_AMOUNT)),
            rng.choice((0, MAX_AMOUNT)),
            rng.choice((0, 5_000, MAX_AMOUNT)),
        )

    def submission(self) -> SubmitJob:
        """Return an acceptable job, now and then one that is known."""
        self.job_number += self.rng.random() < 0.95
        while True:
            job = self.job()
            if not job_problem(job):
                name = self.rng.choice(("a", "b", "c", "d", "e"))
                return SubmitJob(f"{self.job_number:016x}", self.queue(name), job)

    def job(self) -> JobSpec:
        """Return a job, which need not be acceptable."""
        rng = self.rng
        steps = tuple(self.step(number) for number in range(rng.choice((1, 1, 2, 4))))
        timed = rng.random() < 0.3
        return JobSpec(
            rng.choice(("", "payload", "\N{SNOWMAN}" * 1_300)),
            steps,
            rng.choice((1, 3, MAX_INT64)) if timed else 0,
            rng.choice((*ODD_TIMES_MS, self.at_ms)) if timed else 0,
            rng.choice((0, 1, 60_000, MAX_AMOUNT)),
        )

    def step(self, number: int) -> StepSpec:
        """Return a step."""
        rng = self.rng
        odd = Resources(
            cores_milli=rng.choice(ODD_AMOUNTS), memory_mb=rng.choice(ODD_AMOUNTS)
        )
        widest = MAX_TASKS_PER_OCCURRENCE // 4
        return StepSpec(
            rng.choice((*ODD_COUNTS, widest)) if rng.random() < 0.1 else 2,
            odd if rng.random() < 0.3 else SMALL_TASK,
            rng.choice(ODD_AMOUNTS),
            tuple(rng.randrange(number) for _ in range(rng.randint(0, number))),
            rng.random() < 0.2,
            rng.random() < 0.1,
            rng.choice(("", "", "", "label")),
            rng.choice(("", "", "rack-1")),
            rng.choice((0, 0, 1, MAX_INT64)),
            rng.random() < 0.2,
            rng.random() < 0.2,
            rng.random() < 0.3,
            rng.choice(("", "image-1", "image-2")),
            rng.choice((0, 0, 40, MAX_AMOUNT, -1)),
            rng.random() < 0.2,
            rng.choice((0, 3, MAX_INT64)),
        )

    def cancellation(self) -> CancelJob:
        """Return the cancellation of a job, which may have ended or be unknown."""
        return CancelJob(self.job_id())

    def job_id(self) -> str:
        """Return the id of a job, which may be unknown."""
        return f"{self.rng.randint(0, self.job_number):016x}"

    def registration(self) -> RegisterTarget:
        """Return a registration; the incarnation may be older or draining."""
        rng = self.rng
        cores = rng.choice((4_000, 4_000, 4_000, *ODD_AMOUNTS))
        return RegisterTarget(
            TargetIncarnation(rng.choice(TARGET_IDS), rng.choice((0, 1, 2, 3, 4))),
            f"10.0.0.{rng.randint(1, 100)}:80",
            rng.choice(("pool", "pool", "other", "gone")),
            rng.choice(("fd-1", "fd-2", "")),
            Resources(cores_milli=cores, memory_mb=rng.choice((8_000, MAX_AMOUNT))),
            rng.choice(((), ("label",), ("label", "rack-1"))),
            rng.choice(("", "rack-1")),
            rng.random() < 0.15,
        )

    def advance(self) -> Advance:
        """Return a decision; any part of it may be about something that is gone."""
        rng = self.rng
        due = due_occurrences(self.state, self.at_ms, UNLIMITED)[:MAX_OPENED]
        return Advance(
            tuple(self.ends()),
            tuple(self.incarnations(0.04)),
            due if rng.random() < 0.6 else ((self.job_id(), rng.randint(0, 5)),),
            tuple(self.starts()),
            tuple(self.job_id() for _ in range(rng.choice((0, 0, 2)))),
            tuple(self.losses()),
        )

    def ends(self) -> list[RunEnd]:
        """Return ends of runs, a few of them of runs that are unknown."""
        rng = self.rng
        ends = []
        for target in self.state.targets.values():
            for run in target.runs:
                if rng.random() < 0.25:
                    checkpoint = rng.choice(("", "", "saved" * rng.randint(1, 50)))
                    kind = rng.choice(list(EndKind)).value
                    ends.append(RunEnd(run, target.incarnation, kind, checkpoint))
        if rng.random() < 0.1:
            run = RunKey(self.any_task(), rng.randint(0, 3))
            ends.append(RunEnd(run, self.incarnation(), "done", "x"))
        return [*ends, *ends[:1]]

    def starts(self) -> list[RunStart]:
        """Return starts of tasks where there is room, and now and then of any task."""
        rng = self.rng
        starts = []
        free = {target_id: t.free() for target_id, t in self.state.targets.items()}
        for job in list(self.state.active.values())[-6:]:
            for occurrence in job.occurrences:
                starts += self.starts_of(job, occurrence, free)
        if rng.random() < 0.1:
            run = RunKey(TaskKey("ffffffffffffffff", 0, 0, 0), rng.randint(0, 3))
            starts.append(RunStart(run, self.incarnation()))
        return starts

    def starts_of(
        self, job: JobState, occurrence: int, free: dict[str, Resources]
    ) -> list[RunStart]:
        """Return starts of some of an occurrence's tasks, and reserve the room."""
        starts = []
        for number, step in enumerate(job.occurrences[occurrence]):
            spec = job.spec.steps[number]
            for ordinal, task in enumerate(step.tasks[:5]):
                may_start = not task.runs or spec.speculative
                incarnation = self.incarnation()
                room = free.get(incarnation.target_id)
                fits = room is not None and spec.reserved().fits_in(room)
                if not may_start or not fits or self.rng.random() < 0.5:
                    continue
                assert room is not None
                free[incarnation.target_id] = room.minus(spec.reserved())
                key = TaskKey(job.job_id, occurrence, number, ordinal)
                starts.append(RunStart(RunKey(key, task.last_run + 1), incarnation))
        return starts

    def any_task(self) -> TaskKey:
        """Return the key of a task, which may be unknown."""
        numbers = (self.rng.randint(0, 2) for _ in range(3))
        return TaskKey(self.job_id(), *numbers)

    def incarnation(self) -> TargetIncarnation:
        """Return an incarnation of a target, mostly one that is registered."""
        known = [target.incarnation for target in self.state.targets.values()]
        if known and self.rng.random() < 0.9:
            return self.rng.choice(known)
        return TargetIncarnation(self.rng.choice(TARGET_IDS), self.rng.randint(0, 4))

    def incarnations(self, probability: float) -> list[TargetIncarnation]:
        """Return incarnations of targets that are about to be given up."""
        lost = []
        if self.rng.random() < len(TARGET_IDS) * probability:
            lost.append(self.incarnation())
        return lost

    def losses(self) -> list[TargetLoss]:
        """Return losses with what is known of the runs."""
        losses = []
        for incarnation in self.incarnations(0.04):
            target = self.state.target(incarnation)
            runs = tuple(target.runs) if target else ()
            middle = len(runs) // 2
            crashed = self.rng.random() < 0.5
            losses.append(
                TargetLoss(incarnation, crashed, runs[:middle], runs[middle + 1 :])
            )
        return losses


def in_older_shape(data: bytes, rng: random.Random) -> bytes:
    """Return a snapshot without some of the trailing fields that were added later.

    Left out is only what an older release could not have held either.
    """
    row = msgspec.msgpack.decode(data)
    if rng.random() < 0.5:
        del row[5:]
    for target in row[3]:
        del target[rng.choice((5, 6, 7, 8)) :]
    for job in row[4]:
        _shorten_job(job, rng)
    return msgspec.msgpack.encode(row)


def _shorten_job(job: list[Any], rng: random.Random) -> None:
    occurrences, opened_count = job[7], job[8]
    if opened_count <= len(occurrences) and rng.random() < 0.5:
        del job[8:]
    for _, steps in occurrences:
        for step, spec in zip(steps, job[2][1], strict=True):
            if rng.random() < 0.5:
                step[:] = [step[0], _all_tasks(step, spec[0])]
            for task in step[1]:
                del task[rng.choice((5, 6, 7)) :]


def _all_tasks(step: list[Any], task_count: int) -> list[Any]:
    """Return a row for each task, also for those that have not begun or are done."""
    _, own, ordinals, done = step
    rows: list[Any] = [[False, 0, 0, "", []] for _ in range(task_count)]
    for ordinal, is_done in enumerate(done):
        if is_done:
            rows[ordinal][0] = True
    for ordinal, task in zip(ordinals, own, strict=True):
        rows[ordinal] = task
    return rows
