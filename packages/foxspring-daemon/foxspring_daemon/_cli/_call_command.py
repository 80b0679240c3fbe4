"""The command for callers: one request to a service."""

import sys

import click

from foxspring_daemon._cli import _exit_codes as exit_codes
from foxspring_daemon._cli._client import Unreachable
from foxspring_daemon._cli._output import fail
from foxspring_daemon._cli._session import Session

SAFE_METHODS = ("GET", "HEAD", "PUT", "DELETE", "OPTIONS")
_MS_PER_S = 1_000
_MARGIN_S = 5.0


@click.command()
@click.argument("service")
@click.argument("path", default="")
@click.option("--method", default="GET")
@click.option("--data", default="", help="The body, as text.")
@click.option("--key", default="", help="Idempotency key; keep it to send it again.")
@click.option("--deadline-ms", type=int, default=10_000)
@click.pass_obj
def call(
    session: Session,
    service: str,
    path: str,
    method: str,
    data: str,
    key: str,
    deadline_ms: int,
) -> None:
    """Send one request to SERVICE and print the whole answer.

    A method that is not idempotent goes to further entries only while nothing
    was sent, or under --key.
    """
    headers = {"Foxspring-Deadline-Ms": str(deadline_ms)}
    if key:
        headers["Idempotency-Key"] = key
    reply = session.client.request(
        method.upper(),
        f"/services/{service}/{path.lstrip('/')}",
        data.encode(),
        headers,
        repeatable=bool(key) or method.upper() in SAFE_METHODS,
        timeout_s=deadline_ms / _MS_PER_S + _MARGIN_S,
    )
    if isinstance(reply, Unreachable) or reply.verdict != "ran":
        fail(reply)
    click.echo(reply.body.decode(errors="replace"))
    sys.exit(exit_codes.OK if reply.status < 400 else exit_codes.REJECTED)
