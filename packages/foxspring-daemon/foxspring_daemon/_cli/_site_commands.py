"""Commands on services, targets, entries, members, the audit and site status."""

from urllib.parse import urlencode

import click

from foxspring_daemon._cli._output import print_json
from foxspring_daemon._cli._session import (
    LIST_COLUMNS,
    Session,
    get_json,
    post_change,
    show_list,
    show_rows,
)


@click.command()
@click.pass_obj
def services(session: Session) -> None:
    """List services."""
    show_list(session, "services")


@click.command()
@click.pass_obj
def targets(session: Session) -> None:
    """List targets."""
    show_list(session, "targets")


@click.command()
@click.pass_obj
def entries(session: Session) -> None:
    """List entries."""
    show_list(session, "entries")


@click.group(invoke_without_command=True)
@click.pass_context
def members(context: click.Context) -> None:
    """List the members of the control group."""
    if context.invoked_subcommand is None:
        answer = get_json(context.obj, "/v1/members")
        columns = ("member_id", "link_address", "failure_domain", "voter", "leader")
        show_rows(context.obj, answer["members"], columns)


@members.command("add")
@click.argument("member_id")
@click.argument("address")
@click.option("--failure-domain", default="")
@click.pass_obj
def members_add(
    session: Session, member_id: str, address: str, failure_domain: str
) -> None:
    """Add a control member; it votes once it has caught up."""
    body = {
        "action": "add",
        "member_id": member_id,
        "link_address": address,
        "failure_domain": failure_domain,
    }
    post_change(session, "/v1/members", body, "member")


@members.command("remove")
@click.argument("member_id")
@click.pass_obj
def members_remove(session: Session, member_id: str) -> None:
    """Remove a control member permanently."""
    post_change(
        session, "/v1/members", {"action": "remove", "member_id": member_id}, "m"
    )


@click.command()
@click.argument("target_id")
@click.option("--undo", is_flag=True, help="Allow new work again.")
@click.pass_obj
def drain(session: Session, target_id: str, undo: bool) -> None:
    """Stop placing work on a target."""
    body = {"target_id": target_id, "draining": not undo}
    post_change(session, "/v1/drain", body, "drain")


@click.command()
@click.option("--who", default="")
@click.option("--change-id", "changed_by", default="")
@click.option("--action", default="")
@click.option("--since-ms", type=int, default=0, help="Unix time in milliseconds.")
@click.option("--limit", type=int, default=200)
@click.pass_obj
def audit(
    session: Session, who: str, changed_by: str, action: str, since_ms: int, limit: int
) -> None:
    """Show who changed what."""
    filters = {
        "who": who,
        "change_id": changed_by,
        "action": action,
        "since_ms": since_ms,
        "limit": limit,
    }
    query = urlencode({key: value for key, value in filters.items() if value})
    answer = get_json(session, f"/v1/audit?{query}")
    show_rows(session, answer["audit"], LIST_COLUMNS["audit"])


@click.command()
@click.pass_obj
def status(session: Session) -> None:
    """Show a summary of the state of the whole site."""
    answer = get_json(session, "/v1/status")
    if session.output == "json":
        print_json(answer)
        return
    for key, value in answer.items():
        click.echo(f"{key}: {value}")
