"""Replays a load on the planner in virtual time, without targets and calls.

Every task runs for exactly its estimated duration, and each start is committed at once,
so that only the decisions on order and placement make jobs late. Interrupted tasks
become overdue as they do for a leader.
"""

import heapq
import itertools
import math
import random
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import NamedTuple

from foxspring_model import Resources

from foxspring_jobs._candidates import Candidate
from foxspring_jobs._commands import (
    Advance,
    RegisterTarget,
    RunEnd,
    RunStart,
    SubmitJob,
)
from foxspring_jobs._interference import MILLICORES_PER_CORE, Interference
from foxspring_jobs._placement import Planner
from foxspring_jobs._plan_index import PlanIndex
from foxspring_jobs._restarts import RestartLimits, Restarts
from foxspring_jobs._specs import JobSpec, Queue, StepSpec
from foxspring_jobs._state import EndKind, JobPhase, JobState
from foxspring_jobs._waiting import LATE_FACTOR, WaitingOrder
from foxspring_jobs.tests.builders import QUEUE, registered, state_with

PLAN_INTERVAL_MS = 50
TARGETS_PER_RACK = 8
FAILURE_DOMAINS = 6
MEMORY_PER_CORE_MB = 4_000
MS_PER_S = 1_000
SHORT_QUEUE = QUEUE._replace(name="short")
LONG_QUEUE = QUEUE._replace(name="long", latency_target_ms=2_500)
BEST_EFFORT_QUEUE = QUEUE._replace(
    name="best-effort", latency_target_ms=1_000, stretch_factor=2.0, priority=2
)
BEST_EFFORT_IMAGES = 30


class Arrival(NamedTuple):
    """A job to submit at a time."""

    at_ms: int
    queue: Queue
    spec: JobSpec


class Replay:
    """A site that is planned every ``PLAN_INTERVAL_MS`` of virtual time."""

    def __init__(self, targets: Iterable[RegisterTarget]) -> None:
        self.state = state_with(*targets)
        self.now_ms = 0
        self.interference = Interference()
        self.restarts = Restarts()
        self.waiting_order = WaitingOrder()
        self.plan_index = PlanIndex(self.interference)
        self._kept: dict[str, Candidate] = {}
        self._ends: list[tuple[int, int, RunEnd]] = []
        self._numbers = itertools.count()

    def run(self, arrivals: Iterable[Arrival], duration_ms: int) -> None:
        """Submit the arrivals in time and plan until ``duration_ms`` have passed."""
        pending = sorted(arrivals, key=lambda arrival: arrival.at_ms, reverse=True)
        until_ms = self.now_ms + duration_ms
        while self.now_ms < until_ms:
            self.now_ms += PLAN_INTERVAL_MS
            while pending and pending[-1].at_ms <= self.now_ms:
                self.submit(pending.pop())
            self._end_due_runs()
            self.plan()

    def submit(self, arrival: Arrival) -> None:
        """Accept a job."""
        job_id = f"{next(self._numbers):016x}"
        self.state.apply(SubmitJob(job_id, arrival.queue, arrival.spec), arrival.at_ms)

    def _end_due_runs(self) -> None:
        ends = []
        while self._ends and self._ends[0][0] <= self.now_ms:
            ends.append(heapq.heappop(self._ends)[2])
        self.state.apply(Advance(ends=tuple(ends)), self.now_ms)

    def plan(self) -> int:
        """Plan and commit once; return the number of starts."""
        starts = self.plan_starts()
        self.state.apply(Advance(starts=tuple(starts)), self.now_ms)
        for start in starts:
            self._schedule_end(start)
        return len(starts)

    def plan_starts(self) -> list[RunStart]:
        """Plan with what is kept from plan to plan, as the leader does."""
        self.restarts.update(self.state, self.now_ms)
        planner = Planner(
            self.state,
            list(self._candidates()),
            self.interference,
            restart_limits=RestartLimits(self.restarts.holding(self.now_ms)),
            index=self.plan_index,
        )
        overdue = self.restarts.overdue(self.now_ms)
        waiting = self.waiting_order.steps(self.state, self.now_ms, overdue)
        return planner.plan(waiting)

    def _candidates(self) -> Iterator[Candidate]:
        """Yield the candidates, as the leader does: kept while they are current."""
        kept, self._kept = self._kept, {}
        for target_id, target in self.state.targets.items():
            candidate = kept.get(target_id)
            if candidate is None or not candidate.is_current(target):
                candidate = Candidate(target)
            self._kept[target_id] = candidate
            yield candidate

    def _schedule_end(self, start: RunStart) -> None:
        task = start.run.task
        step = self.state.jobs[task.job_id].spec.steps[task.step]
        if step.long_running:
            return
        end = RunEnd(start.run, start.incarnation, EndKind.DONE)
        due_ms = self.now_ms + step.estimated_ms
        heapq.heappush(self._ends, (due_ms, next(self._numbers), end))

    def lose_failure_domain(self, name: str) -> None:
        """Lose all targets of a failure domain; what ran there waits again."""
        lost = [
            target.incarnation
            for target in self.state.targets.values()
            if target.registered.failure_domain == name
        ]
        self.state.apply(Advance(lost_targets=tuple(lost)), self.now_ms)

    def jobs_of(self, queue: Queue) -> list[JobState]:
        """Return the jobs of a queue, in the order of their arrival."""
        return [job for job in self.state.jobs.values() if job.queue.name == queue.name]

    def long_running_cores(self) -> int:
        """Return the cores that long-running tasks hold."""
        return sum(
            step.resources.cores_milli // 1_000
            for target in self.state.targets.values()
            for step in target.runs.values()
            if step.long_running
        )


