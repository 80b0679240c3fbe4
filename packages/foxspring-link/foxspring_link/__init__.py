"""Message links between processes, their codec and clocks."""

from foxspring_link._clock import ManualClock, SystemClock
from foxspring_link._codec import Codec, MalformedMessageError
from foxspring_link._link import Link, LinkCounters, LinkSettings, SendResult

__all__ = [
    "Codec",
    "Link",
    "LinkCounters",
    "LinkSettings",
    "MalformedMessageError",
    "ManualClock",
    "SendResult",
    "SystemClock",
]
