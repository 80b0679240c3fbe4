"""A fake target that keeps the contract on runs, leases, tokens and ends."""

from typing import NamedTuple, Protocol

from foxspring_jobs._commands import RegisterTarget, RunKey, TaskKey
from foxspring_jobs._orders import (
    Order,
    PaceOrder,
    PollRequest,
    ReportedEnd,
    ReportedRun,
    ResultKind,
    StartOrder,
    StopOrder,
    TargetResult,
    TargetView,
)
from foxspring_jobs._state import EndKind

LONG_RUNNING_MS = 20_000
LONGEST_LEASE_MS = 10_000
CRASH_DELAY_MS = 10
# A long-running task that fails is at work only after that time.
STARTUP_MS = 1_000


class Clock(Protocol):
    """The monotonic clock from which a target's own clock is derived."""

    @property
    def now_ms(self) -> int:
        """Return the reading in milliseconds."""


class FakeRun(NamedTuple):
    """A run that ends at ``ends_ms`` of the target's clock."""

    ends_ms: int
    kind: str


class FakeTarget:
    """One incarnation of a target; its clock starts at ``clock_start``.

    It is to crash at ``crash_ms``, which the start of a task in ``crashing`` sets.
    With ``refuses`` it works on, but connections to it are refused. With ``fails`` each
    run fails, at its end or after ``fails_after_ms`` if that is set. ``failing`` maps
    jobs and tasks to the milliseconds after which their runs fail on any target, and
    ``standing_still`` are jobs whose runs make no progress on any. Runs that take
    ``LONG_RUNNING_MS`` are always at work, but for those of jobs in ``bounded``.
    """

    def __init__(
        self, registered: RegisterTarget, clock: Clock, clock_start: int = 5_000
    ) -> None:
        self.registered = registered
        self.clock = clock
        self.offset = clock_start - clock.now_ms
        self.token = 0
        self.lease_until = 0
        self.running: dict[RunKey, FakeRun] = {}
        self.finished: list[ReportedEnd] = []
        self.ends = 0
        self.highest_run: dict[object, int] = {}
        self.started: list[RunKey] = []
        self.work_ms = 500
        self.work_ms_by_job: dict[str, int] = {}
        self.fails = False
        self.fails_after_ms: int | None = None
        self.crashing: set[TaskKey] = set()
        self.crash_ms: int | None = None
        self.alive = True
        self.receives = True
        self.refuses = False
        self.replies = True
        self.healthy = True
        self.checks_tokens = True
        self.stalls = False
        self.failing: dict[str | TaskKey, int] = {}
        self.standing_still: set[str] = set()
        self.bounded: set[str] = set()
        self.tickets: set[str] = set()
        self.measurements: dict[RunKey, int] = {}
        self.paces: dict[RunKey, int] = {}

    def now(self) -> int:
        """Return the reading of the target's own clock."""
        return self.clock.now_ms + self.offset

    def running_jobs(self) -> set[str]:
        """Return the jobs of which something runs here."""
        return {run.task.job_id for run in self.running}

    def advance(self) -> None:
        """End the runs that are due, and all runs once the lease has expired."""
        for run, state in list(self.running.items()):
            if self.now() >= state.ends_ms and not self._stands_still(run):
                self._end(run, state.kind)
        if self.running and self.now() >= self.lease_until:
            for run in list(self.running):
                self._end(run, EndKind.LAPSED)

    def _end(self, run: RunKey, kind: str) -> None:
        del self.running[run]
        self.ends += 1
        self.highest_run[run.task] = max(self.highest_run.get(run.task, 0), run.number)
        self.finished.append(ReportedEnd(self.ends, run, kind, ""))

    def poll(self, request: PollRequest) -> TargetResult:
        """Answer a poll."""
        if self._is_fenced(request.token):
            return TargetResult(ResultKind.FENCED, self.now())
        self.token = request.token
        if request.lease_until is not None:
            self._extend(request.lease_until)
        kept = [row for row in self.finished if row.number > request.cursor]
        self.finished = kept
        rows = tuple(
            ReportedRun(run, "", self._percent(run), self.measurements.get(run, 0))
            for run in self.running
        )
        return TargetResult(
            ResultKind.OK, self.now(), TargetView(self.now(), rows, tuple(kept))
        )

    def _is_fenced(self, token: int) -> bool:
        return self.checks_tokens and token < self.token

    def _percent(self, run: RunKey) -> int:
        """Return the progress of a run; a long-running one is always at 100.

        One that is to fail gets there after ``STARTUP_MS``.
        """
        if self._stands_still(run):
            return 0
        work_ms = self._work_ms(run)
        left_ms = max(0, self.running[run].ends_ms - self.now())
        fail_ms = self._fail_ms(run)
        if fail_ms is not None:
            return 100 if fail_ms - left_ms >= STARTUP_MS else 50
        if work_ms >= LONG_RUNNING_MS and run.task.job_id not in self.bounded:
            return 100
        return max(1, 99 - left_ms * 99 // work_ms)

    def _work_ms(self, run: RunKey) -> int:
        return self.work_ms_by_job.get(run.task.job_id, self.work_ms)

    def _fail_ms(self, run: RunKey) -> int | None:
        """Return after how long a run fails, None if at its end or not at all."""
        if self.fails and self.fails_after_ms is not None:
            return self.fails_after_ms
        return self.failing.get(run.task.job_id, self.failing.get(run.task))

    def _stands_still(self, run: RunKey) -> bool:
        return self.stalls or run.task.job_id in self.standing_still

    def order(self, order: Order, token: int, lease_until: int) -> TargetResult:
        """Carry out an order."""
        if self._is_fenced(token):
            return TargetResult(ResultKind.FENCED, self.now())
        if not self.healthy:
            return TargetResult(ResultKind.UNHEALTHY, self.now())
        self.token = token
        if isinstance(order, StartOrder):
            self.tickets.add(order.ticket)
            return self._start(order.run, lease_until)
        if isinstance(order, StopOrder):
            self._stop(order.run)
        if isinstance(order, PaceOrder):
            self.paces[order.run] = order.percent
        return TargetResult(ResultKind.OK, self.now())

    def _extend(self, lease_until: int) -> None:
        """Extend the lease up to the longest one accepted; it never gets shorter."""
        longest = self.now() + LONGEST_LEASE_MS
        self.lease_until = max(self.lease_until, min(lease_until, longest))

    def _start(self, run: RunKey, lease_until: int) -> TargetResult:
        self._extend(lease_until)
        if run in self.running:
            return TargetResult(ResultKind.OK, self.now())
        if run.number <= self.highest_run.get(run.task, 0):
            return TargetResult(ResultKind.OLD, self.now())
        if lease_until <= self.now():
            return TargetResult(ResultKind.LATE, self.now())
        self.running[run] = self._new_run(run)
        self.started.append(run)
        if run.task in self.crashing and self.crash_ms is None:
            self.crash_ms = self.clock.now_ms + CRASH_DELAY_MS
        return TargetResult(ResultKind.OK, self.now())

    def _new_run(self, run: RunKey) -> FakeRun:
        fail_ms = self._fail_ms(run)
        if fail_ms is not None:
            return FakeRun(self.now() + fail_ms, EndKind.FAILED)
        kind = EndKind.FAILED if self.fails else EndKind.DONE
        return FakeRun(self.now() + self._work_ms(run), kind)

    def _stop(self, run: RunKey) -> None:
        if run in self.running:
            self._end(run, EndKind.STOPPED)
        self.highest_run[run.task] = max(self.highest_run.get(run.task, 0), run.number)
