"""Numbers that other processes send, in text or in JSON.

JSON numbers are unbounded, while messages and stored data hold 64-bit integers. The
bounds are far above what any site needs.
"""

from typing import Annotated

from msgspec import Meta

MAX_DIGITS = 15
MAX_PORT = 65_535
MAX_INT64 = 2**63 - 1
# Small enough that the sum of the amounts in a body of 4 MiB, times a thousand, fits
# into 64 bits.
MAX_AMOUNT = 10**11

# A time, a version, a run's number or a limit; few amounts are added to one.
Int64 = Annotated[int, Meta(ge=-MAX_INT64, le=MAX_INT64)]
# A size, a count of tasks or a duration in milliseconds, which may be summed.
Amount = Annotated[int, Meta(ge=-MAX_AMOUNT, le=MAX_AMOUNT)]


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
