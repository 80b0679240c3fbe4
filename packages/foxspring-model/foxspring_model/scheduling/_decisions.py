"""The result of one scheduling pass."""

from typing import NamedTuple

from foxspring_model._commands import EndTasks, Eviction, Placement
from foxspring_model._messages import ThrottleTask


class Decisions(NamedTuple):
    """Commands to propose and messages to send, to be executed in this order.

    Placements, evictions and ended tasks become commands of the replicated log;
    throttles are messages to the owners of the targets.
    """

    placements: tuple[Placement, ...] = ()
    evictions: tuple[Eviction, ...] = ()
    throttles: tuple[ThrottleTask, ...] = ()
    ended: tuple[EndTasks, ...] = ()
