"""A daemon's reaction to SIGHUP, SIGTERM and invalid settings."""

import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from foxspring_testing._process import package_path
from foxspring_testing._site import Site
from foxspring_testing._site_settings import OPERATOR_TOKEN, SiteSize
from foxspring_testing._wait import wait_until

_SIZE = SiteSize(controls=1, entries=1, targets=0)
_NEXT_TOKEN = "loopback-operator-token-0009"
_DEADLINE_S = 30


class DaemonSignalsTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.site = self.enterContext(Site(Path(folder), _SIZE))
        self.path = self.site.folder / "entry-1.ini"

    def _signal(self, number: signal.Signals) -> None:
        os.kill(self.site.processes["entry-1"].pid, number)

    def _status(self, token: str) -> int:
        return self.site.operator(token).send("GET", "/v1/status").status

    def _rewrite(self, old: str, new: str) -> None:
        text = self.path.read_text()
        self.assertIn(old, text)
        self.path.write_text(text.replace(old, new))

    def test_reload_applies_new_tokens_only(self) -> None:
        self.assertEqual(self._status(OPERATOR_TOKEN), 200)
        self._rewrite(OPERATOR_TOKEN, _NEXT_TOKEN)
        self._signal(signal.SIGHUP)
        wait_until(lambda: self._status(_NEXT_TOKEN) == 200, "the new token")
        self.assertEqual(self._status(OPERATOR_TOKEN), 401)
        self._rewrite(_NEXT_TOKEN, OPERATOR_TOKEN)
        self._rewrite("id = entry-1", "id = entry-9")
        self._signal(signal.SIGHUP)
        wait_until(
            lambda: "event=reload_refused" in self.site.log("entry-1"),
            "a rejected reload",
        )
        self.assertEqual(self._status(_NEXT_TOKEN), 200)
        self.assertNotIn(_NEXT_TOKEN, self.site.log("entry-1"))

    def test_a_second_sigterm_is_harmless(self) -> None:
        self._signal(signal.SIGTERM)
        self._signal(signal.SIGTERM)
        process = self.site.processes["entry-1"]
        wait_until(
            lambda: process.exit_code() is not None,
            "the end of the daemon",
            _DEADLINE_S,
        )
        self.assertEqual(process.exit_code(), 0)

    def test_invalid_settings_prevent_the_start(self) -> None:
        self._rewrite("role = entry", "role = entrance")
        done = subprocess.run(
            [sys.executable, "-m", "foxspring_daemon.daemon", "--settings", self.path],
            env=os.environ | {"PYTHONPATH": package_path()},
            capture_output=True,
            text=True,
            timeout=_DEADLINE_S,
        )
        self.assertEqual(done.returncode, 2)
        self.assertIn("[daemon] role = 'entrance'", done.stderr)
        self.assertIn("entry, control", done.stderr)
