"""Output and exit codes of the command line against a running site."""

import json
import tempfile
import unittest
from pathlib import Path
from typing import ClassVar

from click.testing import CliRunner, Result
from foxspring_daemon.cli import cli

from foxspring_testing._ports import PortChooser
from foxspring_testing._site import Site
from foxspring_testing._site_settings import (
    CALLER_TOKEN,
    OPERATOR_TOKEN,
    SiteSize,
)
from foxspring_testing._wait import wait_until

_SIZE = SiteSize(controls=1, entries=2, targets=1)
_TEAM = "[team workshops]\nmax_tasks = 4\n"
_SERVICE = "[service register]\nteam = workshops\nreplicas = 1\n"
_JOB = {
    "name": "count",
    "team": "workshops",
    "memory_mb": 1,
    "payload": json.dumps({"work_ms": 10, "result": "47 pipes"}),
}


class CommandLineTest(unittest.TestCase):
    site: ClassVar[Site]
    folder: ClassVar[Path]

    @classmethod
    def setUpClass(cls) -> None:
        folder = tempfile.TemporaryDirectory(prefix="foxspring-test-")
        cls.addClassCleanup(folder.cleanup)
        cls.folder = Path(folder.name)
        cls.site = Site(cls.folder, _SIZE)
        cls.enterClassContext(cls.site)

    def _run(
        self,
        *arguments: str,
        token: str = OPERATOR_TOKEN,
        entries: tuple[str, ...] = (),
    ) -> Result:
        addresses = entries or tuple(self.site.entry_addresses())
        options = [option for address in addresses for option in ("--entry", address)]
        return CliRunner().invoke(cli, [*options, "--token", token, *arguments])

    def _file(self, name: str, text: str) -> str:
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def test_operator_workflow(self) -> None:
        first = self._file("first.ini", _TEAM + _SERVICE)
        applied = self._run("apply", first, "--base", "0", "--wait")
        self.assertEqual(applied.exit_code, 0, applied.output)
        second = self._file("second.ini", _TEAM)
        lost = self._run("apply", second, "--base", "0")
        self.assertEqual(lost.exit_code, 5, lost.output)
        shown = self._run("show")
        self.assertIn("# revision 1", shown.output)
        self.assertIn("-[service register]", self._run("diff", second).output)
        job = self._file("job.json", json.dumps(_JOB))
        done = self._run("submit", job, "--wait")
        self.assertEqual(done.exit_code, 0, done.output)
        self.assertIn("47 pipes", done.output)
        self.assertEqual(self._run("cancel", "job-1").exit_code, 0)
        wait_until(self._answered, "an answer of the service")
        for name in ("services", "targets", "entries", "members", "jobs", "audit"):
            with self.subTest(name):
                listed = self._run("--output", "json", name)
                self.assertTrue(json.loads(listed.output), listed.output)
        self.assertIn("in_force: True", self._run("status").output)

    def _answered(self) -> bool:
        return self._run("call", "register", token=CALLER_TOKEN).exit_code == 0

    def test_exit_codes(self) -> None:
        ports = PortChooser()
        self.addCleanup(ports.close)
        unused_address = ports.free_address()
        bad = self._file("bad.ini", "[team a]\nmax_tasks = -1\n")
        good_entries = tuple(self.site.entry_addresses())
        cases = [
            (("status",), OPERATOR_TOKEN, (unused_address,), 3),
            (("status",), OPERATOR_TOKEN, (unused_address, *good_entries), 0),
            (("status",), "wrong", good_entries, 6),
            (("apply", bad), OPERATOR_TOKEN, good_entries, 1),
            (("check", bad), OPERATOR_TOKEN, good_entries, 1),
            (("jobs", "show", "job-77"), OPERATOR_TOKEN, good_entries, 1),
            (("nonsense",), OPERATOR_TOKEN, good_entries, 2),
            (("call", "nothing", "--method", "POST"), CALLER_TOKEN, good_entries, 1),
        ]
        for arguments, token, entries, code in cases:
            with self.subTest(arguments=arguments, entries=len(entries)):
                result = self._run(*arguments, token=token, entries=entries)
                self.assertEqual(result.exit_code, code, result.output)

    def test_check_detects_the_kind_of_file(self) -> None:
        settings = str(self.folder / "entry-1.ini")
        cases = [
            (settings, "good settings"),
            (self._file("team.ini", _TEAM), "good configuration"),
            (self._file("good.json", json.dumps(_JOB)), "good job"),
        ]
        for path, expected in cases:
            with self.subTest(expected):
                self.assertIn(expected, self._run("check", path).output)
