"""Why a queued task waits, and why a job can never run, with the figures."""

from foxspring_model._configuration import Team
from foxspring_model._job import JobSpec
from foxspring_model._resources import Resources
from foxspring_model.scheduling._quota import TeamUse, refusal
from foxspring_model.scheduling._records import TaskRecord
from foxspring_model.scheduling._rooms import Rooms
from foxspring_model.scheduling._site import Site


def describe(amount: Resources) -> str:
    """Return the amounts that are not zero as ``name=amount`` pairs."""
    pairs = zip(amount._fields, amount, strict=True)
    return " ".join(f"{name}={value}" for name, value in pairs if value) or "nothing"


def never_fits(spec: JobSpec, rooms: Rooms, team: Team) -> str:
    """Return why a job can never run, or ``""`` if it may or it isn't known."""
    quota = refusal(TeamUse(team), spec.resources)
    if quota:
        return f"one task alone is over the quota: {quota}"
    capacities = list(rooms.capacities)
    if not capacities or any(spec.resources.fits_in(each) for each in capacities):
        return ""
    return (
        f"a task needs {describe(spec.resources)} and no target has more than"
        f" {describe(rooms.largest)}; ask for less for each task"
    )


def waits_for_time(record: TaskRecord, now_ms: int) -> list[str]:
    """Return the delay that a task serves after a failed run or refusal."""
    left_ms = record.not_before_ms - now_ms
    if left_ms <= 0:
        return []
    return [f"waits {left_ms} ms more after {record.attempts} failed runs"]


def waits_for_room(record: TaskRecord, site: Site) -> list[str]:
    """Return what the site has free against what the task needs."""
    size = site.size_of(record.group)
    if site.rooms.may_fit(size):
        return _avoided(record, site)
    reasons = [
        f"needs {describe(size)} on one target; {site.rooms.known} targets have"
        f" {describe(site.rooms.total_free)} free together and none has enough"
    ]
    closed = sum(1 for room in site.rooms.by_id.values() if not room.is_open)
    if closed:
        reasons.append(f"{closed} targets are draining, leaving or quarantined")
    return reasons


def waits_for_proof(record: TaskRecord, site: Site) -> list[str]:
    """Return the limit on a job that has failed and never succeeded."""
    job_id, most = record.group.shape.job_id, site.settings.unproven_at_once
    if not site.failures.unproven(job_id) or record.group.placed < most:
        return []
    count = len(site.failures.jobs[job_id].failed_on)
    return [f"job {job_id} failed on {count} targets; {most} of its tasks run at once"]


def _avoided(record: TaskRecord, site: Site) -> list[str]:
    if record.group.service:
        return []
    pressed = sum(1 for load in site.loads.values() if load.state.steps)
    name = record.group.shape.work_class
    tried = sum(
        1
        for target_id, load in site.loads.items()
        if site.rooms.class_tasks_on(target_id, name) >= load.trials.limit(name)
    )
    return [
        f"{pressed} of {site.rooms.known} targets are avoided for services under"
        f" pressure; {tried} already try work class {name}, which more tasks may"
        " join after their next reports; it waits for one where it disturbs less"
    ]
