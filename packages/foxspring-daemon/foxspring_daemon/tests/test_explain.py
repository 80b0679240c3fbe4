"""The ``explain`` and ``logs check`` commands, and the list of events."""

import pathlib
import subprocess
import sys
import tempfile
import unittest

from click.testing import CliRunner

from foxspring_daemon._cli._log_lines import find_problem, load_event_list, parse_line
from foxspring_daemon._cli._main import cli

JOB = "5c0e7a21d94b36f8"
ROOT = pathlib.Path(__file__).resolve().parents[4]


def line(second: int, event: str, daemon: str = "core-1") -> str:
    time = f"2026-01-05T07:10:{second:02d}.000Z"
    return f"time={time} level=info daemon={daemon} module=m event={event}\n"


ACCEPTED = line(1, f"job_submitted job={JOB} queue=q committed=True active=3")
STARTED = line(
    2,
    f"start_answered job={JOB} task=0.0.1 run=1 target=t1 result=ok token=7",
)
FAILED = line(3, f"run_ended job={JOB} task=0.0.1 run=1 target=t1 kind=failed")
OTHER = line(2, "job_submitted job=0000000000000000 queue=q committed=True active=3")
LOST = line(4, "target_lost target=t1 born=5 why=lease_lapsed runs=2")
GIVEN_UP_JOB = line(
    5,
    f"job_given_up job={JOB} task=0.0.1 crashes=3 early_crashes=3 reason=crashes",
)
FAILS_EVERYWHERE = line(
    5, f"step_fails_everywhere job={JOB} step=0.0 failures=4 targets=t1,t2"
)
DELAYED = line(
    6,
    f"restart_delayed job={JOB} task=0.0.1 early_ends=5 lasted_ms=200 delay_ms=4000 "
    "failures=5 targets=t1,t2",
)
QUARANTINED = line(
    4, f"target_quarantined target=t1 why=failed jobs={JOB} times=1 pause_ms=2000"
)
REFUSED = line(1, f"call_refused kind=SubmitCall path=/q/{JOB} silent_ms=2500")
GIVEN_UP = line(
    1, f"call_given_up kind=SubmitCall path=/q/{JOB} attempts=7 may_have_run=True"
)
MALFORMED = line(1, f'job_malformed path=/q/{JOB} reason="no steps"', "entry-1")


class ExplainTest(unittest.TestCase):
    def run_command(self, *arguments: str, **logs: str) -> tuple[int, str]:
        with tempfile.TemporaryDirectory() as folder:
            paths = []
            for name, text in logs.items():
                path = pathlib.Path(folder, name)
                path.write_text(text)
                paths.append(str(path))
            result = CliRunner().invoke(cli, [*arguments, *paths])
            return result.exit_code, result.output

    def test_causes(self) -> None:
        cases = (
            (ACCEPTED + STARTED + FAILED, "1 runs failed on one target"),
            (ACCEPTED + STARTED + LOST, "lost 1 targets it ran on (lease_lapsed)"),
            (
                ACCEPTED + STARTED + GIVEN_UP_JOB,
                "given up: 3 targets crashed under its task 0.0.1",
            ),
            (ACCEPTED + FAILED + FAILS_EVERYWHERE, "fail wherever they start; 1 runs"),
            (
                ACCEPTED + FAILED + FAILS_EVERYWHERE + DELAYED,
                "start: task 0.0.1 ended early 5 times in a row, then waited 4000 ms",
            ),
            (ACCEPTED + DELAYED, "its runs end early: task 0.0.1"),
            (MALFORMED, "could not be read"),
            (REFUSED, "had lost contact with control"),
            (GIVEN_UP, "no leader answered in time"),
            (OTHER, "no line mentions it"),
            (ACCEPTED + STARTED, "nothing unusual"),
        )
        for text, cause in cases:
            with self.subTest(cause=cause):
                code, output = self.run_command("explain", JOB, log=text)
                self.assertEqual(code, 0)
                self.assertIn(cause, output)

    def test_events_of_several_logs_are_sorted_and_filtered_by_job(self) -> None:
        _, output = self.run_command(
            "explain", JOB, one=FAILED + OTHER, two=STARTED + ACCEPTED
        )
        names = [row.split()[2] for row in output.splitlines()[:-1]]
        self.assertEqual(names, ["job_submitted", "start_answered", "run_ended"])

    def test_quarantine_of_a_target_that_it_ran_on_is_shown(self) -> None:
        _, output = self.run_command("explain", JOB, log=STARTED + QUARANTINED)
        self.assertIn("target_quarantined", output)

    def test_check_reports_lines_that_do_not_match_the_list(self) -> None:
        code, output = self.run_command("logs", "check", log=ACCEPTED)
        self.assertEqual((code, "0 do not match" in output), (0, True))
        wrong = line(1, "nonsense a=1") + line(2, "job_submitted color=red")
        code, output = self.run_command("logs", "check", log=wrong)
        self.assertEqual(code, 1)
        self.assertIn("nonsense", output)
        self.assertIn("color", output)


class EventListTest(unittest.TestCase):
    def test_list_contains_every_event_of_the_sources(self) -> None:
        command = [sys.executable, str(ROOT / "tools/list_events.py"), "--check"]
        result = subprocess.run(command, capture_output=True, text=True, check=False)
        self.assertEqual(result.returncode, 0, result.stdout + result.stderr)

    def test_quoted_values_are_parsed_completely(self) -> None:
        event = parse_line(MALFORMED)
        self.assertIsNotNone(event)
        if event is not None:
            self.assertEqual(event.fields["reason"], "no steps")
            self.assertEqual(find_problem(event, load_event_list()), "")


if __name__ == "__main__":
    unittest.main()
