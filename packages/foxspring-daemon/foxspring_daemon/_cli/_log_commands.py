"""Commands that read log files; they need no running site."""

import pathlib

import click

from foxspring_daemon._cli._explanation import explain as explain_events
from foxspring_daemon._cli._log_lines import find_problem, load_event_list, read_events

_LOG_FILE = click.Path(exists=True, dir_okay=False, path_type=pathlib.Path)
MAX_SHOWN_PROBLEMS = 20


@click.command()
@click.argument("job")
@click.argument("logs", nargs=-1, required=True, type=_LOG_FILE)
def explain(job: str, logs: tuple[pathlib.Path, ...]) -> None:
    """Trace JOB through LOGS of several daemons and print the likely cause."""
    explanation = explain_events(job, read_events(logs))
    for event in explanation.events:
        pairs = " ".join(
            f"{key}={value}"
            for key, value in event.fields.items()
            if key not in ("time", "daemon", "module", "level", "event")
        )
        click.echo(f"{event.time} {event.daemon} {event.name} {pairs}")
    click.echo(f"likely cause: {explanation.cause}")


@click.group()
def logs() -> None:
    """Work with the logs of daemons."""


@logs.command("check")
@click.argument("files", nargs=-1, required=True, type=_LOG_FILE)
def check_logs(files: tuple[pathlib.Path, ...]) -> None:
    """Report lines of FILES that do not match the published list of events."""
    known = load_event_list()
    lines = 0
    problems: dict[str, int] = {}
    for event in read_events(files):
        lines += 1
        problem = find_problem(event, known)
        if problem:
            problems[problem] = problems.get(problem, 0) + 1
    for problem, count in sorted(problems.items())[:MAX_SHOWN_PROBLEMS]:
        click.echo(f"{count} lines: {problem}")
    click.echo(f"{lines} events read, {sum(problems.values())} do not match the list")
    if problems:
        raise SystemExit(1)
