"""Printing of answers as tables or JSON, and exit codes by verdict."""

import sys
from collections.abc import Sequence
from typing import Any, NoReturn

import click
import msgspec

from foxspring_daemon._cli import _exit_codes as exit_codes
from foxspring_daemon._cli._client import HTTP_UNAUTHORIZED, Reply, Unreachable

_FIRST_FAILURE_STATUS = 400
_CODES = {
    "not_run": exit_codes.NOT_RUN,
    "may_have_run": exit_codes.MAY_HAVE_RUN,
}


def print_json(value: Any) -> None:
    """Print ``value`` as indented JSON."""
    text = msgspec.json.format(msgspec.json.encode(value), indent=2)
    click.echo(text.decode())


def print_table(rows: Sequence[dict[str, Any]], columns: Sequence[str]) -> None:
    """Print the given columns of ``rows``, aligned, with a heading."""
    table = [list(columns)]
    table += [[_cell(row.get(column, "")) for column in columns] for row in rows]
    widths = [max(len(line[at]) for line in table) for at in range(len(columns))]
    for line in table:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        click.echo("  ".join(cells).rstrip())


def fail(outcome: Reply | Unreachable) -> NoReturn:
    """Say why the request failed and exit with its verdict's code."""
    if isinstance(outcome, Unreachable):
        click.echo(f"{outcome.verdict}: {outcome.detail}", err=True)
        sys.exit(_CODES.get(outcome.verdict, exit_codes.REJECTED))
    answer = outcome.json()
    fields = answer if isinstance(answer, dict) else {}
    detail = fields.get("detail") or fields.get("reason") or f"HTTP {outcome.status}"
    click.echo(f"{outcome.verdict or 'rejected'}: {detail}", err=True)
    if outcome.status == HTTP_UNAUTHORIZED:
        sys.exit(exit_codes.UNAUTHORIZED)
    if fields.get("status") == "conflict":
        sys.exit(exit_codes.CONFLICT)
    rejected = _FIRST_FAILURE_STATUS <= outcome.status < 500
    code = exit_codes.REJECTED if rejected else _CODES.get(outcome.verdict)
    sys.exit(code or exit_codes.REJECTED)


def answer_or_exit(outcome: Reply | Unreachable) -> Any:
    """Return the JSON of a successful answer; end the process otherwise."""
    if isinstance(outcome, Unreachable) or outcome.status >= _FIRST_FAILURE_STATUS:
        fail(outcome)
    return outcome.json()


def _cell(value: Any) -> str:
    if isinstance(value, list):
        return ",".join(str(item) for item in value)
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)
