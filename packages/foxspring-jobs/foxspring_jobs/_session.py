"""The leader's local knowledge of one incarnation of a target."""

from collections.abc import Iterable

from foxspring_jobs._commands import (
    RegisterTarget,
    RunKey,
    TargetIncarnation,
    TargetLoss,
)
from foxspring_jobs._crash_counts import RunAge, Suspicion, run_age
from foxspring_jobs._health import TargetHealth
from foxspring_jobs._interference import Interference
from foxspring_jobs._orders import ReportedRun, TargetEndpoint
from foxspring_jobs._pressure import BestEffortRun, ServingTask
from foxspring_jobs._stalls import FULL_PERCENT, RunProgress
from foxspring_jobs._state import TargetState
from foxspring_jobs._target_clock import TargetClock

UNRESPONSIVE_AFTER_POLLS = 1
NEARLY_DONE_PERCENT = 85
MIN_REPORT_VALID_MS = 3_000
HEARTBEAT_MARGIN_MS = 500


def report_valid_ms(heartbeat_interval_ms: int) -> int:
    """Return for how long after a heartbeat a target gets new work.

    One heartbeat may be lost.
    """
    return max(MIN_REPORT_VALID_MS, 2 * heartbeat_interval_ms + HEARTBEAT_MARGIN_MS)


class Progress:
    """The progress of one run; times are the leader's."""

    __slots__ = (
        "measurement",
        "progressed_ms",
        "over_target",
        "over_target_since_ms",
        "own_pressure",
        "percent",
        "started_ms",
    )

    def __init__(self, started_ms: int) -> None:
        self.started_ms = started_ms
        self.percent = -1
        self.progressed_ms = started_ms
        self.measurement = 0
        self.own_pressure = 0.0
        self.over_target = False
        self.over_target_since_ms = started_ms


