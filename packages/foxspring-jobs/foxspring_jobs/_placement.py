"""Decide which waiting tasks start now and on which targets, as functions of the state.

Load pattern: a wave of wide steps arrives together with short urgent steps and
long-running services. Serving tasks (tasks with a latency target) are packed by image,
and long-running tasks leave capacity for short ones, see
:mod:`foxspring_jobs._compaction`. Best-effort tasks (``StepSpec.best_effort``) go to
targets with unused CPU time where they lengthen no serving task's tail latency.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from foxspring_model import Resources

from foxspring_jobs._best_effort import BestEffortRanking
from foxspring_jobs._candidates import PERCENT, Candidate, StepKey, step_key_of
from foxspring_jobs._commands import RunKey, RunStart, TargetIncarnation, TaskKey
from foxspring_jobs._crash_counts import Suspicion, is_held_back, suspicion_of
from foxspring_jobs._gangs import free_cores_of, gang_fits, gang_groups
from foxspring_jobs._headroom import LongRunningRoom, room_of
from foxspring_jobs._interference import Interference
from foxspring_jobs._isolation import (
    avoiding_suspects,
    isolation_score,
    max_isolated,
)
from foxspring_jobs._memory_budget import NO_START_LIMITS, StartLimits
from foxspring_jobs._plan_index import PlanIndex
from foxspring_jobs._ranking import Ranking, RankingOfTargets, Score, ScoreOf
from foxspring_jobs._restarts import NO_RESTART_LIMITS, RestartLimits
from foxspring_jobs._scores import TargetScores
from foxspring_jobs._specs import StepSpec
from foxspring_jobs._startable import startable_tasks
from foxspring_jobs._state import JobState, State
from foxspring_jobs._task_states import TaskState
from foxspring_jobs._too_large import TooLargeSizes, needs_as_much
from foxspring_jobs._usage import ServiceUsage
from foxspring_jobs._waiting import Precedence, Rank, WaitingStep

ROOM_TO_USE_RESERVE = 2
MAX_HELD_PERCENT = 1
Allowed = Mapping[StepKey, frozenset[str]]


class _Kind(NamedTuple):
    """What steps share of which none can start once one could not.

    ``spec`` is without what has no part in that.
    """

    precedence: Precedence
    is_restart: bool
    service: str
    spec: StepSpec


class _StepPlan(NamedTuple):
    """What a plan does for a step.

    ``lacks_room`` tells that it has a task that could start if there were room. A step
    without starts may also have no such task: some wait for other tasks of their step,
    or until it is known what became of a target.
    """

    starts: Sequence[RunStart]
    lacks_room: bool


_NO_ROOM = _StepPlan((), lacks_room=True)
_NOTHING_TO_START = _StepPlan((), lacks_room=False)


class Planner:
    """Plans starts once over the candidate targets.

    ``allowed`` maps each step of a queue that needs advice to the ids of the targets on
    which it may start. While ``short_tasks_expected``, new long-running tasks leave a
    reserve for them. ``index`` is that of earlier plans with the same ``interference``.
    A plan starts at most ``limits.starts`` runs, or one gang of at most ``limits.gang``
    beyond that.
    """

    def __init__(
        self,
        state: State,
        candidates: Iterable[Candidate],
        interference: Interference,
        allowed: Allowed | None = None,
        restart_limits: RestartLimits = NO_RESTART_LIMITS,
        short_tasks_expected: bool = True,
        index: PlanIndex | None = None,
        limits: StartLimits = NO_START_LIMITS,
    ) -> None:
        self.state = state
        self.starts_left = limits.starts
        self.max_gang = limits.gang
        self.candidates = list(candidates)
        self.index = PlanIndex(interference) if index is None else index
        self.index.begin_plan(self.candidates)
        self.effects = self.index.effects
        self.allowed = allowed or {}
        self.usage = ServiceUsage(state, self.candidates, self.index.room)
        self.scores = TargetScores(self.candidates, self.effects)
        self.long_running_room = LongRunningRoom(
            state.targets.values(), short_tasks_expected
        )
        self.blocked_best_effort: dict[tuple[str, str], list[Resources]] = {}
        self.restart_limits = restart_limits
        self.delayed_steps = {task[:3] for task in restart_limits.delayed}
        self.short_tasks_expected = short_tasks_expected
        self.held_count = 0
        self.isolated_count = sum(
            candidate.suspicion is Suspicion.ISOLATED for candidate in self.candidates
        )

    def plan(
        self,
        steps: Iterable[WaitingStep],
        is_over: Callable[[], bool] = lambda: False,
    ) -> list[RunStart]:
        """Return the starts to commit now, considering the steps in the given order.

        Once the plan has a start and ``is_over``, the other steps are left to the next
        plan. Without a start it goes on, so that no step waits behind those that cannot
        start.
        """
        starts: list[RunStart] = []
        blocked: set[_Kind] = set()
        too_large = TooLargeSizes()
        for waiting in steps:
            job = self.state.active[waiting.job_id]
            step = job.spec.steps[waiting.step]
            kind = _kind_of(job, waiting, step)
            if kind in blocked or too_large.includes(job.queue, step):
                continue
            candidates = self._usable_candidates(job, waiting)
            plan_step = self._plan_gang if step.gang else self._plan_tasks
            planned = plan_step(job, waiting, step, candidates)
            starts += planned.starts
            self.starts_left -= len(planned.starts)
            if planned.starts:
                if is_over() or self.starts_left <= 0:
                    break
                continue
            if not planned.lacks_room:
                continue
            if waiting.step_key() in self.restart_limits.holding:
                self._hold_target(job, waiting, candidates)
            if step.long_running and self.usage.is_half_free(job.queue.service):
                # Another job with such a step may have no run.
                continue
            if candidates is self.candidates and kind is not None:
                blocked.add(kind)
                too_large.add(job.queue, step)
        return starts

    def plan_speculative_runs(self, overdue: Iterable[RunKey]) -> list[RunStart]:
        """Return second runs, on other targets, of tasks that have only one run."""
        starts: list[RunStart] = []
        for run in overdue:
            if len(starts) >= self.starts_left:
                break
            job = self.state.active.get(run.task.job_id)
            task = self.state.task(run.task)
            if job is None or task is None or task.done or len(task.runs) != 1:
                continue
            if task.crashes.total or is_held_back(task.crashes):
                # A second run could crash another target before the first is known to.
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
                self._reserve(candidate, run.task, step)
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
            (self.scores.score(candidate, step), candidate.target.incarnation)
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
            self._reserve(candidate, task, step)
        return candidate is not None

    def _reserve(
        self, candidate: Candidate, task: TaskKey, step: StepSpec, sign: int = 1
    ) -> None:
        """Count a start of this plan, or undo it with ``sign`` -1."""
        candidate.reserve(task, step, sign)
        if step.long_running:
            service = candidate.target.registered.service
            self.long_running_room.take(service, room_of(step.reserved()), sign)
        self.scores.note_start(step)
        self.index.note_change(candidate)

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
    ) -> _StepPlan:
        starts: list[RunStart] = []
        steps = job.occurrences[waiting.occurrence]
        service = job.queue.service
        running = any(s.running for s in steps)
        first_can_wait = running or service in self.usage.busy
        blocked = self.blocked_best_effort.get((service, step.image), [])
        is_blocked = step.best_effort and needs_as_much(step.resources, blocked)
        if is_blocked and first_can_wait:
            return _NO_ROOM
        must_be_admitted = self._must_be_admitted(waiting, step)
        at_any_cost = (
            must_be_admitted and not running and self.usage.is_half_free(service)
        )

        def is_refused() -> bool:
            """Return whether no more tasks may start, whatever room there is."""
            if not must_be_admitted or at_any_cost:
                return False
            return not self.long_running_room.admit(service, step.reserved())

        if is_refused():
            return _NO_ROOM
        tasks = startable_tasks(steps[waiting.step], step)
        if step.long_running:
            tasks = self._due_tasks(tasks, waiting, step)
        if not tasks:
            return _NOTHING_TO_START
        room_to_use_reserve = self._room_to_use_reserve(waiting, step)
        leaves_reserve = room_to_use_reserve is None and not at_any_cost
        has_suspects = steps[waiting.step].has_crashes and any(
            task.crashes.total for _, task in tasks
        )

        def rank() -> RankingOfTargets:
            return self._rank(
                waiting.step_key(),
                step,
                job,
                candidates,
                first_can_wait,
                leaves_reserve,
                has_suspects,
            )

        ranking = rank()
        for index, task in tasks[: self.starts_left]:
            if is_refused():
                return _StepPlan(starts, lacks_room=True)
            # While half of the service is free, a job without runs gets one task
            # at any cost.
            can_wait = first_can_wait or bool(starts)
            room = ROOM_TO_USE_RESERVE if at_any_cost else room_to_use_reserve
            suspicion = self._suspicion_of(task)
            apart = ranking
            if suspicion is Suspicion.ISOLATED:
                apart = self._rank_apart(waiting, step, job, ranking)
            candidate = self._pick(apart, waiting.step_key(), step, can_wait, room)
            if candidate is None and apart is not ranking:
                apart = ranking
                candidate = self._pick(apart, waiting.step_key(), step, can_wait, room)
            if candidate is None:
                bounded = step.required_label or step.max_per_target
                unbounded = candidates is self.candidates and not bounded
                if step.best_effort and unbounded:
                    kind = (service, step.image)
                    self.blocked_best_effort.setdefault(kind, []).append(step.resources)
                return _StepPlan(starts, lacks_room=True)
            key = TaskKey(*waiting.step_key(), index)
            self._reserve(candidate, key, step)
            candidate.note_suspect(suspicion)
            self.isolated_count += suspicion is Suspicion.ISOLATED
            if apart is ranking:
                ranking.rescore_best()
            else:
                ranking = rank()
            starts.append(
                RunStart(RunKey(key, task.last_run + 1), candidate.target.incarnation)
            )
            at_any_cost = False
        return _StepPlan(starts, lacks_room=False)

    def _due_tasks(
        self, tasks: list[tuple[int, TaskState]], waiting: WaitingStep, step: StepSpec
    ) -> list[tuple[int, TaskState]]:
        """Return those long-running tasks that are meant and whose delay is over.

        Tasks that have ended early again and again go last.
        """
        limits = self.restart_limits

        def key_of(index: int) -> TaskKey:
            return TaskKey(*waiting.step_key(), index)

        due = [
            (index, task)
            for index, task in tasks
            if waiting.includes(task, step) and key_of(index) not in limits.delayed
        ]
        if limits.repeated:
            due.sort(key=lambda row: key_of(row[0]) in limits.repeated)
        return due

    def _suspicion_of(self, task: TaskState) -> Suspicion:
        """Return how far to keep a task apart, as far as the limit allows."""
        suspicion = suspicion_of(task.crashes)
        if self.isolated_count >= max_isolated(len(self.candidates)):
            return min(suspicion, Suspicion.SUSPECT)
        return suspicion

    def _rank_apart(
        self,
        waiting: WaitingStep,
        step: StepSpec,
        job: JobState,
        ranking: RankingOfTargets,
    ) -> RankingOfTargets:
        """Return the targets without suspects for a task to isolate."""
        service = job.queue.service

        def accepts(candidate: Candidate) -> bool:
            return candidate.suspicion is Suspicion.NONE and candidate.accepts(
                waiting.step_key(), step, step.reserved(), service
            )

        def score(candidate: Candidate) -> Score:
            return isolation_score(candidate, step, self.effects)

        return Ranking(ranking.candidates(), accepts, score)

    def _plan_gang(
        self,
        job: JobState,
        waiting: WaitingStep,
        step: StepSpec,
        candidates: list[Candidate],
    ) -> _StepPlan:
        state = job.occurrences[waiting.occurrence][waiting.step]
        count = len(state.tasks)
        may_not_start = state.running or waiting.step_key() in self.delayed_steps
        if may_not_start or count > self.max_gang:
            return _NOTHING_TO_START
        if state.has_crashes and any(is_held_back(t.crashes) for t in state.tasks):
            return _NOTHING_TO_START
        service = job.queue.service
        asked = room_of(step.reserved(), count)
        must_be_admitted = self._must_be_admitted(waiting, step)
        has_room = self.long_running_room.has_room(service, asked)
        if must_be_admitted and not (has_room or self.usage.is_half_free(service)):
            return _NO_ROOM
        for group in gang_groups(step, candidates):
            if gang_fits(waiting.step_key(), step, service, count, group):
                starts = self._start_gang(job, waiting, step, group)
                if starts:
                    return _StepPlan(starts, lacks_room=False)
        return _NO_ROOM

    def _start_gang(
        self,
        job: JobState,
        waiting: WaitingStep,
        step: StepSpec,
        group: list[Candidate],
    ) -> list[RunStart]:
        """Place all tasks of a gang on candidates, or none of them."""
        tasks = job.occurrences[waiting.occurrence][waiting.step].tasks
        number = max(task.last_run for task in tasks) + 1
        ranking = self._rank(waiting.step_key(), step, job, group, can_wait=False)
        placed: list[tuple[TaskKey, Candidate]] = []
        for index in range(len(tasks)):
            best = ranking.best()
            if best is None:
                for key, candidate in placed:
                    self._reserve(candidate, key, step, sign=-1)
                return []
            candidate, _ = best
            key = TaskKey(*waiting.step_key(), index)
            self._reserve(candidate, key, step)
            ranking.rescore_best()
            placed.append((key, candidate))
        return [
            RunStart(RunKey(key, number), candidate.target.incarnation)
            for key, candidate in placed
        ]

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
            held = max(suitable, key=free_cores_of)
            held.hold(reserved)
            self.index.note_change(held)

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
        leaves_reserve: bool = False,
        has_suspects: bool = False,
    ) -> RankingOfTargets:
        """Rank targets for a step; with ``can_wait``, all its tasks can wait.

        With ``leaves_reserve``, targets of the reserve for short tasks are left out.
        With ``has_suspects``, some of its tasks should avoid other suspects.
        """
        reserved = step.reserved()
        service = job.queue.service
        ranked: Iterable[Candidate] = candidates
        if candidates is self.candidates:
            ranked = self.index.room.with_cores(reserved.cores_milli)

        reserve = self.scores.reserve(service) if leaves_reserve else frozenset()

        def accepts(candidate: Candidate) -> bool:
            if candidate.target.incarnation in reserve:
                return False
            return candidate.accepts(step_key, step, reserved, service)

        indexed = candidates is self.candidates and not step.data_rack
        if step.best_effort and can_wait and indexed:
            index = self.index.best_effort()
            return BestEffortRanking(index, step, service, accepts)

        def score(candidate: Candidate) -> Score:
            return self.scores.score(candidate, step)

        def score_if_uncrowded(candidate: Candidate) -> Score:
            # The task waits if a crowded target is the best, whatever its risk is,
            # and while capacity is scarce most targets are crowded.
            if candidate.is_crowded(step):
                return (candidate.on_probation, True, True)
            return self.scores.score(candidate, step)

        def score_long_running(candidate: Candidate) -> Score:
            return (
                not candidate.leaves_short_task_reserve(reserved),
                *self.scores.score(candidate, step),
            )

        chosen: ScoreOf = score
        if self.scores.is_compacted(step, service):
            chosen = self.scores.compact_score(step, service)
        elif step.long_running:
            chosen = score_long_running
        elif step.best_effort and can_wait:
            chosen = score_if_uncrowded
        if has_suspects:
            chosen = avoiding_suspects(chosen, step)
        return Ranking(ranked, accepts, chosen)

    def _must_be_admitted(self, waiting: WaitingStep, step: StepSpec) -> bool:
        """Return whether tasks start only while all long-running ones leave enough."""
        is_new = step.long_running and waiting.rank is not Rank.RESTART
        return is_new and not step.best_effort

    def _room_to_use_reserve(self, waiting: WaitingStep, step: StepSpec) -> int | None:
        """Return how many tasks must fit for one to use the reserve for short tasks.

        Overdue restarts use it wherever they fit. New long-running tasks never use a
        reserve of whole targets, which they would not give back, while short tasks are
        expected.
        """
        if waiting.precedence is not Precedence.NORMAL:
            return 1
        job = self.state.active[waiting.job_id]
        if waiting.rank is Rank.RESTART or not self._can_leave_reserve(job, step):
            return ROOM_TO_USE_RESERVE
        return None if self.short_tasks_expected else 1

    def _can_leave_reserve(self, job: JobState, step: StepSpec) -> bool:
        """Return whether a step can run without the targets that are the reserve."""
        service = job.queue.service
        if not self.scores.is_compacted(step, service):
            return False
        if step.required_label or job.queue.needs_advice():
            return False
        bound = step.max_per_target
        if not bound:
            return True
        reserve = self.scores.reserve(service)
        others = sum(
            candidate.target.registered.service == service
            and candidate.target.incarnation not in reserve
            for candidate in self.candidates
        )
        return step.task_count <= bound * others

    def _pick(
        self,
        ranking: RankingOfTargets,
        step_key: StepKey,
        step: StepSpec,
        can_wait: bool,
        room_to_use_reserve: int | None = ROOM_TO_USE_RESERVE,
    ) -> Candidate | None:
        """Return the target for one more task of a step, or None if it should wait.

        A long-running task leaves a reserve for short tasks, unless it would stay idle
        although ``room_to_use_reserve`` tasks of its step would fit; with None it
        always leaves the reserve. A best-effort task with ``can_wait`` waits for a
        target that is neither too risky nor too crowded.
        """
        best = ranking.best()
        if best is None:
            return None
        candidate, score = best
        if step.long_running and score[0]:
            if room_to_use_reserve is None:
                return None
            reserved = step.reserved()
            fitting_tasks = sum(
                r.fitting_tasks(step_key, step, reserved) for r in ranking.candidates()
            )
            return candidate if fitting_tasks >= room_to_use_reserve else None
        if step.best_effort and can_wait:
            _, too_risky, crowded, *_ = score
            return None if too_risky or crowded else candidate
        return candidate


def _kind_of(job: JobState, waiting: WaitingStep, step: StepSpec) -> _Kind | None:
    """Return the kind of a step.

    It is None if that also depends on the step's other tasks or on interference.
    """
    if step.max_per_target or step.gang or step.best_effort:
        return None
    alike = step._replace(task_count=0, after=())
    is_restart = waiting.rank is Rank.RESTART
    return _Kind(waiting.precedence, is_restart, job.queue.service, alike)
