"""The ``foxspring`` command group and its general commands."""

import pathlib

import click
from foxspring_config import (
    ConfigurationError,
    load_settings,
    parse_configuration,
    parse_job,
    settings_page,
)

from foxspring_daemon._cli import (
    _call_command,
    _configuration_commands,
    _job_commands,
    _log_commands,
    _site_commands,
)
from foxspring_daemon._cli._client import Client
from foxspring_daemon._cli._session import Session


@click.group(context_settings={"auto_envvar_prefix": "FOXSPRING"})
@click.option(
    "--entry",
    "entries",
    multiple=True,
    envvar="FOXSPRING_ENTRY",
    help="Address of an entry, such as 10.0.0.1:8000; several are tried in turn.",
)
@click.option("--token", default="", envvar="FOXSPRING_TOKEN", help="Your token.")
@click.option(
    "--token-file",
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
    help="File that contains only your token.",
)
@click.option("--output", type=click.Choice(["table", "json"]), default="table")
@click.pass_context
def cli(
    context: click.Context,
    entries: tuple[str, ...],
    token: str,
    token_file: pathlib.Path | None,
    output: str,
) -> None:
    """Operate foxspring.

    Exit codes: 0 done, 1 rejected, 2 usage, 3 not run (safe to retry),
    4 may have run, 5 another change won, 6 bad token.
    """
    secret = token_file.read_text().strip() if token_file else token
    context.obj = Session(Client(entries, secret), output)


@click.command()
@click.argument("file", type=click.Path(exists=True, path_type=pathlib.Path))
@click.option(
    "--kind",
    type=click.Choice(["auto", "settings", "configuration", "job"]),
    default="auto",
)
def check(file: pathlib.Path, kind: str) -> None:
    """Validate a settings file, configuration or job without applying it."""
    try:
        if kind == "auto":
            kind = _detect_kind(file)
        if kind == "settings":
            load_settings(file)
        elif kind == "job":
            parse_job(file.read_bytes())
        else:
            parse_configuration(file.read_text(), str(file))
    except (ConfigurationError, UnicodeDecodeError) as error:
        raise click.ClickException(str(error)) from error
    click.echo(f"{file}: good {kind}")


@click.command("settings-page")
def print_settings_page() -> None:
    """Print the documentation page of all settings."""
    click.echo(settings_page(), nl=False)


for _command in (
    _configuration_commands.apply,
    _configuration_commands.show,
    _configuration_commands.diff,
    _job_commands.submit,
    _job_commands.cancel,
    _job_commands.jobs,
    _site_commands.services,
    _site_commands.targets,
    _site_commands.entries,
    _site_commands.members,
    _site_commands.drain,
    _site_commands.audit,
    _site_commands.status,
    _call_command.call,
    _log_commands.explain,
    _log_commands.logs,
    check,
    print_settings_page,
):
    cli.add_command(_command)


def main() -> None:
    """Run the command line."""
    cli()


def _detect_kind(file: pathlib.Path) -> str:
    text = file.read_text()
    if text.lstrip().startswith("{"):
        return "job"
    return "settings" if "[daemon]" in text else "configuration"
