"""Message links between processes, their codec and clocks."""

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
