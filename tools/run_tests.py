"""Runs every package's tests and prints the counts; fails when none ran.

Tests named in KNOWN-RED.txt run too; their failures are printed and counted
apart. Usage: ``run_tests.py [package or dotted test name ...]``.
"""

import pathlib
import sys
import unittest
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGES = ("model", "link", "config", "control", "entry", "daemon", "testing")


def known_red() -> frozenset[str]:
    """Return the test ids that KNOWN-RED.txt lists, one a ``test:`` line."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return frozenset()
    lines = path.read_text().splitlines()
    return frozenset(
        line.removeprefix("test:").strip() for line in lines if line.startswith("test:")
    )


def load(names: list[str]) -> unittest.TestSuite:
    """Return the tests of the named packages, or those of the dotted names."""
    loader = unittest.TestLoader()
    suite = unittest.TestSuite()
    for name in names:
        if name not in PACKAGES:
            suite.addTests(loader.loadTestsFromName(name))
            continue
        top = ROOT / "packages" / f"foxspring-{name}"
        start = top / f"foxspring_{name}"
        suite.addTests(loader.discover(str(start), top_level_dir=str(top)))
    return suite


def whole_test(case: Any) -> unittest.TestCase:
    """Return the test that ``case`` is, or is a subtest of."""
    test: unittest.TestCase = getattr(case, "test_case", case)
    return test


def main() -> int:
    """Run the tests and return the process's exit code."""
    suite = load(sys.argv[1:] or list(PACKAGES))
    result = unittest.TextTestRunner(verbosity=1, buffer=True).run(suite)
    expected = known_red()
    broken = {whole_test(case).id() for case, _ in result.failures + result.errors}
    broken |= {case.id() for case in result.unexpectedSuccesses}
    red = broken & expected
    for case in sorted(red):
        print(f"known red: {case}")
    failed = len(broken - red)
    skipped = len(result.skipped) + len(red)
    passed = result.testsRun - failed - skipped
    counts = f"{passed} passed, {failed} failed"
    print(counts + (f", {skipped} skipped" if skipped else ""))
    return 1 if failed or passed <= 0 else 0


if __name__ == "__main__":
    sys.exit(main())
