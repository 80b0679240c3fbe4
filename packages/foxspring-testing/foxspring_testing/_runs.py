"""Runs of tasks and requests, reconstructed from the events of targets."""

from collections.abc import Iterable
from typing import NamedTuple

from foxspring_testing._events import RunEvent

NOT_ENDED_MS = 1 << 62
ENDED_WITH_PROCESS = "killed"


class Run(NamedTuple):
    """One run on one target; ``end_ms`` is ``NOT_ENDED_MS`` while it runs.

    ``end_state`` is a task's final state, or ``killed`` if the run ended with
    its process. ``start_work_ms`` and ``end_work_ms`` are a task's progress at
    the start and the end.
    """

    start: RunEvent
    end_ms: int = NOT_ENDED_MS
    end_state: str = ""
    end_work_ms: int = 0
    checkpoint_ms: int = 0

    @property
    def start_ms(self) -> int:
        """The time at which the run started."""
        return self.start.at_ms

    @property
    def start_work_ms(self) -> int:
        """The progress from which a task started."""
        return self.start.work_ms

    @property
    def target_incarnation(self) -> str:
        """The target and its incarnation, as ``ID#INCARNATION``."""
        return f"{self.start.target_id}#{self.start.incarnation}"


def task_runs(events: Iterable[RunEvent]) -> list[Run]:
    """Return all runs of tasks, ordered by start."""
    return _runs(events, "task_started", "task_ended")


def request_runs(events: Iterable[RunEvent]) -> list[Run]:
    """Return all runs of requests, ordered by start."""
    return _runs(events, "request_started", "request_ended")


def _runs(events: Iterable[RunEvent], started: str, ended: str) -> list[Run]:
    runs: dict[tuple[str, int, int], Run] = {}
    for event in events:
        process = (event.target_id, event.incarnation)
        if event.kind == started:
            runs[(*process, event.run)] = Run(event)
        elif event.kind == ended:
            key = (*process, event.run)
            runs[key] = runs[key]._replace(
                end_ms=event.at_ms,
                end_state=event.detail,
                end_work_ms=event.work_ms,
                checkpoint_ms=event.checkpoint_ms,
            )
        elif event.kind == "process_ended":
            _end_with_process(runs, process, event.at_ms)
    return sorted(runs.values(), key=lambda run: run.start_ms)


def _end_with_process(
    runs: dict[tuple[str, int, int], Run], process: tuple[str, int], at_ms: int
) -> None:
    for key, run in runs.items():
        if key[:2] == process and run.end_ms == NOT_ENDED_MS:
            runs[key] = run._replace(end_ms=at_ms, end_state=ENDED_WITH_PROCESS)
