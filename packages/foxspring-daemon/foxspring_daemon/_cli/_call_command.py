"""The command that sends a caller's request to a service."""

import sys

import click

from foxspring_daemon._cli import _exit_codes as exit_codes
from foxspring_daemon._cli._client import RequestFailure
from foxspring_daemon._cli._output import fail
from foxspring_daemon._cli._session import Session

IDEMPOTENT_METHODS = ("GET", "HEAD", "PUT", "DELETE", "OPTIONS")
_MS_PER_S = 1_000
_TIMEOUT_MARGIN_S = 5.0


@click.command()
@click.argument("service")
@click.argument("path", default="")
@click.option("--method", default="GET")
@click.option("--data", default="", help="Request body, as text.")
@click.option(
    "--key", default="", help="Idempotency key; reuse it to resend the request."
)
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
    """Send one request to SERVICE and print the response body.

    A request whose method is not idempotent is retried at further entries only
    if it has certainly not run, or if --key is given.
    """
    headers = {"Foxspring-Deadline-Ms": str(deadline_ms)}
    if key:
        headers["Idempotency-Key"] = key
    reply = session.client.request(
        method.upper(),
        f"/services/{service}/{path.lstrip('/')}",
        data.encode(),
        headers,
        idempotent=bool(key) or method.upper() in IDEMPOTENT_METHODS,
        timeout_s=deadline_ms / _MS_PER_S + _TIMEOUT_MARGIN_S,
    )
    if isinstance(reply, RequestFailure) or reply.verdict != "ran":
        fail(reply)
    click.echo(reply.body.decode(errors="replace"))
    sys.exit(exit_codes.OK if reply.status < 400 else exit_codes.REJECTED)
