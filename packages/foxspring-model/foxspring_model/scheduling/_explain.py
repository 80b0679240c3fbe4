"""Explanations of why a queued task is waiting or a job can never run."""

from foxspring_model._configuration import Team
from foxspring_model._job import JobSpec
from foxspring_model._resources import Resources
from foxspring_model.scheduling._quota import TeamUsage, exceeded_quota
from foxspring_model.scheduling._records import TaskRecord
from foxspring_model.scheduling._site import Site
from foxspring_model.scheduling._target_table import TargetTable


def describe(amount: Resources) -> str:
    """Return the amounts that are not zero as ``name=amount`` pairs."""
    pairs = zip(amount._fields, amount, strict=True)
    return " ".join(f"{name}={value}" for name, value in pairs if value) or "nothing"


def never_fits(spec: JobSpec, target_table: TargetTable, team: Team) -> str:
    """Return why a job can never run, or ``""`` if it may or no target is known."""
    quota = exceeded_quota(TeamUsage(team), spec.resources)
    if quota:
        return f"one task alone is over the quota: {quota}"
    capacities = list(target_table.capacities)
    if not capacities or any(spec.resources.fits_in(each) for each in capacities):
        return ""
    return (
        f"a task needs {describe(spec.resources)} and no target has more than"
        f" {describe(target_table.largest)}; ask for less for each task"
    )


def delay_reasons(record: TaskRecord, now_ms: int) -> list[str]:
    """Return the remaining delay of a task after a failed run or refusal."""
    left_ms = record.not_before_ms - now_ms
    if left_ms <= 0:
        return []
    return [f"waits {left_ms} ms more after {record.attempts} failed runs"]


def capacity_reasons(record: TaskRecord, site: Site) -> list[str]:
    """Return the free capacity of the site compared with the size of the task."""
    size = site.size_of(record.group)
    if site.target_table.may_fit(size):
        return _interference_reasons(record, site)
    reasons = [
        f"needs {describe(size)} on one target;"
        f" {site.target_table.announced_count} targets have"
        f" {describe(site.target_table.total_free)} free in total and none has enough"
    ]
    closed = sum(1 for target in site.target_table.by_id.values() if not target.is_open)
    if closed:
        reasons.append(f"{closed} targets are draining, leaving or quarantined")
    return reasons


def unproven_reasons(record: TaskRecord, site: Site) -> list[str]:
    """Return the limit on tasks of a job that has failed and never succeeded."""
    if not site.is_held_back(record.group):
        return []
    job_id, limit = record.group.shape.job_id, site.settings.tasks_per_unproven_job
    count = len(site.failures.jobs[job_id].failed_on)
    return [f"job {job_id} failed on {count} targets; {limit} of its tasks run at once"]


def _interference_reasons(record: TaskRecord, site: Site) -> list[str]:
    if record.group.service:
        return []
    under_pressure = sum(1 for load in site.loads.values() if load.state.steps)
    name = record.group.shape.work_class
    tried = sum(
        1
        for target_id, load in site.loads.items()
        if site.target_table.class_tasks_on(target_id, name) >= load.trials.limit(name)
    )
    return [
        f"{under_pressure} of {site.target_table.announced_count} targets are avoided"
        f" for services under pressure; {tried} run as many tasks of work class {name}"
        " as are allowed until its interference is measured; the task waits for a"
        " target with less interference"
    ]
