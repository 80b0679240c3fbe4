"""A long randomised test of a whole site: ``make soak SECONDS=600 SEED=1``."""

import logging
import sys
import tempfile
from pathlib import Path

import click

from foxspring_testing._process import exit_on_sigterm
from foxspring_testing._schedule import make_schedule, parse_schedule
from foxspring_testing._site_settings import SiteSize
from foxspring_testing._soak import SHORT_SIZE, SOAK_SIZE, SoakResult, run_soak


@click.command()
@click.option(
    "--seconds", default=600.0, help="Duration of the fault schedule in seconds."
)
@click.option(
    "--seed",
    default=1,
    help="Seed of the schedule; the same seed gives the same schedule.",
)
@click.option("--short", is_flag=True, help="Use a smaller site.")
@click.option(
    "--folder",
    type=click.Path(file_okay=False, path_type=Path),
    help="Folder for logs, settings and records.",
)
@click.option(
    "--schedule",
    "schedule_path",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="Run the schedule of this file instead of a generated one.",
)
def main(
    seconds: float,
    seed: int,
    short: bool,
    folder: Path | None,
    schedule_path: Path | None,
) -> None:
    """Run a site under scheduled faults, then check every invariant."""
    exit_on_sigterm()
    logging.basicConfig(level=logging.INFO, format="at=%(asctime)s %(message)s")
    size = SHORT_SIZE if short else SOAK_SIZE
    folder = folder or Path(tempfile.mkdtemp(prefix="foxspring-soak-"))
    folder.mkdir(parents=True, exist_ok=True)
    if schedule_path is None:
        steps = make_schedule(seed, seconds, process_names(size))
    else:
        steps = parse_schedule(schedule_path.read_text())
    schedule_file = folder / "schedule.txt"
    schedule_file.write_text("".join(f"{step.line()}\n" for step in steps))
    click.echo(f"seed={seed} steps={len(steps)} schedule={schedule_file}")
    result = run_soak(folder, size, steps, seed)
    print_result(result, seed)
    sys.exit(0 if result.passed() else 1)


def process_names(size: SiteSize) -> list[str]:
    """Return the names of all processes of a site."""
    counts = {"control": size.controls, "entry": size.entries, "target": size.targets}
    return [
        f"{role}-{number}"
        for role, count in counts.items()
        for number in _numbers(count)
    ]


def print_result(result: SoakResult, seed: int) -> None:
    """Print the result of a soak test."""
    for check in result.checks:
        click.echo(check.line())
    for fault in result.faults:
        click.echo(f"fault={fault!r}")
    click.echo(
        f"seed={seed} verdicts={result.verdicts} jobs={result.jobs} "
        f"changes={result.changes} good={result.passed()}"
    )


def _numbers(count: int) -> range:
    return range(1, count + 1)


if __name__ == "__main__":
    main()
