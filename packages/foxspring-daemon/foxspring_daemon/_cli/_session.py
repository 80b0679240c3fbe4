"""Shared by the commands: the session, requests and printing of results."""

from typing import Any, NamedTuple

import msgspec

from foxspring_daemon._cli._client import Client, new_id
from foxspring_daemon._cli._output import json_or_exit, print_json, print_table

POLL_INTERVAL_S = 0.2
DEFAULT_WAIT_LIMIT_S = 600.0
LIST_COLUMNS = {
    "services": ("name", "team", "replicas", "running", "targets", "waits_for"),
    "targets": (
        "target_id",
        "address",
        "failure_domain",
        "rack",
        "owner",
        "owner_epoch",
        "services",
        "tasks",
        "leaving",
        "draining",
    ),
    "entries": (
        "entry_id",
        "http_address",
        "failure_domain",
        "lease_valid",
        "confirmed_revision",
        "draining",
        "targets",
    ),
    "audit": ("log_index", "at_ms", "who", "change_id", "action", "outcome"),
}


class Session(NamedTuple):
    """Context of a command: the client and the output format."""

    client: Client
    output: str


def get_json(session: Session, path: str) -> Any:
    """Return the JSON at ``path``, or exit with an error."""
    return json_or_exit(session.client.request("GET", path))


def post_change(session: Session, path: str, body: dict[str, Any], prefix: str) -> None:
    """Post a change under a new change id and show its status."""
    headers = {"Foxspring-Change-Id": new_id(prefix)}
    reply = session.client.request("POST", path, msgspec.json.encode(body), headers)
    show_fields(session, json_or_exit(reply), ("status",))


def show_list(session: Session, name: str) -> None:
    """Show the list ``name``, one of ``LIST_COLUMNS``."""
    answer = get_json(session, f"/v1/{name}")
    show_rows(session, answer[name], LIST_COLUMNS[name])


def show_fields(
    session: Session, answer: dict[str, Any], columns: tuple[str, ...]
) -> None:
    """Show those fields of a response that are in ``columns``."""
    show_rows(session, [answer], tuple(name for name in columns if name in answer))


def show_rows(session: Session, rows: Any, columns: tuple[str, ...]) -> None:
    """Show rows as a table or as JSON."""
    if session.output == "json":
        print_json(rows)
        return
    print_table(rows, columns)
