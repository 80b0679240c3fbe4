"""The interface of the scheduler that the service uses."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from foxspring_model import Configuration, TargetInfo, Task, UsageSample

if TYPE_CHECKING:
    from foxspring_model.scheduling import Decisions


class SchedulerHandle(Protocol):
    """Methods of ``foxspring_model.scheduling.Scheduler`` that the service calls."""

    def set_configuration(self, configuration: Configuration) -> None:
        """Set the configuration in force."""

    def upsert_target(self, info: TargetInfo, draining: bool) -> None:
        """Add or update a target."""

    def remove_target(self, target_id: str) -> None:
        """Remove a target."""

    def upsert_task(self, task: Task, now_ms: int) -> None:
        """Add or update a task."""

    def remove_task(self, task_id: str) -> None:
        """Remove a task."""

    def record_sample(self, sample: UsageSample, now_ms: int) -> None:
        """Record a target's usage sample, which may be delayed."""

    def task_refused(self, task_id: str, target_id: str, now_ms: int) -> None:
        """Handle the refusal of a task by a target's owner."""

    def decide(self, now_ms: int) -> "Decisions":
        """Return the scheduling decisions for now."""

    def explain(self, task_id: str, now_ms: int) -> tuple[str, ...]:
        """Return the reasons why a queued task is not placed."""

    def quarantined(self, now_ms: int) -> tuple[str, ...]:
        """Return the quarantined targets, which get no new tasks."""


MakeScheduler = Callable[[], SchedulerHandle]


def make_scheduler() -> SchedulerHandle:
    """Return a scheduler with default settings.

    The import is deferred because a member that never leads doesn't need it.
    """
    from foxspring_model.scheduling import Scheduler, SchedulerSettings

    return Scheduler(SchedulerSettings())
