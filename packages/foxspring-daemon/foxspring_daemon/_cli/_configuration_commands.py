"""Commands that show, compare and apply the configuration."""

import difflib
import pathlib
import time
from typing import Any

import click
from foxspring_config import ConfigurationError, parse_configuration

from foxspring_daemon._cli._client import RequestFailure, new_id
from foxspring_daemon._cli._output import fail, json_or_exit, print_json
from foxspring_daemon._cli._session import (
    DEFAULT_WAIT_LIMIT_S,
    POLL_INTERVAL_S,
    Session,
    get_json,
    show_fields,
)


@click.command()
@click.argument("file", type=click.Path(exists=True, path_type=pathlib.Path))
@click.option("--base", type=int, help="Revision that the change is based on.")
@click.option("--change-id", help="Id of the change; reuse it to resend the change.")
@click.option("--wait", is_flag=True, help="Wait until it is in force everywhere.")
@click.option("--wait-limit", type=float, default=DEFAULT_WAIT_LIMIT_S, help="Seconds.")
@click.pass_obj
def apply(
    session: Session,
    file: pathlib.Path,
    base: int | None,
    change_id: str | None,
    wait: bool,
    wait_limit: float,
) -> None:
    """Apply the configuration in FILE."""
    text = file.read_text()
    _check_configuration(text, str(file))
    if base is None:
        base = int(get_json(session, "/v1/configuration")["revision"])
    headers = {
        "Foxspring-Change-Id": change_id or new_id("change"),
        "Foxspring-Base-Revision": str(base),
    }
    reply = session.client.request("POST", "/v1/configuration", text.encode(), headers)
    answer = json_or_exit(reply)
    if wait:
        answer |= _wait_until_in_force(session, answer["revision"], wait_limit)
    show_fields(session, answer, ("status", "revision", "waited_for"))


@click.command()
@click.pass_obj
def show(session: Session) -> None:
    """Show the configuration in force."""
    answer = get_json(session, "/v1/configuration")
    if session.output == "json":
        print_json(answer)
        return
    click.echo(f"# revision {answer['revision']}")
    click.echo(answer["text"], nl=False)


@click.command()
@click.argument("file", type=click.Path(exists=True, path_type=pathlib.Path))
@click.pass_obj
def diff(session: Session, file: pathlib.Path) -> None:
    """Show what applying FILE would change."""
    text = file.read_text()
    _check_configuration(text, str(file))
    answer = get_json(session, "/v1/configuration")
    lines = difflib.unified_diff(
        answer["text"].splitlines(),
        text.splitlines(),
        f"revision {answer['revision']}",
        str(file),
        lineterm="",
    )
    for line in lines:
        click.echo(line)


def _check_configuration(text: str, source: str) -> None:
    try:
        parse_configuration(text, source)
    except ConfigurationError as error:
        raise click.ClickException(str(error)) from error


def _wait_until_in_force(
    session: Session, revision: int, limit_s: float
) -> dict[str, Any]:
    deadline = time.monotonic() + limit_s
    waited: set[str] = set()
    while True:
        answer = get_json(session, f"/v1/in-force?revision={revision}")
        if answer["in_force"]:
            return {"in_force": True, "waited_for": sorted(waited)}
        new = set(answer["waiting_for"]) - waited
        if new:
            click.echo(f"waiting for: {', '.join(sorted(new))}", err=True)
        waited |= new
        if time.monotonic() > deadline:
            detail = f"revision {revision} is not in force everywhere yet"
            fail(RequestFailure("may_have_run", detail))
        time.sleep(POLL_INTERVAL_S)
