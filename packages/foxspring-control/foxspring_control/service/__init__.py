"""The control leader's service: leases, target ownership, placement, queries."""

from foxspring_control.service._messages import LogHandle, SendMessage
from foxspring_control.service._scheduling import (
    MakeScheduler,
    SchedulerHandle,
    make_scheduler,
)
from foxspring_control.service._service import ControlService
from foxspring_control.service._settings import ServiceSettings

__all__ = [
    "ControlService",
    "LogHandle",
    "MakeScheduler",
    "SchedulerHandle",
    "SendMessage",
    "ServiceSettings",
    "make_scheduler",
]
