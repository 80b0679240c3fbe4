"""What the commands share: the client, and printing by the chosen output."""

from typing import Any, NamedTuple

import msgspec

from foxspring_daemon._cli._client import Client, new_id
from foxspring_daemon._cli._output import answer_or_exit, print_json, print_table

POLL_S = 0.2
WAIT_LIMIT_S = 600.0
LISTS = {
    "services": ("name", "team", "replicas", "running", "targets"),
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
    """What every command works with."""

    client: Client
    output: str


def get(session: Session, path: str) -> Any:
    """Return the JSON at ``path``, or end the process."""
    return answer_or_exit(session.client.request("GET", path))


def change(session: Session, path: str, body: dict[str, Any], prefix: str) -> None:
    """Send a change with a new change id and show its answer."""
    headers = {"Foxspring-Change-Id": new_id(prefix)}
    reply = session.client.request("POST", path, msgspec.json.encode(body), headers)
    show_answer(session, answer_or_exit(reply), ("status",))


def list_rows(session: Session, name: str) -> None:
    """Show one of the lists."""
    answer = get(session, f"/v1/{name}")
    show_rows(session, answer[name], LISTS[name])


def show_answer(
    session: Session, answer: dict[str, Any], columns: tuple[str, ...]
) -> None:
    """Show an answer's fields among ``columns``."""
    show_rows(session, [answer], tuple(name for name in columns if name in answer))


def show_rows(session: Session, rows: Any, columns: tuple[str, ...]) -> None:
    """Show rows as a table or as JSON."""
    if session.output == "json":
        print_json(rows)
        return
    print_table(rows, columns)