class TargetSession:
    """One leader's session with one incarnation of a target."""

    def __init__(
        self,
        registered: RegisterTarget,
        since_ms: int,
        lease_ms: int,
        token: int,
        earlier_lease_ms: int = 0,
        late_order_ms: int = 0,
        report_valid_ms: int = MIN_REPORT_VALID_MS,
    ) -> None:
        self.token = token
        # A registration is as new as the heartbeat that brought it. What an earlier
        # leader has acknowledged is in the log, so a takeover is no older.
        self.reported_ms = since_ms
        self.report_valid_ms = report_valid_ms
        self.adopting: RegisterTarget | None = None
        self.replaced: TargetLoss | None = None
        self.endpoint = TargetEndpoint(registered.incarnation, registered.address)
        self.clock = TargetClock(since_ms, lease_ms, earlier_lease_ms, late_order_ms)
        self.health = TargetHealth()
        self.draining = registered.draining
        self.leaving = False
        self.closed = False
        self.fenced = False
        self.taken_over = False
        self.polling = False
        self.failed_polls = 0
        self.poll_sent_ms = since_ms
        self.cursor = 0
        self.last_seen_end = 0
        self.sent_ms: dict[RunKey, int] = {}
        self.stopping: set[RunKey] = set()
        self.uncertain: set[RunKey] = set()
        self.suspects: dict[RunKey, Suspicion] = {}
        self.unsettled: dict[RunKey, int] = {}
        self.progress: dict[RunKey, Progress] = {}
        self.paces: dict[RunKey, int] = {}
        self.own_pressure: dict[str, float] = {}
        self.mitigated_ms = 0
        self.any_over_target = False
        self.polled_ms = since_ms

    @property
    def incarnation(self) -> TargetIncarnation:
        """Return the incarnation that the session is with."""
        return self.endpoint.incarnation

    def may_start(self, now_ms: int) -> bool:
        """Return whether the target may get new work now."""
        usable = self.taken_over and not (self.draining or self.fenced)
        responsive = self.failed_polls < UNRESPONSIVE_AFTER_POLLS
        # A target that was cut off may have shrunk meanwhile.
        reported = now_ms - self.reported_ms <= self.report_valid_ms
        return usable and responsive and reported and self.health.may_start(now_ms)

    def note_started(self, run: RunKey, now_ms: int) -> None:
        """Start tracking a run whose start was acknowledged."""
        self.progress.setdefault(run, Progress(now_ms))

    def note_running(self, rows: Iterable[ReportedRun], now_ms: int) -> None:
        """Record the progress that the target reports."""
        self.polled_ms = now_ms
        for row in rows:
            progress = self.progress.setdefault(row.run, Progress(now_ms))
            progress.measurement = row.measurement
            if row.percent != progress.percent:
                progress.percent = row.percent
                progress.progressed_ms = now_ms

    def lasted_ms(self, run: RunKey) -> int | None:
        """Return how long a run lasted for certain before the newest poll.

        The result is 0 if its start was acknowledged later, and None if it is unknown
        whether it began.
        """
        progress = self.progress.get(run)
        if progress is None:
            return None
        return max(0, self.polled_ms - progress.started_ms)

    def loss(self, target: TargetState, crashed: bool) -> TargetLoss:
        """Return the loss of this incarnation with what is known of its runs."""
        ages = {run: run_age(self.lasted_ms(run)) for run in target.runs}
        return TargetLoss(
            self.incarnation,
            crashed,
            tuple(run for run, age in ages.items() if age is RunAge.EARLY),
            tuple(run for run, age in ages.items() if age is RunAge.LASTING),
        )

    def suspicion(self, target: TargetState) -> Suspicion:
        """Return what the suspects that have not lasted yet mean for new starts."""
        for run in list(self.suspects):
            lasts = run_age(self.lasted_ms(run)) is RunAge.LASTING
            if lasts or run not in target.runs:
                del self.suspects[run]
        return max(self.suspects.values(), default=Suspicion.NONE)

    def was_at_work(self, run: RunKey) -> bool:
        """Return whether the newest poll that showed a run had it at full progress."""
        progress = self.progress.get(run)
        return progress is not None and progress.percent == FULL_PERCENT

    def remove_run(self, run: RunKey) -> None:
        """Discard the data about a run whose end is committed."""
        self.sent_ms.pop(run, None)
        self.stopping.discard(run)
        self.uncertain.discard(run)
        self.unsettled.pop(run, None)
        self.progress.pop(run, None)
        self.paces.pop(run, None)

    def pace(self, run: RunKey, percent: int, now_ms: int) -> None:
        """Record a best-effort run's new pace and restart its stall timer."""
        self.paces[run] = percent
        progress = self.progress.get(run)
        if progress is not None:
            progress.progressed_ms = now_ms

    def progress_of(self, target: TargetState) -> list[RunProgress]:
        """Return the progress of the runs that were polled or acknowledged."""
        rows = []
        for run, step in target.runs.items():
            progress = self.progress.get(run)
            if progress is None or run in self.stopping:
                continue
            rows.append(
                RunProgress(
                    run,
                    step,
                    progress.started_ms,
                    progress.progressed_ms,
                    self.polled_ms,
                    progress.percent,
                    self.paces.get(run, FULL_PERCENT),
                    progress.measurement,
                    self.failed_polls > 0,
                )
            )
        return rows

    def measure(
        self, target: TargetState, interference: Interference, now_ms: int
    ) -> None:
        """Learn from the newest measurements how best-effort runs interfere."""
        self.any_over_target = False
        used: dict[str, int] = {}
        for run, step in target.runs.items():
            progress = self.progress.get(run)
            if progress is not None and step.best_effort:
                used[step.image] = used.get(step.image, 0) + progress.measurement
        self.own_pressure = {}
        for (image, target_ms), rows in self._serving_at_work(target).items():
            tails_ms = [progress.measurement for progress in rows]
            pressures = interference.observe_tasks(image, tails_ms, target_ms, used)
            highest = self.own_pressure.get(image, 0.0)
            self.own_pressure[image] = max(highest, *pressures)
            for progress, own_pressure in zip(rows, pressures, strict=True):
                progress.own_pressure = own_pressure
                self._note_tail(progress, target_ms, now_ms)

    def _serving_at_work(
        self, target: TargetState
    ) -> dict[tuple[str, int], list[Progress]]:
        """Return the serving tasks at work by image and latency target."""
        found: dict[tuple[str, int], list[Progress]] = {}
        for run, step in target.runs.items():
            progress = self.progress.get(run)
            if progress is None or not step.latency_target_ms:
                continue
            if progress.percent == FULL_PERCENT:
                key = (step.image, step.latency_target_ms)
                found.setdefault(key, []).append(progress)
        return found

    def _note_tail(self, progress: Progress, target_ms: int, now_ms: int) -> None:
        over_target = progress.measurement > target_ms
        if over_target and not progress.over_target:
            progress.over_target_since_ms = now_ms
        progress.over_target = over_target
        self.any_over_target = self.any_over_target or over_target

    def paced_cores(self, target: TargetState) -> dict[str, int]:
        """Return, by image, the millicores that paced best-effort runs do not use."""
        saved: dict[str, int] = {}
        for run, pace in self.paces.items():
            step = target.runs.get(run)
            if step is not None:
                cores = step.resources.cores_milli * (FULL_PERCENT - pace)
                cores //= FULL_PERCENT
                saved[step.image] = saved.get(step.image, 0) + cores
        return saved

    def mitigation_inputs(
        self, target: TargetState, now_ms: int
    ) -> tuple[list[ServingTask], list[BestEffortRun]]:
        """Return the running serving tasks and the best-effort runs as last polled."""
        serving: list[ServingTask] = []
        best_effort_runs: list[BestEffortRun] = []
        for run, step in target.runs.items():
            progress = self.progress.get(run)
            if progress is None or run in self.stopping:
                continue
            at_work = progress.percent == FULL_PERCENT
            if step.latency_target_ms and at_work:
                serving.append(
                    ServingTask(
                        step.image,
                        step.latency_target_ms,
                        progress.measurement,
                        progress.own_pressure,
                        now_ms - progress.over_target_since_ms
                        if progress.over_target
                        else 0,
                    )
                )
            elif step.best_effort:
                movable = step.checkpoints and progress.percent < NEARLY_DONE_PERCENT
                pace = self.paces.get(run, FULL_PERCENT)
                cores = step.resources.cores_milli
                best_effort_runs.append(
                    BestEffortRun(run, step.image, cores, pace, movable)
                )
        return serving, best_effort_runs
