"""Decide which waiting tasks start now and on which targets, as functions of the state.

Load pattern: a wave of wide steps arrives together with short urgent steps and
long-running services. Serving tasks (tasks with a latency target) are packed by image,
and long-running tasks leave capacity for short ones, see
:mod:`foxspring_jobs._compaction`. Best-effort tasks (``StepSpec.best_effort``) go to
targets with unused CPU time where they lengthen no serving task's tail latency.
"""

from collections.abc import Callable, Iterable, Iterator, Mapping, Set

from foxspring_model import Resources

from foxspring_jobs._candidates import PERCENT, Candidate, Effects, StepKey, step_key_of
from foxspring_jobs._commands import RunKey, RunStart, TargetIncarnation, TaskKey
from foxspring_jobs._compaction import (
    compact_services,
    compaction_score,
    free_targets_are_scarce,
)
from foxspring_jobs._interference import Interference
from foxspring_jobs._ranking import Ranking, Score
from foxspring_jobs._room_index import RoomIndex
from foxspring_jobs._specs import Queue, StepSpec
from foxspring_jobs._state import JobState, State, StepState, TaskState
from foxspring_jobs._waiting import Precedence, WaitingStep

BUSY_FREE_PERCENT = 50
SUSPECT_FAILURES = 2
ROOM_TO_USE_RESERVE = 2
MAX_HELD_PERCENT = 1
Allowed = Mapping[StepKey, frozenset[str]]


class TooLargeSizes:
    """The sizes of short tasks for which a plan found no target.

    Load pattern: hundreds of steps of different sizes wait while little is free. What
    is free only shrinks during a plan, so a task that is as large as one that found no
    target finds none either. Long-running and best-effort tasks have more conditions.
    """

    def __init__(self) -> None:
        self.sizes: dict[str, list[Resources]] = {}

    def add(self, queue: Queue, step: StepSpec) -> None:
        """Record that no target accepts a task of a step."""
        if _needs_only_capacity(queue, step) and not step.required_label:
            self.sizes.setdefault(queue.service, []).append(step.resources)

    def includes(self, queue: Queue, step: StepSpec) -> bool:
        """Return whether it is certain that no target accepts a task of a step."""
        sizes = self.sizes.get(queue.service)
        if not sizes or not _needs_only_capacity(queue, step):
            return False
        return any(size.fits_in(step.resources) for size in sizes)


def _needs_only_capacity(queue: Queue, step: StepSpec) -> bool:
    return not (step.long_running or step.best_effort or queue.needs_advice())


