"""What one call of the scheduler asks its caller to carry out."""

from typing import NamedTuple

from foxspring_model._commands import EndTasks, Eviction, Placement
from foxspring_model._messages import ThrottleTask


class Decisions(NamedTuple):
    """Commands to propose and messages to send, in this order."""

    placements: tuple[Placement, ...] = ()
    evictions: tuple[Eviction, ...] = ()
    throttles: tuple[ThrottleTask, ...] = ()
    ended: tuple[EndTasks, ...] = ()
