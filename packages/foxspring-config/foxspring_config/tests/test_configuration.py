"""The operators' library and the validation that it shares with the daemon."""

import unittest
from collections.abc import Callable

from foxspring_model import Configuration, JobSpec, Priority, Resources, Team
from hypothesis import given, settings
from hypothesis import strategies as st

from foxspring_config import (
    ConfigurationError,
    parse_configuration,
    parse_job,
    print_configuration,
    print_job,
    service,
    team,
    weights,
)

_NAMES = st.from_regex(r"[a-z0-9][a-z0-9._-]{0,20}", fullmatch=True)
_TEAMS = st.builds(
    team,
    _NAMES,
    max_tasks=st.integers(0, 1_000_000),
    max_memory_mb=st.integers(0, 1_000),
    weight=st.integers(1, 100),
)


class RoundTripTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(
        st.lists(_TEAMS, min_size=1, unique_by=lambda each: each.name),
        st.lists(_NAMES, unique=True),
        st.integers(0, 100),
    )
    def test_configuration_round_trip(
        self, teams: list[Team], names: list[str], share: int
    ) -> None:
        owner = teams[0].name
        configuration = Configuration(
            tuple(service(name, owner, replicas=share) for name in names),
            tuple(teams),
            weights(share, 100 - share, 0),
        )
        text = print_configuration(configuration)
        self.assertEqual(parse_configuration(text), configuration)

    def test_job_round_trip(self) -> None:
        spec = JobSpec(
            "fill-study", "moulds", 3, Resources(slots=1), Priority.LONG, payload="{}"
        )
        self.assertEqual(parse_job(print_job(spec)), spec)


class ValidationTest(unittest.TestCase):
    def test_library_rejects_what_the_daemon_rejects(self) -> None:
        cases: list[Callable[[], object]] = [
            lambda: team("Bad Name"),
            lambda: team("a", max_tasks=-1),
            lambda: team("a", weight=0),
            lambda: service("s", "t", timeout_ms=0),
            lambda: service("s", "t", memory_mb=10**12),
            lambda: weights(50, 50, 1),
            lambda: print_configuration(Configuration((service("s", "nobody"),))),
        ]
        for number, build in enumerate(cases):
            with self.subTest(number), self.assertRaises(ConfigurationError):
                build()

    def test_invalid_configuration_texts(self) -> None:
        cases = {
            "duplicate": "[team a]\n[team a]\n",
            "unknown section": "[quota a]\n",
            "unknown key": "[team a]\nmax_task = 3\n",
            "negative": "[team a]\nmax_tasks = -3\n",
            "huge": "[team a]\nmax_tasks = 99999999999999999999\n",
            "no section": "max_tasks = 3\n",
            "unknown team": "[service s]\nteam = a\n",
            "too long": "#" * 2_000_000,
        }
        for name, text in cases.items():
            with self.subTest(name), self.assertRaises(ConfigurationError):
                parse_configuration(text)

    def test_invalid_jobs(self) -> None:
        cases = [
            b"",
            b"[]",
            b'{"name": "a"}',
            b'{"name": "a", "team": "t", "tasks": -1}',
            b'{"name": "a", "team": "t", "tasks": 1e99}',
            b'{"name": "a", "team": "t", "size": 1}',
            b'{"name": "a", "team": "t", "priority": "now"}',
            b'{"name": "a", "team": "t"',
        ]
        for body in cases:
            with self.subTest(body), self.assertRaises(ConfigurationError):
                parse_job(body)
