"""Pure scheduling decisions: what runs where, and what gives way to what.

The control leader keeps one :class:`Scheduler`, feeds it every change of the
replicated state and carries out the :class:`Decisions` it returns.
"""

from foxspring_model.scheduling._decisions import Decisions
from foxspring_model.scheduling._scheduler import Scheduler
from foxspring_model.scheduling._settings import SchedulerSettings

__all__ = ["Decisions", "Scheduler", "SchedulerSettings"]
