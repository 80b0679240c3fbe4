"""Message links between processes, their codec, clocks and periodic work."""

from foxspring_link._clock import ManualClock, SystemClock
from foxspring_link._codec import Codec, MalformedMessageError
from foxspring_link._link import Link, LinkCounters, LinkSettings, SendResult
from foxspring_link._repeat import repeat

__all__ = [
    "Codec",
    "Link",
    "LinkCounters",
    "LinkSettings",
    "MalformedMessageError",
    "ManualClock",
    "SendResult",
    "SystemClock",
    "repeat",
]
