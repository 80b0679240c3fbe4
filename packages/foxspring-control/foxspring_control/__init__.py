"""Control group: replicated log, replicated state and the leader's service."""

from foxspring_control._replication import (
    LogEntry,
    ProposeCallback,
    ProposeOutcome,
    StateMachine,
)

__all__ = ["LogEntry", "ProposeCallback", "ProposeOutcome", "StateMachine"]
