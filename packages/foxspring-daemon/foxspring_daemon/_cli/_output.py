"""Output of responses as tables or JSON, and exit codes by verdict."""

import sys
from collections.abc import Sequence
from typing import Any, NoReturn

import click
import msgspec
from foxspring_model import Verdict

from foxspring_daemon._cli import _exit_codes as exit_codes
from foxspring_daemon._cli._client import HTTP_UNAUTHORIZED, Reply, RequestFailure

_FIRST_ERROR_STATUS = 400
_FIRST_SERVER_ERROR_STATUS = 500
_VERDICT_EXIT_CODES: dict[str, int] = {
    Verdict.NOT_RUN: exit_codes.NOT_RUN,
    Verdict.MAY_HAVE_RUN: exit_codes.MAY_HAVE_RUN,
}


def print_json(value: Any) -> None:
    """Print ``value`` as indented JSON."""
    text = msgspec.json.format(msgspec.json.encode(value), indent=2)
    click.echo(text.decode())


def print_table(rows: Sequence[dict[str, Any]], columns: Sequence[str]) -> None:
    """Print the given columns of ``rows`` as an aligned table with a header."""
    table = [list(columns)]
    table += [[_format_cell(row.get(column, "")) for column in columns] for row in rows]
    widths = [max(len(line[at]) for line in table) for at in range(len(columns))]
    for line in table:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        click.echo("  ".join(cells).rstrip())


def fail(outcome: Reply | RequestFailure) -> NoReturn:
    """Print why the request failed and exit with the code of its verdict."""
    if isinstance(outcome, RequestFailure):
        click.echo(f"{outcome.verdict}: {outcome.detail}", err=True)
        sys.exit(_VERDICT_EXIT_CODES.get(outcome.verdict, exit_codes.REJECTED))
    answer = outcome.json()
    fields = answer if isinstance(answer, dict) else {}
    detail = fields.get("detail") or fields.get("reason") or f"HTTP {outcome.status}"
    click.echo(f"{outcome.verdict or 'rejected'}: {detail}", err=True)
    if outcome.status == HTTP_UNAUTHORIZED:
        sys.exit(exit_codes.UNAUTHORIZED)
    if fields.get("status") == "conflict":
        sys.exit(exit_codes.CONFLICT)
    sys.exit(_exit_code(outcome))


def _exit_code(reply: Reply) -> int:
    rejected = _FIRST_ERROR_STATUS <= reply.status < _FIRST_SERVER_ERROR_STATUS
    if rejected and reply.verdict != Verdict.MAY_HAVE_RUN:
        return exit_codes.REJECTED
    return _VERDICT_EXIT_CODES.get(reply.verdict, exit_codes.REJECTED)


def json_or_exit(outcome: Reply | RequestFailure) -> Any:
    """Return the JSON body of a successful response, or exit with an error."""
    if isinstance(outcome, RequestFailure) or outcome.status >= _FIRST_ERROR_STATUS:
        fail(outcome)
    return outcome.json()


def _format_cell(value: Any) -> str:
    if isinstance(value, list):
        return ",".join(str(item) for item in value)
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)
