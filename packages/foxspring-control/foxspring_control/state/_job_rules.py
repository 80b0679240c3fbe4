"""Rules for accepting jobs, and the state of a job."""

from collections.abc import Iterable

from foxspring_model import (
    Configuration,
    JobSpec,
    Resources,
    Task,
    TaskKind,
    TaskView,
    Team,
)

from foxspring_control.state._records import JobRecord, TaskRecord


def reject_reason(
    spec: JobSpec,
    configuration: Configuration,
    capacities: Iterable[Resources],
    tasks_limit: int,
) -> str:
    """Return why ``spec`` can never run and how to fix it; empty if it can.

    The size of a task is not checked while no target is registered.
    """
    if not spec.name:
        return "job has no name; give it one"
    if not 1 <= spec.tasks <= tasks_limit:
        return f"tasks={spec.tasks} is outside 1..{tasks_limit}; split the job"
    if spec.resources.is_negative():
        return f"resources {_format(spec.resources)} are negative; use 0 or more"
    team = _find_team(configuration, spec.team)
    if team is None:
        return _unknown_team(spec.team, configuration)
    return _quota_reason(spec, team) or _size_reason(spec.resources, capacities)


def tasks_of(record: JobRecord) -> Iterable[TaskRecord]:
    """Yield the queued tasks of a new job, with ids from ``JOB/0`` on."""
    spec = record.spec
    for number in range(spec.tasks):
        yield TaskRecord(
            Task(
                task_id=f"{record.job_id}/{number}",
                job_id=record.job_id,
                kind=TaskKind.BATCH,
                team=spec.team,
                resources=spec.resources,
                priority=spec.priority,
                work_class=spec.work_class,
                changed_ms=record.submitted_ms,
            )
        )


def job_state(record: JobRecord, placed_tasks: int) -> str:
    """Return ``queued``, ``running``, ``finished``, ``failed`` or ``cancelled``."""
    if record.open_tasks:
        return "running" if placed_tasks else "queued"
    if record.cancelled:
        return "cancelled"
    return "failed" if record.failed_tasks else "finished"


def _find_team(configuration: Configuration, name: str) -> Team | None:
    return next((team for team in configuration.teams if team.name == name), None)


def _unknown_team(name: str, configuration: Configuration) -> str:
    known = ", ".join(sorted(team.name for team in configuration.teams)) or "none"
    return f"team {name!r} is not in the configuration; known teams: {known}"


def _quota_reason(spec: JobSpec, team: Team) -> str:
    limited = zip(spec.resources, team.max_resources, strict=True)
    if all(not limit or needed <= limit for needed, limit in limited):
        return ""
    return (
        f"one task needs {_format(spec.resources)} but team {team.name!r} may hold at"
        f" most {_format(team.max_resources)}; ask for less or raise the quota"
    )


def _size_reason(needed: Resources, capacities: Iterable[Resources]) -> str:
    known = list(capacities)
    if not known or any(needed.fits_in(capacity) for capacity in known):
        return ""
    largest = Resources(*(max(column) for column in zip(*known, strict=True)))
    return (
        f"one task needs {_format(needed)} and fits none of {len(known)} kinds of"
        f" target; the most of each resource is {_format(largest)}"
    )


def _format(amount: Resources) -> str:
    pairs = zip(amount._fields, amount, strict=True)
    return " ".join(f"{name}={value}" for name, value in pairs if value) or "nothing"


def task_view(task: Task) -> TaskView:
    """Return the task in the form shown to operators."""
    return TaskView(
        task_id=task.task_id,
        job_id=task.job_id,
        kind=str(task.kind),
        team=task.team,
        state=str(task.state),
        epoch=task.epoch,
        target_id=task.target_id,
        attempts=task.attempts,
        evictions=task.evictions,
        resumed=task.resumed,
        checkpoint=task.checkpoint,
        result=task.result,
        reason=task.reason,
    )
