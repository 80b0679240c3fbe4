import unittest

from foxspring_model import is_port, parse_whole_number

NOT_WHOLE_NUMBERS = ("", "²", "٣", "1²", "-1", "+1", " 1", "1_0", "1.0", "9" * 16)


class WholeNumberTest(unittest.TestCase):
    def test_ascii_digits_are_parsed(self) -> None:
        for text, expected in (("0", 0), ("007", 7), ("9" * 15, 10**15 - 1)):
            with self.subTest(text=text):
                self.assertEqual(parse_whole_number(text), expected)

    def test_number_of_digits_can_be_limited(self) -> None:
        self.assertEqual(parse_whole_number("999", 3), 999)
        with self.assertRaises(ValueError):
            parse_whole_number("0999", 3)

    def test_other_text_is_refused(self) -> None:
        for text in NOT_WHOLE_NUMBERS:
            with self.subTest(text=text), self.assertRaises(ValueError):
                parse_whole_number(text)


class PortTest(unittest.TestCase):
    def test_only_usable_ports_are_ports(self) -> None:
        for text in ("1", "8080", "65535"):
            with self.subTest(text=text):
                self.assertTrue(is_port(text))
        for text in ("0", "65536", "99999", *NOT_WHOLE_NUMBERS):
            with self.subTest(text=text):
                self.assertFalse(is_port(text))


if __name__ == "__main__":
    unittest.main()
