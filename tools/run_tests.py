"""Runs every package's tests and prints the counts; fails if no test passed.

Tests listed in KNOWN-RED.txt run as well; their failures are printed and counted
as skipped. Usage: ``run_tests.py [package or dotted test name ...]``; without
names, each group in ``GROUPS`` runs in a process of its own, all in parallel.
"""

import pathlib
import subprocess
import sys
import unittest
from collections.abc import Sequence
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGES = (
    "model",
    "link",
    "config",
    "control",
    "jobs",
    "entry",
    "daemon",
    "testing",
    "platform",
)
GROUPS = (
    ("testing:0/2",),
    ("testing:1/2",),
    ("control", "link", "config", "platform"),
    ("entry", "daemon", "model"),
    ("jobs",),
)
COUNTS = "counts:"


def known_red() -> frozenset[str]:
    """Return the test ids in KNOWN-RED.txt, which are on lines with ``test:``."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return frozenset()
    lines = path.read_text().splitlines()
    return frozenset(
        line.removeprefix("test:").strip() for line in lines if line.startswith("test:")
    )


def folder_of(package: str) -> pathlib.Path:
    """Return the folder from which a package is imported."""
    if package == "platform":
        return ROOT / "platform"
    return ROOT / "packages" / f"foxspring-{package}"


def shard_modules(name: str) -> list[str]:
    """Return a shard's test modules: ``testing:0/2`` is every second module."""
    package, _, shard = name.partition(":")
    first, _, step = shard.partition("/")
    top = folder_of(package)
    paths = sorted(top.glob(f"foxspring_{package}/**/tests/test_*.py"))
    chosen = paths[int(first) :: int(step)]
    return [".".join(path.relative_to(top).with_suffix("").parts) for path in chosen]


def load(names: list[str]) -> unittest.TestSuite:
    """Load the tests of packages, shards and dotted test names."""
    loader = unittest.TestLoader()
    suite = unittest.TestSuite()
    for name in names:
        if ":" in name:
            suite.addTests(loader.loadTestsFromNames(shard_modules(name)))
            continue
        if name not in PACKAGES:
            suite.addTests(loader.loadTestsFromName(name))
            continue
        top = folder_of(name)
        start = top / f"foxspring_{name}"
        suite.addTests(loader.discover(str(start), top_level_dir=str(top)))
    return suite


def parent_test(case: Any) -> unittest.TestCase:
    """Return the test that a subtest belongs to, or ``case`` if it is a test."""
    test: unittest.TestCase = getattr(case, "test_case", case)
    return test


def run(names: list[str]) -> tuple[int, int, int]:
    """Run tests in this process; return the passed, failed and skipped counts.

    Failures of known red tests count as skipped.
    """
    result = unittest.TextTestRunner(verbosity=1, buffer=True).run(load(names))
    failures = {parent_test(case).id() for case, _ in result.failures + result.errors}
    failures |= {case.id() for case in result.unexpectedSuccesses}
    expected_failures = failures & known_red()
    for case in sorted(expected_failures):
        print(f"known red: {case}")
    failed = len(failures - expected_failures)
    skipped = len(result.skipped) + len(expected_failures)
    return result.testsRun - failed - skipped, failed, skipped


def run_in_parallel(groups: Sequence[Sequence[str]]) -> tuple[int, int, int]:
    """Run each group in a process of its own; return the summed counts."""
    children = [
        subprocess.Popen(
            [sys.executable, __file__, "--counts", *group],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        for group in groups
    ]
    totals = [0, 0, 0]
    for child in children:
        output, _ = child.communicate()
        *lines, last = output.rstrip().splitlines() or [""]
        print("\n".join(lines), flush=True)
        if not last.startswith(COUNTS):
            print(last)
            totals[1] += 1
            continue
        counts = last.removeprefix(COUNTS).split()
        totals = [sum(pair) for pair in zip(totals, map(int, counts), strict=True)]
    return totals[0], totals[1], totals[2]


def main() -> int:
    """Run the tests and return the exit code."""
    names = sys.argv[1:]
    if names[:1] == ["--counts"]:
        passed, failed, skipped = run(names[1:])
        print(COUNTS, passed, failed, skipped)
        return 0
    if names:
        passed, failed, skipped = run(names)
    else:
        passed, failed, skipped = run_in_parallel(GROUPS)
    counts = f"{passed} passed, {failed} failed"
    print(counts + (f", {skipped} skipped" if skipped else ""))
    return 1 if failed or passed <= 0 else 0


if __name__ == "__main__":
    sys.exit(main())
