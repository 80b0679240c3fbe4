"""Validation of the settings file and its error messages."""

import pathlib
import unittest

from foxspring_config import (
    ConfigurationError,
    DaemonRole,
    parse_settings,
    settings_page,
)
from foxspring_config.tests.builders import settings_text

_PAGE = pathlib.Path(__file__).parents[4] / "docs" / "SETTINGS.md"


class SettingsTest(unittest.TestCase):
    def test_parses_entry_settings(self) -> None:
        settings = parse_settings(settings_text())
        self.assertIs(settings.daemon.role, DaemonRole.ENTRY)
        self.assertEqual(settings.members[0].address, "127.0.0.1:7100")
        self.assertEqual(settings.callers[0].name, "parish")

    def test_errors_name_file_section_key_value_and_range(self) -> None:
        cases = [
            (("daemon", "role"), "leader", ["[daemon] role = 'leader'", "entry"]),
            (("daemon", "colour"), "red", ["[daemon] colour", "unknown key"]),
            (("daemon", "id"), None, ["[daemon] id: missing"]),
            (("daemon", "id"), "Entry One", ["[daemon] id", "lower-case"]),
            (("link", "listen"), "localhost", ["[link] listen", "IPv4 address"]),
            (("link", "listen"), "127.0.0.300:1", ["[link] listen", "0 to 255"]),
            (("link", "listen"), "127.0.0.1:70000", ["65535"]),
            (("link", "ping_interval_ms"), "5s", ["'5s'", "50 to 60000", "ms"]),
            (("link", "ping_interval_ms"), "-5", ["'-5'", "50 to 60000"]),
            (("link", "silence_limit_ms"), "300", ["ping_interval_ms (500)"]),
            (("entry", "max_body_bytes"), "9" * 30, ["1024 to 67108864", "bytes"]),
            (("control", "members"), "a=1.2.3.4:5,a=1.2.3.4:6", ["appears twice"]),
            (("control", "members"), "", ["1 to 9"]),
            (("surprise", "key"), "1", ["[surprise]", "unknown section"]),
            (("callers", "short"), "abc", ["[callers] short", "16 to 256"]),
        ]
        for key, value, expected in cases:
            with self.subTest(key=key, value=value):
                with self.assertRaises(ConfigurationError) as caught:
                    parse_settings(settings_text({key: value}), "site.ini")
                message = str(caught.exception)
                self.assertTrue(message.startswith("site.ini"), message)
                for part in expected:
                    self.assertIn(part, message)

    def test_duplicate_section_and_key_are_rejected(self) -> None:
        for extra in ("[daemon]\nid = a\n", "parish = caller-token-0124\n"):
            with self.subTest(extra), self.assertRaises(ConfigurationError):
                parse_settings(settings_text() + extra)

    def test_error_does_not_reveal_an_invalid_token(self) -> None:
        with self.assertRaises(ConfigurationError) as caught:
            parse_settings(settings_text({("callers", "parish"): "hush hush"}))
        self.assertNotIn("hush", str(caught.exception))

    def test_page_is_up_to_date_with_the_code(self) -> None:
        self.assertEqual(_PAGE.read_text(), settings_page())
