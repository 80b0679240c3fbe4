"""Replicated state of the control group, stored in one database file."""

from foxspring_control.state._job_rules import job_state, task_view
from foxspring_control.state._machine import STATE_FILE, ControlState
from foxspring_control.state._records import (
    JobRecord,
    Moment,
    StopIntent,
    TargetRecord,
    TaskRecord,
)
from foxspring_control.state._settings import DEFAULT_STATE_SETTINGS, StateSettings
from foxspring_control.state._transaction import (
    ParseConfiguration,
    StateChanges,
    Tables,
)

__all__ = [
    "DEFAULT_STATE_SETTINGS",
    "ControlState",
    "JobRecord",
    "Moment",
    "ParseConfiguration",
    "STATE_FILE",
    "StateChanges",
    "StateSettings",
    "StopIntent",
    "Tables",
    "TargetRecord",
    "TaskRecord",
    "job_state",
    "task_view",
]
