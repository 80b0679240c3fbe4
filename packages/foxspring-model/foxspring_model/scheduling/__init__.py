"""Pure scheduling decisions: task placement, throttling and eviction.

The control leader owns one :class:`Scheduler`, passes it every change of the
replicated state and executes the :class:`Decisions` that it returns.
"""

from foxspring_model.scheduling._decisions import Decisions
from foxspring_model.scheduling._scheduler import Scheduler
from foxspring_model.scheduling._settings import SchedulerSettings

__all__ = ["Decisions", "Scheduler", "SchedulerSettings"]
