"""Commands that read logs: they need no running system."""

import pathlib

import click

from foxspring_daemon._cli._explanation import explain as explain_events
from foxspring_daemon._cli._log_lines import known_events, problem_of, read_events

_LOGS = click.Path(exists=True, dir_okay=False, path_type=pathlib.Path)
SHOWN_PROBLEMS = 20


@click.command()
@click.argument("job")
@click.argument("logs", nargs=-1, required=True, type=_LOGS)
def explain(job: str, logs: tuple[pathlib.Path, ...]) -> None:
    """Print the way of JOB through LOGS of several daemons, and its likely cause."""
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
    """Work with the daemons' logs."""


@logs.command("check")
@click.argument("files", nargs=-1, required=True, type=_LOGS)
def check_logs(files: tuple[pathlib.Path, ...]) -> None:
    """Tell which lines of FILES break the published list of events."""
    known = known_events()
    lines = 0
    problems: dict[str, int] = {}
    for event in read_events(files):
        lines += 1
        problem = problem_of(event, known)
        if problem:
            problems[problem] = problems.get(problem, 0) + 1
    for problem, count in sorted(problems.items())[:SHOWN_PROBLEMS]:
        click.echo(f"{count} lines: {problem}")
    click.echo(f"{lines} events read, {sum(problems.values())} break the list")
    if problems:
        raise SystemExit(1)
