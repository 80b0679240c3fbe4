"""Rules for configuration changes and the service replicas they require."""

from collections.abc import Iterable

from foxspring_model import (
    ApplyConfiguration,
    CommandResult,
    Configuration,
    Priority,
    Service,
    Task,
    TaskKind,
)

from foxspring_control.state._records import ConfigurationRecord, TaskRecord

SERVICE_JOB_PREFIX = "service/"


def conflict(
    command: ApplyConfiguration, current: ConfigurationRecord
) -> CommandResult | None:
    """Return the ``conflict`` answer if the base revision is outdated, else None."""
    if command.base_revision == current.revision:
        return None
    return CommandResult(
        status="conflict",
        revision=current.revision,
        won_by=current.operator,
        reason=(
            f"base revision {command.base_revision} is not the revision in force,"
            f" {current.revision} by {current.operator or 'nobody'}"
            f" (change {current.change_id or 'none'}); show it, merge, apply again"
        ),
    )


def replica_ids(service: Service) -> list[str]:
    """Return the task ids of the service's replicas."""
    prefix = f"{SERVICE_JOB_PREFIX}{service.name}/"
    return [f"{prefix}{number}" for number in range(service.replicas)]


def new_replica(service: Service, task_id: str, epoch: int, now_ms: int) -> TaskRecord:
    """Return a new queued replica of ``service``.

    ``epoch`` is the log index of the change. It is higher than any epoch of an
    earlier replica with this id, so events of that replica are ignored.
    """
    return TaskRecord(
        Task(
            task_id=task_id,
            job_id=f"{SERVICE_JOB_PREFIX}{service.name}",
            kind=TaskKind.SERVICE,
            team=service.team,
            resources=service.replica,
            priority=Priority.URGENT,
            work_class=service.name,
            epoch=epoch,
            changed_ms=now_ms,
        )
    )


def desired_replicas(configuration: Configuration) -> Iterable[tuple[str, Service]]:
    """Yield the task id and the service of each configured replica."""
    for service in configuration.services:
        for task_id in replica_ids(service):
            yield task_id, service
