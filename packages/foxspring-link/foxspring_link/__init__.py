"""Links between foxspring's processes, their message codec, and the clocks."""

from foxspring_link._clock import PausedClock, SystemClock
from foxspring_link._codec import Codec, MalformedMessageError
from foxspring_link._link import Link, LinkFigures, LinkSettings, SendResult

__all__ = [
    "Codec",
    "Link",
    "LinkFigures",
    "LinkSettings",
    "MalformedMessageError",
    "PausedClock",
    "SendResult",
    "SystemClock",
]
