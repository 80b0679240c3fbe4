"""Parsing of numbers and ports in text that other processes send."""

MAX_DIGITS = 15
MAX_PORT = 65_535


def parse_whole_number(text: str, max_digits: int = MAX_DIGITS) -> int:
    """Return the number that 1 to ``max_digits`` ASCII digits spell.

    Raises:
        ValueError: the text is empty, longer or contains another character.
    """
    # str.isdigit() also accepts digits such as "²", for which int() raises.
    if not text.isascii() or not text.isdigit() or len(text) > max_digits:
        raise ValueError(f"{text[: max_digits + 1]!r} is not a whole number")
    return int(text)


def is_port(text: str) -> bool:
    """Return whether the text is a port that a connection can be made to."""
    try:
        return 0 < parse_whole_number(text) <= MAX_PORT
    except ValueError:
        return False
