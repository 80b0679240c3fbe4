"""Invariant checks of batch jobs after all of them have ended."""

from collections.abc import Iterable
from typing import Any

from foxspring_model import Invariant

from foxspring_testing._check_result import CheckResult
from foxspring_testing._events import RunEvent
from foxspring_testing._operator_traffic import SubmittedJob
from foxspring_testing._operator_views import ENDED
from foxspring_testing._runs import task_runs


def check_jobs(
    submitted: Iterable[SubmittedJob], jobs: Iterable[Any], events: Iterable[RunEvent]
) -> CheckResult:
    """Check that accepted jobs exist exactly once and finished tasks ran.

    ``jobs`` are the operators' views of all jobs, as JSON objects.
    """
    by_id: dict[str, Any] = {}
    violations = []
    for job in jobs:
        if job["job_id"] in by_id:
            violations.append(f"{job['job_id']} is listed twice")
        by_id[job["job_id"]] = job
    runs = task_runs(events)
    finished = {
        (run.start.task_id, run.start.epoch)
        for run in runs
        if run.end_state == "finished"
    }
    last_epochs: dict[str, int] = {}
    for run in runs:
        last = last_epochs.get(run.start.task_id, 0)
        last_epochs[run.start.task_id] = max(last, run.start.epoch)
    submitted_jobs = list(submitted)
    violations += [
        f"{job.change_id} was accepted as {job.job_id} and is lost"
        for job in submitted_jobs
        if job.job_id and job.job_id not in by_id
    ]
    ids = [job.job_id for job in submitted_jobs if job.job_id]
    violations += [
        f"{name} was returned for two submissions" for name in _duplicates(ids)
    ]
    for job in by_id.values():
        for task in job["tasks"]:
            violations += _task_violations(task, finished, last_epochs)
    return CheckResult(Invariant.RESUME_ONCE, len(by_id), tuple(violations))


def unfinished_job_ids(jobs: Iterable[Any]) -> list[str]:
    """Return the ids of the jobs that have not ended."""
    return [job["job_id"] for job in jobs if job["state"] not in ENDED]


def describe_unfinished(job: Any) -> str:
    """Return the state of a job, the failed runs of its open tasks and why it waits.

    ``job`` is the operators' view of one job, as a JSON object.
    """
    tasks = [
        f"{task['task_id']} {task['state']} after {task['attempts']} failed runs"
        for task in job["tasks"]
        if task["state"] not in ENDED
    ]
    parts = [*tasks, *job["waits_for"]]
    return f"{job['job_id']} {job['state']} ({'; '.join(parts)})"


def _duplicates(ids: list[str]) -> list[str]:
    return sorted({name for name in ids if ids.count(name) > 1})


def _task_violations(
    task: Any, finished: set[tuple[str, int]], last_epochs: dict[str, int]
) -> list[str]:
    name, epoch = task["task_id"], task["epoch"]
    violations = []
    if task["state"] == "finished" and (name, epoch) not in finished:
        violations.append(
            f"{name} is reported finished at epoch {epoch} but did not finish"
        )
    if task["state"] in ENDED and last_epochs.get(name, 0) > epoch:
        violations.append(
            f"{name} ended at epoch {epoch} but ran at {last_epochs[name]}"
        )
    if task["resumed"] and name not in last_epochs:
        violations.append(f"{name} is reported resumed but never ran")
    if task["resumed"] >= max(1, epoch):
        violations.append(f"{name} resumed {task['resumed']} times in {epoch} runs")
    return violations
