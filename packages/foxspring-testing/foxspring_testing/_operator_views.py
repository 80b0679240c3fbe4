"""Jobs, tasks, targets and audit records as operators see them, for checks."""

from typing import Any, NamedTuple

from foxspring_testing._clients import OperatorClient
from foxspring_testing._wait import wait_until

ENDED = frozenset({"finished", "failed", "cancelled"})


class TaskCounts(NamedTuple):
    """Number of tasks of batch jobs by final state, and the sum of resumes."""

    finished: int = 0
    failed: int = 0
    cancelled: int = 0
    unfinished: int = 0
    resumed: int = 0


def get_job(client: OperatorClient, job_id: str) -> Any:
    """Return one job with its tasks."""
    return client.get(f"/v1/jobs/{job_id}")


def wait_job_ended(client: OperatorClient, job_id: str, timeout_s: float = 60) -> Any:
    """Wait until a job has ended and return it.

    Raises:
        NotReachedError: the job did not end within ``timeout_s`` seconds.
    """
    wait_until(
        lambda: get_job(client, job_id)["state"] in ENDED,
        f"the end of {job_id}",
        timeout_s,
    )
    return get_job(client, job_id)


def count_tasks(jobs: list[Any]) -> TaskCounts:
    """Count the tasks of all ``jobs``."""
    tasks = [task for each in jobs for task in each["tasks"]]
    states = [task["state"] for task in tasks]
    return TaskCounts(
        states.count("finished"),
        states.count("failed"),
        states.count("cancelled"),
        sum(state not in ENDED for state in states),
        sum(task["resumed"] for task in tasks),
    )


def audit_lines(client: OperatorClient) -> list[str]:
    """Return the audit trail, one line per record."""
    records = client.get("/v1/audit?limit=200")["audit"]
    return [
        f"log_index={record['log_index']} who={record['who']} "
        f"change_id={record['change_id']} action={record['action']} "
        f"outcome={record['outcome']!r}"
        for record in records
    ]


def service_targets(client: OperatorClient, service: str) -> list[str]:
    """Return the targets that run a replica of the service."""
    targets = client.get("/v1/targets")["targets"]
    return [each["target_id"] for each in targets if service in each["services"]]


def owned_targets(client: OperatorClient) -> dict[str, str]:
    """Return the owning entry of each target that has one."""
    targets = client.get("/v1/targets")["targets"]
    return {each["target_id"]: each["owner"] for each in targets if each["owner"]}