class Planner:
    """Plans starts once over the candidate targets.

    ``allowed`` maps each step of a queue that needs advice to the ids of the targets on
    which it may start. A target may be held for the steps in ``holding``.
    """

    def __init__(
        self,
        state: State,
        candidates: Iterable[Candidate],
        interference: Interference,
        allowed: Allowed | None = None,
        holding: Set[StepKey] = frozenset(),
    ) -> None:
        self.state = state
        self.candidates = list(candidates)
        self.effects = Effects(interference)
        self.allowed = allowed or {}
        self.room_index = RoomIndex(self.candidates)
        self.busy = _is_busy(self.candidates)
        self.compact_services = compact_services(state, self.candidates)
        self.blocked_best_effort: dict[tuple[str, str], int] = {}
        self.holding = holding
        self.held_count = 0

    def plan(self, steps: Iterable[WaitingStep]) -> list[RunStart]:
        """Return the starts to commit now, considering the steps in the given order."""
        starts: list[RunStart] = []
        blocked: set[tuple[Precedence, str, StepSpec]] = set()
        too_large = TooLargeSizes()
        for waiting in steps:
            job = self.state.active[waiting.job_id]
            step = job.spec.steps[waiting.step]
            kind = (
                waiting.precedence,
                job.queue.service,
                step._replace(task_count=0, after=()),
            )
            if kind in blocked or too_large.includes(job.queue, step):
                continue
            candidates = self._usable_candidates(job, waiting)
            if step.gang:
                planned = self._plan_gang(job, waiting, step, candidates)
            else:
                planned = self._plan_tasks(job, waiting, step, candidates)
            starts += planned
            if not planned and waiting.step_key() in self.holding:
                self._hold_target(job, waiting, candidates)
            bounded = step.max_per_target or step.gang or step.best_effort
            if not planned and candidates is self.candidates and not bounded:
                blocked.add(kind)
                if startable_tasks(
                    job.occurrences[waiting.occurrence][waiting.step], step
                ):
                    too_large.add(job.queue, step)
        return starts

    def plan_speculative_runs(self, overdue: Iterable[RunKey]) -> list[RunStart]:
        """Return second runs, on other targets, of tasks that have only one run."""
        starts: list[RunStart] = []
        for run in overdue:
            job = self.state.active.get(run.task.job_id)
            task = self.state.task(run.task)
            if job is None or task is None or task.done or len(task.runs) != 1:
                continue
            current_incarnation = next(iter(task.runs.values()))
            others = [
                r
                for r in self.candidates
                if r.target.incarnation != current_incarnation
            ]
            step = job.spec.steps[run.task.step]
            candidate = self._choose(run.task, step, job, others, can_wait=True)
            if candidate is not None and not candidate.on_probation:
                candidate.reserve(run.task, step)
                number = task.last_run + 1
                starts.append(
                    RunStart(RunKey(run.task, number), candidate.target.incarnation)
                )
        return starts

    def ranked_targets(
        self, job: JobState, waiting: WaitingStep
    ) -> list[TargetIncarnation]:
        """Return the targets that can accept a task of a step, best first."""
        step = job.spec.steps[waiting.step]
        reserved = step.reserved()
        service = job.queue.service
        scored = [
            (self._score(candidate, step), candidate.target.incarnation)
            for candidate in self.candidates
            if candidate.accepts(waiting.step_key(), step, reserved, service)
        ]
        return [incarnation for _, incarnation in sorted(scored)]

    def room_for(self, job: JobState, waiting: WaitingStep) -> int:
        """Return how many tasks of a step fit on the candidates that accept one."""
        step = job.spec.steps[waiting.step]
        reserved = step.reserved()
        service = job.queue.service
        return sum(
            candidate.fitting_tasks(waiting.step_key(), step, reserved)
            for candidate in self._usable_candidates(job, waiting)
            if candidate.accepts(waiting.step_key(), step, reserved, service)
        )

    def try_place(self, task: TaskKey, step: StepSpec, job: JobState) -> bool:
        """Reserve a good target for a task and return whether there was one."""
        candidate = self._choose(task, step, job, self.candidates, can_wait=True)
        if candidate is not None:
            candidate.reserve(task, step)
        return candidate is not None

    def _usable_candidates(
        self, job: JobState, waiting: WaitingStep
    ) -> list[Candidate]:
        if not job.queue.needs_advice():
            return self.candidates
        names = self.allowed.get(waiting.step_key(), frozenset())
        return [
            candidate
            for candidate in self.candidates
            if candidate.target.incarnation.target_id in names
        ]

    def _plan_tasks(
        self,
        job: JobState,
        waiting: WaitingStep,
        step: StepSpec,
        candidates: list[Candidate],
    ) -> list[RunStart]:
        starts: list[RunStart] = []
        steps = job.occurrences[waiting.occurrence]
        best_effort_kind = (job.queue.service, step.image)
        cores = step.resources.cores_milli
        if step.best_effort and cores >= self.blocked_best_effort.get(
            best_effort_kind, cores + 1
        ):
            return []
        running = any(s.running for s in steps)
        room_to_use_reserve = self._room_to_use_reserve(waiting)
        ranking = self._rank(
            waiting.step_key(), step, job, candidates, self.busy or running
        )
        for index, task in startable_tasks(steps[waiting.step], step):
            if not waiting.includes(task, step):
                continue
            # While half of the cores are free, a job without runs gets one task
            # at any cost.
            can_wait = self.busy or running or bool(starts)
            candidate = self._pick(
                ranking, waiting.step_key(), step, can_wait, room_to_use_reserve
            )
            if candidate is None:
                if step.best_effort and candidates is self.candidates:
                    self.blocked_best_effort[best_effort_kind] = cores
                break
            key = TaskKey(*waiting.step_key(), index)
            candidate.reserve(key, step)
            ranking.rescore_best()
            starts.append(
                RunStart(RunKey(key, task.last_run + 1), candidate.target.incarnation)
            )
        return starts

    def _plan_gang(
        self,
        job: JobState,
        waiting: WaitingStep,
        step: StepSpec,
        candidates: list[Candidate],
    ) -> list[RunStart]:
        tasks = job.occurrences[waiting.occurrence][waiting.step].tasks
        if any(task.runs for task in tasks):
            return []
        number = max(task.last_run for task in tasks) + 1
        for group in _gang_groups(step, candidates):
            placed: list[tuple[TaskKey, Candidate]] = []
            for index in range(len(tasks)):
                key = TaskKey(waiting.job_id, waiting.occurrence, waiting.step, index)
                candidate = self._choose(key, step, job, group, can_wait=False)
                if candidate is None:
                    break
                candidate.reserve(key, step)
                placed.append((key, candidate))
            if len(placed) == len(tasks):
                return [
                    RunStart(RunKey(k, number), r.target.incarnation) for k, r in placed
                ]
            for key, candidate in placed:
                candidate.reserve(key, step, sign=-1)
        return []

    def _hold_target(
        self, job: JobState, waiting: WaitingStep, candidates: list[Candidate]
    ) -> None:
        """Let one target run empty for a restart that has fitted nowhere for long.

        Load pattern: short tasks that are smaller than the restart take each part of a
        target as it becomes free. The target with the most free cores is held; as its
        short tasks end, it stays the one with the most, so the next plan holds it too.
        """
        if self.held_count * PERCENT >= len(self.candidates) * MAX_HELD_PERCENT:
            return
        step = job.spec.steps[waiting.step]
        reserved = step.reserved()
        suitable = [
            candidate
            for candidate in candidates
            if candidate.suits(waiting.step_key(), step, job.queue.service)
            and reserved.fits_in(candidate.free_without_short_tasks())
        ]
        if suitable:
            self.held_count += 1
            max(suitable, key=_free_cores_of).hold(reserved)

    def _choose(
        self,
        task: TaskKey,
        step: StepSpec,
        job: JobState,
        candidates: list[Candidate],
        can_wait: bool,
    ) -> Candidate | None:
        step_key = step_key_of(task)
        ranking = self._rank(step_key, step, job, candidates, can_wait)
        return self._pick(ranking, step_key, step, can_wait)

    def _rank(
        self,
        step_key: StepKey,
        step: StepSpec,
        job: JobState,
        candidates: list[Candidate],
        can_wait: bool,
    ) -> Ranking:
        """Rank targets for a step; with ``can_wait``, all its tasks can wait."""
        reserved = step.reserved()
        service = job.queue.service
        ranked: Iterable[Candidate] = candidates
        if candidates is self.candidates:
            ranked = self.room_index.with_cores(reserved.cores_milli)

        def accepts(candidate: Candidate) -> bool:
            return candidate.accepts(step_key, step, reserved, service)

        def score(candidate: Candidate) -> Score:
            return self._score(candidate, step)

        def score_if_uncrowded(candidate: Candidate) -> Score:
            # The task waits if a crowded target is the best, whatever its risk is,
            # and while capacity is scarce most targets are crowded.
            if candidate.is_crowded(step):
                return (candidate.on_probation, True, True)
            return self._score(candidate, step)

        def score_long_running(candidate: Candidate) -> Score:
            return (
                not candidate.leaves_short_task_reserve(reserved),
                *self._score(candidate, step),
            )

        if self._is_compacted(step, service):
            score_compact = self._compact_score(step, service)
            return Ranking(ranked, accepts, score_compact)
        if step.long_running:
            return Ranking(ranked, accepts, score_long_running)
        if step.best_effort and can_wait:
            return Ranking(ranked, accepts, score_if_uncrowded)
        return Ranking(ranked, accepts, score)

    def _room_to_use_reserve(self, waiting: WaitingStep) -> int:
        """Return how many tasks must fit for one to use the reserve for short tasks.

        Overdue restarts use it wherever they fit.
        """
        overdue = waiting.precedence is Precedence.OVERDUE_RESTART
        return 1 if overdue else ROOM_TO_USE_RESERVE

    def _pick(
        self,
        ranking: Ranking,
        step_key: StepKey,
        step: StepSpec,
        can_wait: bool,
        room_to_use_reserve: int = ROOM_TO_USE_RESERVE,
    ) -> Candidate | None:
        """Return the target for one more task of a step, or None if it should wait.

        A long-running task leaves a reserve for short tasks, unless it would stay idle
        although ``room_to_use_reserve`` tasks of its step would fit. A best-effort task
        with ``can_wait`` waits for a target that is neither too risky nor too crowded.
        """
        best = ranking.best()
        if best is None:
            return None
        candidate, score = best
        if step.long_running and score[0]:
            reserved = step.reserved()
            fitting_tasks = sum(
                r.fitting_tasks(step_key, step, reserved) for r in ranking.candidates()
            )
            return candidate if fitting_tasks >= room_to_use_reserve else None
        if step.best_effort and can_wait:
            _, too_risky, crowded, *_ = score
            return None if too_risky or crowded else candidate
        return candidate

    def _score(self, candidate: Candidate, step: StepSpec) -> Score:
        rack = candidate.target.registered.rack
        off_rack = bool(step.data_rack) and rack != step.data_rack
        on_probation = candidate.on_probation
        cores = step.resources.cores_milli
        unused = candidate.unused_cores()
        if step.latency_target_ms:
            return (
                on_probation,
                self._exceeds_limit(candidate, step),
                *self._packing_score(candidate, step),
            )
        if step.best_effort:
            risk = candidate.risk(self.effects, step.image, cores)
            # Harmless images prefer sensitive targets and leave the tolerant
            # ones to others.
            sensitivity = self.effects.sensitivity(candidate.serving_images())
            return (
                on_probation,
                risk > 1,
                candidate.is_crowded(step),
                off_rack,
                risk > 0,
                -sensitivity,
                -unused,
            )
        return (on_probation, off_rack, -unused)

    def _is_compacted(self, step: StepSpec, service: str) -> bool:
        """Return whether a step's tasks leave whole targets free for short tasks."""
        compact = service in self.compact_services
        return compact and step.long_running and not step.best_effort

    def _compact_score(
        self, step: StepSpec, service: str
    ) -> Callable[[Candidate], Score]:
        """Return the score of a target for long-running tasks that are compacted.

        Its first part is that of other long-running tasks: no reserve is required.
        """
        spare_free_targets = free_targets_are_scarce(self.candidates, service)

        def score(candidate: Candidate) -> Score:
            return (
                False,
                candidate.on_probation,
                bool(step.latency_target_ms) and self._exceeds_limit(candidate, step),
                *compaction_score(candidate, step, self.effects, spare_free_targets),
            )

        return score

    def _exceeds_limit(self, candidate: Candidate, step: StepSpec) -> bool:
        effects = self.effects
        expected = effects.baseline(step.image)
        for best_effort, cores in candidate.best_effort_cores.items():
            expected += effects.per_millicore(step.image, best_effort) * cores
        return expected > effects.limit(step.image, step.latency_target_ms)

    def _packing_score(self, candidate: Candidate, step: StepSpec) -> Score:
        images, added_sensitivity = candidate.effect_of_adding(self.effects, step.image)
        return images, added_sensitivity, -candidate.used_percent()


