"""Replicated state and scheduling."""

from foxspring_control._replication import (
    LogEntry,
    ProposeCallback,
    ProposeOutcome,
    StateMachine,
)

__all__ = ["LogEntry", "ProposeCallback", "ProposeOutcome", "StateMachine"]
