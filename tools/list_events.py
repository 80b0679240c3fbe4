"""Lists the events that the sources log, with their fields.

Writes the list that ``foxspring logs`` checks against and the documentation page
of the events. Usage: ``list_events.py [--check]``; with ``--check`` nothing is
written, and the exit code says whether both files are up to date.
"""

import ast
import pathlib
import re
import sys
from collections.abc import Iterator

ROOT = pathlib.Path(__file__).resolve().parent.parent
LIST = ROOT / "packages/foxspring-daemon/foxspring_daemon/_cli/event_list.txt"
PAGE = ROOT / "docs/EVENTS.md"
LEVELS = frozenset({"debug", "info", "warning", "error", "exception", "critical"})
FIELD = re.compile(r"(\w+)=")
BUILT_IN = {
    "message": ("text",),
    "lines_left_out": ("of", "count"),
    "lines_dropped": ("count",),
}


def sources() -> Iterator[pathlib.Path]:
    """Yield the source files that may log, without tests and the test harness."""
    for top in ("packages", "platform"):
        for path in sorted((ROOT / top).rglob("*.py")):
            parts = path.parts
            if "tests" not in parts and "foxspring_testing" not in parts:
                yield path


def logged_formats(tree: ast.AST) -> Iterator[str]:
    """Yield the format strings of a file's log calls that name an event."""
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
            continue
        if node.func.attr not in LEVELS or not node.args:
            continue
        text = node.args[0]
        if not isinstance(text, ast.Constant) or not isinstance(text.value, str):
            continue
        if text.value.startswith("event="):
            yield text.value


def diagnosed_events(tree: ast.AST) -> Iterator[tuple[str, list[str]]]:
    """Yield event names and fields of the replicated log's ``Diagnosed`` effects."""
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Name):
            continue
        if node.func.id != "Diagnosed" or len(node.args) != len(("event", "detail")):
            continue
        name, detail = node.args
        if isinstance(name, ast.Constant):
            yield str(name.value), ["member", *FIELD.findall(ast.unparse(detail))]


def events() -> dict[str, tuple[str, ...]]:
    """Return the fields of every event, in order of their first appearance."""
    found: dict[str, dict[str, None]] = {
        name: dict.fromkeys(fields) for name, fields in BUILT_IN.items()
    }
    for path in sources():
        tree = ast.parse(path.read_text())
        for name, fields in diagnosed_events(tree):
            found.setdefault(name, {}).update(dict.fromkeys(fields))
        for text in logged_formats(tree):
            name = text.split()[0].removeprefix("event=")
            if "%" in name:
                continue
            fields = FIELD.findall(text.removeprefix("event="))
            found.setdefault(name, {}).update(dict.fromkeys(fields))
    return {name: tuple(fields) for name, fields in sorted(found.items())}


def list_text(found: dict[str, tuple[str, ...]]) -> str:
    """Return the machine-readable list: one event with its fields per line."""
    return "".join(f"{' '.join((name, *fields))}\n" for name, fields in found.items())


def page_text(found: dict[str, tuple[str, ...]]) -> str:
    """Return the documentation page."""
    rows = [
        f"| {name} | {', '.join(fields) or 'none'} |" for name, fields in found.items()
    ]
    head = [
        "# Events in the logs",
        "",
        "Made by `tools/list_events.py` from the sources. Every line also has `time`,",
        "`level`, `daemon` and `module`, and `exception` where one was raised.",
        "",
        "| event | fields |",
        "|---|---|",
    ]
    return "\n".join([*head, *rows]) + "\n"


def main() -> int:
    """Write or check both files; return the exit code."""
    found = events()
    expected = {LIST: list_text(found), PAGE: page_text(found)}
    stale = [p for p, t in expected.items() if not p.exists() or p.read_text() != t]
    if sys.argv[1:] == ["--check"]:
        for path in stale:
            print(f"{path.relative_to(ROOT)} is stale; run tools/list_events.py")
        return 1 if stale else 0
    for path in stale:
        path.write_text(expected[path])
    return 0


if __name__ == "__main__":
    sys.exit(main())
