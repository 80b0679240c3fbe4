"""One run of a task on a fake target, and the faults injected into a fake site."""

from typing import NamedTuple

from foxspring_model import Task


class Faults(NamedTuple):
    """Probabilities of faults, and delays of the platform in milliseconds."""

    lost_command: float = 0.0
    refused: float = 0.0
    lost_report: float = 0.0
    duplicate_report: float = 0.0
    hour_late_report: float = 0.0
    report_lag_ms: int = 1_500
    commit_ms: int = 20
    start_ms: int = 200
    stop_ms: int = 300
    checkpoint_every_ms: int = 60_000


NO_FAULTS = Faults()


class Run:
    """One task running on a target; ``done_ms`` is the work done so far."""

    def __init__(self, task: Task, target_id: str, done_ms: float, now_ms: int) -> None:
        self.task_id = task.task_id
        self.epoch = task.epoch
        self.target_id = target_id
        self.done_ms = done_ms
        self.percent = 100
        self.at_ms = now_ms

    def advance(self, now_ms: int) -> None:
        self.done_ms += (now_ms - self.at_ms) * self.percent / 100
        self.at_ms = now_ms
