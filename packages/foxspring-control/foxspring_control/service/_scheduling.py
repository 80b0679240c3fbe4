"""What the service needs of a scheduler."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from foxspring_model import Configuration, TargetInfo, Task, UsageSample

if TYPE_CHECKING:
    from foxspring_model.scheduling import Decisions


class SchedulerHandle(Protocol):
    """The part of ``foxspring_model.scheduling.Scheduler`` that is used here."""

    def set_configuration(self, configuration: Configuration) -> None:
        """Take the configuration in force."""

    def upsert_target(self, info: TargetInfo, draining: bool) -> None:
        """Take a target's announcement."""

    def remove_target(self, target_id: str) -> None:
        """Forget a target."""

    def upsert_task(self, task: Task, now_ms: int) -> None:
        """Take a task's state."""

    def forget_task(self, task_id: str) -> None:
        """Drop a task."""

    def record_sample(self, sample: UsageSample, now_ms: int) -> None:
        """Learn from a late measurement."""

    def task_refused(self, task_id: str, target_id: str, now_ms: int) -> None:
        """Send a task elsewhere."""

    def decide(self, now_ms: int) -> "Decisions":
        """Return what to do now."""

    def explain(self, task_id: str, now_ms: int) -> tuple[str, ...]:
        """Return why a queued task waits."""

    def quarantined(self, now_ms: int) -> tuple[str, ...]:
        """Return the targets that get no new work."""


MakeScheduler = Callable[[], SchedulerHandle]


def make_scheduler() -> SchedulerHandle:
    """Return the product's scheduler with its default settings.

    It is imported here because a member that never leads has no use for it.
    """
    from foxspring_model.scheduling import Scheduler, SchedulerSettings

    return Scheduler(SchedulerSettings())