def startable_tasks(state: StepState, step: StepSpec) -> list[tuple[int, TaskState]]:
    """Return the tasks of a step that may start now, with their indexes.

    Load pattern: some jobs, among them wide ones, can never succeed. Once
    ``SUSPECT_FAILURES`` tasks of a step have failed and none is done, only one task is
    tried at a time, starting with the one closest to its attempt limit, until a task is
    done or the job has failed.
    """
    idle = [
        (index, task)
        for index, task in enumerate(state.tasks)
        if not task.done and not task.runs
    ]
    failed = sum(task.attempts > 0 for task in state.tasks)
    done = state.unfinished < len(state.tasks)
    if step.long_running or done or failed < SUSPECT_FAILURES or not idle:
        return idle
    if state.running:
        return []
    return [max(idle, key=lambda numbered: numbered[1].attempts)]


def _is_busy(candidates: list[Candidate]) -> bool:
    capacity = sum(r.target.registered.capacity.cores_milli for r in candidates)
    free = sum(max(0, candidate.free.cores_milli) for candidate in candidates)
    return free * PERCENT < capacity * BUSY_FREE_PERCENT


def _gang_groups(
    step: StepSpec, candidates: list[Candidate]
) -> Iterator[list[Candidate]]:
    if step.one_rack:
        racks: dict[str, list[Candidate]] = {}
        for candidate in candidates:
            racks.setdefault(candidate.target.registered.rack, []).append(candidate)
        preferred = racks.pop(step.data_rack, None)
        if preferred is not None:
            yield preferred
        yield from sorted(racks.values(), key=_free_cores, reverse=True)
    yield candidates


def _free_cores(candidates: list[Candidate]) -> int:
    return sum(_free_cores_of(candidate) for candidate in candidates)


def _free_cores_of(candidate: Candidate) -> int:
    return candidate.free.cores_milli
