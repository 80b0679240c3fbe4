"""Collects every package's benchmarks into one table: ``make bench``."""

import importlib
import platform
import sys
import time
import traceback
from collections.abc import Sequence
from pathlib import Path
from typing import Any, NamedTuple

import click
import msgspec

MODULES = (
    "foxspring_model.scheduling._bench",
    "foxspring_control.raft._bench",
    "foxspring_control.state._bench",
    "foxspring_entry._bench",
    "foxspring_testing._site_bench",
    "foxspring_testing._capacity_bench",
    "foxspring_platform.tests.leader_bench.bench",
)
_COLUMNS = ("module", "name", "bound", "figure", "unit", "baseline")


class BenchRow(NamedTuple):
    """One measured value with its bound and baseline, formatted for output."""

    module: str
    name: str
    bound: str
    value: str
    unit: str
    baseline: str


class ModuleResult(NamedTuple):
    """The rows of one benchmark module, or the error that stopped it."""

    module: str
    seconds: float
    rows: tuple[BenchRow, ...] = ()
    error: str = ""


def measure(name: str) -> ModuleResult:
    """Run one module's ``run_bench`` and return its rows or its error."""
    started = time.monotonic()
    try:
        rows = importlib.import_module(name).run_bench()
        bench_rows = tuple(_row(name, row) for row in rows)
        error = "" if bench_rows else "run_bench returned no row"
    except Exception:
        bench_rows, error = (), traceback.format_exc(limit=3)
    return ModuleResult(name, round(time.monotonic() - started, 1), bench_rows, error)


def table(results: Sequence[ModuleResult]) -> str:
    """Return all rows as a table of aligned text."""
    lines = [list(_COLUMNS)]
    lines += [list(row) for result in results for row in result.rows]
    widths = [max(len(line[index]) for line in lines) for index in range(len(_COLUMNS))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        for line in lines
    )


@click.command()
@click.option("--json", "json_path", type=click.Path(path_type=Path))
@click.argument("words", nargs=-1)
def main(json_path: Path | None, words: tuple[str, ...]) -> None:
    """Run the benchmark modules whose names contain one of WORDS, or all of them."""
    chosen = [name for name in MODULES if not words or any(w in name for w in words)]
    results = []
    for name in chosen:
        click.echo(f"measuring {name}", err=True)
        results.append(measure(name))
    click.echo(f"python {platform.python_version()} on {platform.machine()}")
    click.echo(table(results))
    if json_path is not None:
        json_path.write_bytes(msgspec.json.format(msgspec.json.encode(results)))
    failed = [result for result in results if result.error]
    for result in failed:
        click.echo(f"could not measure {result.module}:\n{result.error}", err=True)
    sys.exit(1 if failed or not results else 0)


def _row(module: str, row: Any) -> BenchRow:
    package = module.split(".")[0].removeprefix("foxspring_")
    cells = (row.name, row.bound, row.value, row.unit, row.baseline)
    return BenchRow(package, *(_text(cell) for cell in cells))


def _text(cell: Any) -> str:
    if cell is None:
        return ""
    return f"{cell:.4g}" if isinstance(cell, float) else str(cell)


if __name__ == "__main__":
    main()
