"""Commands that submit, cancel and show batch jobs."""

import pathlib
import sys
import time
from typing import Any

import click
import msgspec
from foxspring_config import ConfigurationError, parse_job

from foxspring_daemon._cli import _exit_codes as exit_codes
from foxspring_daemon._cli._client import RequestFailure, new_id
from foxspring_daemon._cli._output import (
    fail,
    json_or_exit,
    print_json,
    print_table,
)
from foxspring_daemon._cli._session import (
    DEFAULT_WAIT_LIMIT_S,
    POLL_INTERVAL_S,
    Session,
    get_json,
    show_fields,
    show_rows,
)

TERMINAL_STATES = ("finished", "failed", "cancelled")
JOB_COLUMNS = ("job_id", "name", "team", "state", "submitted_ms")
TASK_COLUMNS = (
    "task_id",
    "state",
    "epoch",
    "target_id",
    "attempts",
    "evictions",
    "resumed",
    "result",
    "reason",
)


@click.command()
@click.argument("file", type=click.Path(exists=True, path_type=pathlib.Path))
@click.option(
    "--change-id", help="Id of the submission; reuse it to resend the submission."
)
@click.option("--wait", is_flag=True, help="Wait until the job has ended.")
@click.option("--wait-limit", type=float, default=DEFAULT_WAIT_LIMIT_S, help="Seconds.")
@click.pass_obj
def submit(
    session: Session,
    file: pathlib.Path,
    change_id: str | None,
    wait: bool,
    wait_limit: float,
) -> None:
    """Submit the job in FILE (JSON)."""
    body = file.read_bytes()
    try:
        parse_job(body)
    except ConfigurationError as error:
        raise click.ClickException(str(error)) from error
    headers = {"Foxspring-Change-Id": change_id or new_id("submit")}
    answer = json_or_exit(session.client.request("POST", "/v1/jobs", body, headers))
    if wait:
        job = _wait_until_ended(session, answer["job_id"], wait_limit)
        _show_job(session, job)
        sys.exit(exit_codes.OK if job["state"] == "finished" else exit_codes.REJECTED)
    show_fields(session, answer, ("status", "job_id"))


@click.command()
@click.argument("job_ids", nargs=-1, required=True)
@click.option("--change-id", help="Id of the change; reuse it to resend the change.")
@click.pass_obj
def cancel(session: Session, job_ids: tuple[str, ...], change_id: str | None) -> None:
    """Cancel jobs; a job that has already ended is listed and is not an error."""
    headers = {"Foxspring-Change-Id": change_id or new_id("cancel")}
    body = msgspec.json.encode({"job_ids": list(job_ids)})
    answer = json_or_exit(
        session.client.request("POST", "/v1/jobs/cancel", body, headers)
    )
    show_fields(session, answer, ("status", "cancelled", "already_ended"))


@click.group(invoke_without_command=True)
@click.pass_context
def jobs(context: click.Context) -> None:
    """List jobs."""
    if context.invoked_subcommand is None:
        answer = get_json(context.obj, "/v1/jobs")
        show_rows(context.obj, answer["jobs"], JOB_COLUMNS)


@jobs.command("show")
@click.argument("job_id")
@click.pass_obj
def jobs_show(session: Session, job_id: str) -> None:
    """Show a job, its tasks, and why it is waiting."""
    _show_job(session, get_json(session, f"/v1/jobs/{job_id}"))


def _show_job(session: Session, job: dict[str, Any]) -> None:
    if session.output == "json":
        print_json(job)
        return
    print_table([job], JOB_COLUMNS)
    print_table(job["tasks"], TASK_COLUMNS)
    for reason in job.get("waits_for", []):
        click.echo(f"waits: {reason}")


def _wait_until_ended(session: Session, job_id: str, limit_s: float) -> dict[str, Any]:
    deadline = time.monotonic() + limit_s
    shown = ""
    while True:
        job: dict[str, Any] = get_json(session, f"/v1/jobs/{job_id}")
        states = [task["state"] for task in job["tasks"]]
        line = ", ".join(f"{states.count(each)} {each}" for each in sorted(set(states)))
        if line != shown:
            click.echo(f"{job_id}: {line}", err=True)
            shown = line
        if job["state"] in TERMINAL_STATES:
            return job
        if time.monotonic() > deadline:
            detail = f"{job_id} has not ended; see jobs show {job_id}"
            fail(RequestFailure("may_have_run", detail))
        time.sleep(POLL_INTERVAL_S)
