"""What must be true of batch jobs once a run has come to rest."""

from collections.abc import Iterable
from typing import Any

from foxspring_model import Invariant

from foxspring_testing._audit_view import ENDED
from foxspring_testing._check_result import CheckResult
from foxspring_testing._events import RunEvent
from foxspring_testing._operator_traffic import ToldJob
from foxspring_testing._runs import task_runs


def check_jobs(
    told: Iterable[ToldJob], jobs: Iterable[Any], events: Iterable[RunEvent]
) -> CheckResult:
    """Check that accepted jobs are kept once and finished tasks really ran.

    ``jobs`` are the operators' views of all jobs, as JSON objects.
    """
    by_id: dict[str, Any] = {}
    violations = []
    for job in jobs:
        if job["job_id"] in by_id:
            violations.append(f"{job['job_id']} stands twice")
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
    kept = list(told)
    violations += [
        f"{job.change_id} was accepted as {job.job_id} and is lost"
        for job in kept
        if job.job_id and job.job_id not in by_id
    ]
    ids = [job.job_id for job in kept if job.job_id]
    violations += [f"{name} answers two submissions" for name in _doubles(ids)]
    for job in by_id.values():
        for task in job["tasks"]:
            violations += _task_faults(task, finished, last_epochs)
    return CheckResult(Invariant.RESUME_ONCE, len(by_id), tuple(violations))


def unfinished(jobs: Iterable[Any]) -> list[str]:
    """Return the ids of the jobs that have not ended."""
    return [job["job_id"] for job in jobs if job["state"] not in ENDED]


def _doubles(ids: list[str]) -> list[str]:
    return sorted({name for name in ids if ids.count(name) > 1})


def _task_faults(
    task: Any, finished: set[tuple[str, int]], last_epochs: dict[str, int]
) -> list[str]:
    name, epoch = task["task_id"], task["epoch"]
    faults = []
    if task["state"] == "finished" and (name, epoch) not in finished:
        faults.append(f"{name} is called finished at epoch {epoch} and did not finish")
    if task["state"] in ENDED and last_epochs.get(name, 0) > epoch:
        faults.append(f"{name} ended at epoch {epoch} and ran at {last_epochs[name]}")
    if task["resumed"] and name not in last_epochs:
        faults.append(f"{name} is called resumed and never ran")
    if task["resumed"] >= max(1, epoch):
        faults.append(f"{name} resumed {task['resumed']} times in {epoch} runs")
    return faults