def in_time(job: JobState) -> bool:
    """Return whether a job was completed within its objective."""
    completed = job.phase is JobPhase.COMPLETED
    return completed and job.ended_ms - job.submitted_ms <= job.completion_objective_ms


def is_served(job: JobState) -> bool:
    """Return whether a job was completed within ``LATE_FACTOR`` times its objective."""
    completed = job.phase is JobPhase.COMPLETED
    limit_ms = LATE_FACTOR * job.completion_objective_ms
    return completed and job.ended_ms - job.submitted_ms <= limit_ms


def share_served(jobs: Sequence[JobState]) -> float:
    """Return the share of jobs that were served."""
    return sum(map(is_served, jobs)) / len(jobs)


def share_in_time(jobs: Iterable[JobState]) -> float:
    """Return the share of jobs that were completed within their objective."""
    results = [in_time(job) for job in jobs]
    return sum(results) / len(results)


def largest(jobs: Iterable[JobState], share: float) -> list[JobState]:
    """Return the jobs with the most work, that share of them."""
    ranked = sorted(jobs, key=work_of, reverse=True)
    return ranked[: max(1, round(len(ranked) * share))]


def next_largest_fifth(jobs: Iterable[JobState]) -> list[JobState]:
    """Return the fifth of the jobs with the most work below the largest tenth."""
    ranked = sorted(jobs, key=work_of, reverse=True)
    return ranked[len(ranked) // 10 : len(ranked) * 3 // 10]


def work_of(job: JobState) -> int:
    """Return the millicore-milliseconds of a job."""
    return job.spec.total_work()


def site(count: int, cores: Iterable[int] = (64, 64, 96)) -> list[RegisterTarget]:
    """Return targets of these sizes in turn, one failure domain after another."""
    sizes = itertools.cycle(cores)
    return [
        _target(number, number * FAILURE_DOMAINS // count, next(sizes))
        for number in range(count)
    ]


def _target(number: int, domain: int, cores: int) -> RegisterTarget:
    rack = number // TARGETS_PER_RACK
    target = registered(f"t{number:03}", cores=cores * 1_000)
    return target._replace(
        failure_domain=f"fd-{domain}",
        rack=f"r{domain}-{rack}",
        capacity=_size(cores),
    )


def cores_of(targets: Iterable[RegisterTarget]) -> int:
    """Return the cores of the targets together."""
    return sum(target.capacity.cores_milli // 1_000 for target in targets)


def _size(cores: int) -> Resources:
    return Resources(cores_milli=cores * 1_000, memory_mb=cores * MEMORY_PER_CORE_MB)


def _half_memory(cores: int) -> Resources:
    size = _size(cores)
    return size._replace(memory_mb=size.memory_mb // 2)


def long_running_jobs(
    rng: random.Random, cores: int, sizes: tuple[int, int] = (10, 16)
) -> list[Arrival]:
    """Return services that arrive first and ask for ``cores`` together.

    ``sizes`` are the fewest and most cores of a task.
    """
    arrivals = []
    asked = 0
    while asked < cores:
        tasks, size = rng.randint(12, 48), rng.randint(*sizes)
        step = StepSpec(
            tasks,
            _half_memory(size),
            estimated_ms=500,
            long_running=True,
            image=f"service-{rng.randrange(16)}",
            latency_target_ms=50,
        )
        arrivals.append(Arrival(0, LONG_QUEUE, JobSpec("", (step,))))
        asked += tasks * size
    return arrivals


ShortSize = Callable[[random.Random], int]


def short_jobs(
    rng: random.Random,
    cores_in_use: int,
    from_ms: int,
    until_ms: int,
    size_of: ShortSize = lambda rng: rng.randint(12, 40),
) -> list[Arrival]:
    """Return jobs of one or two steps that would use ``cores_in_use`` on average."""
    arrivals = []
    at_ms = float(from_ms)
    while at_ms < until_ms:
        size, duration_ms = size_of(rng), rng.randint(300, 1_000)
        step = StepSpec(rng.randint(2, 18), _half_memory(size), duration_ms)
        steps = (step, step._replace(after=(0,)))[: rng.randint(1, 2)]
        arrivals.append(Arrival(int(at_ms), SHORT_QUEUE, JobSpec("", steps)))
        work = sum(s.task_count * size * duration_ms for s in steps)
        at_ms += rng.expovariate(1.0) * work / cores_in_use
    return arrivals


class Spread(NamedTuple):
    """A log-normal distribution; ``variation`` is its deviation over its mean."""

    mean: float
    variation: float
    highest: float

    def draw(self, rng: random.Random) -> float:
        """Return a value of at most ``highest``."""
        sigma = math.sqrt(math.log(1 + self.variation**2))
        mu = math.log(self.mean) - sigma**2 / 2
        return min(self.highest, rng.lognormvariate(mu, sigma))


class JobMix(NamedTuple):
    """Jobs of equal steps; ``cores`` are of one task, ``duration_ms`` of one step."""

    steps: Spread
    tasks: Spread
    cores: Spread
    duration_ms: Spread

    def job(self, rng: random.Random) -> JobSpec:
        """Return a job with sizes drawn independently of each other."""
        cores = self.cores.draw(rng)
        step = StepSpec(
            max(1, round(self.tasks.draw(rng))),
            Resources(
                cores_milli=round(cores * MILLICORES_PER_CORE),
                memory_mb=round(cores * MEMORY_PER_CORE_MB / 2),
            ),
            round(self.duration_ms.draw(rng)),
        )
        count = max(1, round(self.steps.draw(rng)))
        later = (step._replace(after=(number,)) for number in range(count - 1))
        return JobSpec("", (step, *later))


# A large site's short jobs: a task needs a third of a target, some a whole one.
SHORT_MIX = JobMix(
    Spread(1.6, 0.4, 4),
    Spread(9.4, 0.8, 56),
    Spread(21, 0.45, 64),
    Spread(640, 0.5, 1_600),
)


def as_best_effort(arrival: Arrival, rng: random.Random) -> Arrival:
    """Return the job of an arrival as best-effort work of one of 30 images."""
    image = f"batch-{rng.randrange(BEST_EFFORT_IMAGES)}"
    steps = tuple(
        step._replace(best_effort=True, checkpoints=True, image=image)
        for step in arrival.spec.steps
    )
    return arrival._replace(
        queue=BEST_EFFORT_QUEUE, spec=arrival.spec._replace(steps=steps)
    )


def steady(
    rng: random.Random, mix: JobMix, jobs_per_s: float, from_ms: int, until_ms: int
) -> list[Arrival]:
    """Return short jobs of a mix that arrive at a steady rate."""
    arrivals = []
    at_ms = float(from_ms)
    while at_ms < until_ms:
        arrivals.append(Arrival(int(at_ms), SHORT_QUEUE, mix.job(rng)))
        at_ms += rng.expovariate(jobs_per_s) * MS_PER_S
    return arrivals
